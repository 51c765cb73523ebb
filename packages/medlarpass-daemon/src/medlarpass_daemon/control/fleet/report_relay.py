"""Passes the reports of a relay's entries on as one."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING

import grpc

from medlarpass.ranges import KeyLoads
from medlarpass.rpc import fleet_pb2
from medlarpass.rpc import fleet_pb2_grpc
from medlarpass_daemon.control.fleet import events
from medlarpass_daemon.waiting import wait_until_set

if TYPE_CHECKING:
    from medlarpass_daemon.control.fleet.feed_keeper import FeedKeeper
    from medlarpass_daemon.rpc_channels import RpcChannels

#: Seconds between two reports; they delay the spread of hot keys, and their answers say how new the
#: publication of this relay's entries is.
PERIOD = 0.2
#: Seconds between two reports at least; those of entries that a change has reached come together.
LEAST_PERIOD = 0.05
TIMEOUT = 1.0


class ReportRelay:
    """Sums up what entries have seen and tells it to the leader.

    :param feed: knows the leader and the watchers
    :param channels: gRPC channels
    """

    __slots__ = ("channels", "feed", "loads", "prompt", "times")

    def __init__(self, feed: FeedKeeper, channels: RpcChannels) -> None:
        self.feed = feed
        self.channels = channels
        self.loads = KeyLoads()
        #: Answers and the sum of their milliseconds by server.
        self.times: dict[str, tuple[int, int]] = {}
        #: Set when the confirmation of a change may wait for the next report.
        self.prompt = asyncio.Event()

    def take(self, report: fleet_pb2.EntryReport) -> None:
        """Add the report of an entry."""
        for load in report.loads:
            self.loads.add(load)
        for time in report.times:
            answers, total = self.times.get(time.identity, (0, 0))
            self.times[time.identity] = (answers + time.answers, total + time.milliseconds)
        if report.is_prompt:
            self.prompt.set()

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            await asyncio.sleep(LEAST_PERIOD)
            await wait_until_set(self.prompt, PERIOD - LEAST_PERIOD)
            self.prompt.clear()
            report = self._report()
            leader = self.feed.log.leader_address()
            if self.feed.leads or not self.feed.is_current or not leader:
                continue
            stub = fleet_pb2_grpc.FleetStub(self.channels.to(leader))
            asked_at = self.feed.clock.now()
            try:
                self.feed.newest.heard(await stub.Report(report, timeout=TIMEOUT), asked_at)
            except grpc.aio.AioRpcError as error:
                # The counts of one period only delay the balance.
                events.REPORT_LOST.log(control=leader, error=str(error.code()))

    def _report(self) -> fleet_pb2.EntryReport:
        times, self.times = self.times, {}
        watchers = self.feed.fleet.watchers
        term, mark = watchers.oldest((self.feed.fleet.feed.term, self.feed.fleet.feed.mark))
        return fleet_pb2.EntryReport(
            entry=self.feed.own.address,
            entries=watchers.direct,
            term=term,
            mark=mark,
            loads=self.loads.take(),
            times=[
                fleet_pb2.ServerTime(identity=identity, answers=answers, milliseconds=total)
                for identity, (answers, total) in times.items()
            ],
        )
