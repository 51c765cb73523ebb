"""Forwards the combined reports of a relay's entries to the leader."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING

import grpc

from medlarpass.dispatch import DemandCounter
from medlarpass.ranges import KeyLoads
from medlarpass.rpc import fleet_pb2
from medlarpass.rpc import fleet_pb2_grpc
from medlarpass_daemon.control.fleet import events
from medlarpass_daemon.waiting import wait_until_set

if TYPE_CHECKING:
    from medlarpass_daemon.control.fleet.feed_updater import FeedUpdater
    from medlarpass_daemon.rpc_channels import RpcChannels

#: Interval of the reports. It delays the distribution of hot keys; the responses also tell how new
#: the publication of this relay's entries is.
REPORT_PERIOD_SECONDS = 0.2
#: Minimum interval, which combines the reports of entries that a change has just reached.
MIN_REPORT_PERIOD_SECONDS = 0.05
REPORT_TIMEOUT_SECONDS = 1.0


class ReportRelay:
    """Sums up the reports of entries and sends them to the leader.

    :param feed: updater of the feed, which knows the leader and the watchers
    :param channels: gRPC channels
    """

    __slots__ = ("channels", "demands", "feed", "loads", "response_times", "urgent")

    def __init__(self, feed: FeedUpdater, channels: RpcChannels) -> None:
        self.feed = feed
        self.channels = channels
        self.loads = KeyLoads()
        self.demands = DemandCounter()
        #: Sums of the reported responses, by server.
        self.response_times: dict[str, fleet_pb2.ServerTime] = {}
        #: Set when the confirmation of a change may be waiting for the next report.
        self.urgent = asyncio.Event()

    def add(self, report: fleet_pb2.EntryReport) -> None:
        """Add the report of an entry."""
        for load in report.loads:
            self.loads.add(load)
        for demand in report.demands:
            self.demands.add(demand)
        for reported in report.times:
            total = self.response_times.get(reported.identity)
            if total is None:
                total = fleet_pb2.ServerTime(identity=reported.identity)
                self.response_times[reported.identity] = total
            total.answers += reported.answers
            total.milliseconds += reported.milliseconds
            total.unqueued_answers += reported.unqueued_answers
            total.unqueued_milliseconds += reported.unqueued_milliseconds
        if report.is_prompt:
            self.urgent.set()

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            await asyncio.sleep(MIN_REPORT_PERIOD_SECONDS)
            await wait_until_set(self.urgent, REPORT_PERIOD_SECONDS - MIN_REPORT_PERIOD_SECONDS)
            self.urgent.clear()
            report = self._build_report()
            leader = self.feed.log.leader_address()
            if self.feed.is_leading or not self.feed.is_current or not leader:
                continue
            stub = fleet_pb2_grpc.FleetStub(self.channels.to(leader))
            sent_at = self.feed.clock.now()
            try:
                self.feed.newest_publication.record_response(
                    await stub.Report(report, timeout=REPORT_TIMEOUT_SECONDS), sent_at
                )
            except grpc.aio.AioRpcError as error:
                # The loss of one period of counts only delays the load balancing.
                events.REPORT_LOST.log(control=leader, error=str(error.code()))

    def _build_report(self) -> fleet_pb2.EntryReport:
        response_times, self.response_times = self.response_times, {}
        watchers = self.feed.fleet.watchers
        term, feed_revision = watchers.oldest_position(
            (self.feed.fleet.feed.term, self.feed.fleet.feed.feed_revision)
        )
        return fleet_pb2.EntryReport(
            entry=self.feed.own_source.address,
            entries=watchers.direct_entry_count,
            term=term,
            mark=feed_revision,
            loads=self.loads.pop_counts(),
            times=response_times.values(),
            demands=self.demands.pop_counts(),
        )
