"""Reports of an entry to control, and what the answers say."""

from __future__ import annotations

from typing import TYPE_CHECKING

import grpc

from medlarpass.rpc import fleet_pb2
from medlarpass.rpc import fleet_pb2_grpc
from medlarpass_daemon.entry.fleet.events import PUBLICATION_OVERDUE
from medlarpass_daemon.waiting import wait_until_set

if TYPE_CHECKING:
    from collections.abc import Callable

    from medlarpass.ranges import KeyLoads
    from medlarpass_daemon.entry.fleet.fleet_watcher import FleetWatcher
    from medlarpass_daemon.entry.fleet.publication_age import PublicationAge

#: Seconds between two reports.
PERIOD = 0.4
TIMEOUT = 1.0


class EntryReports:
    """Tells the followed replica what this entry has seen and how far it follows.

    The answers say which publication is the newest, beside the stream: they are small, and pass on
    a link on which the stream is late.

    :param watcher: knows the followed replica
    :param age: learns how old the publication in force may be
    :param loads: loads to report
    :param times: returns answers and their seconds by server since the last call
    """

    __slots__ = ("age", "loads", "times", "watcher")

    def __init__(
        self,
        watcher: FleetWatcher,
        age: PublicationAge,
        loads: KeyLoads,
        times: Callable[[], dict[str, tuple[int, float]]],
    ) -> None:
        self.watcher = watcher
        self.age = age
        self.loads = loads
        self.times = times

    async def run(self) -> None:
        """Report until cancelled."""
        due = self.watcher.report_due
        while True:
            await wait_until_set(due, PERIOD)
            is_prompt = due.is_set()
            due.clear()
            if self.watcher.source:
                await self._report(is_prompt)

    async def _report(self, is_prompt: bool) -> None:
        watcher = self.watcher
        stub = fleet_pb2_grpc.FleetStub(watcher.channels.to(watcher.source))
        asked_at = self.age.clock.now()
        try:
            response = await stub.Report(self._request(is_prompt), timeout=TIMEOUT)
        except grpc.aio.AioRpcError:
            # The counts of one period only delay the balance; the watch logs a lost replica.
            return
        known_at = asked_at - response.age_ms / 1000
        self.age.heard(response.publication_version, known_at, watcher.version())
        if self.age.is_overdue:
            self._log_overdue()

    def _request(self, is_prompt: bool) -> fleet_pb2.EntryReport:
        return fleet_pb2.EntryReport(
            entry=self.watcher.settings.name,
            loads=self.loads.pop_counts(),
            times=[
                fleet_pb2.ServerTime(
                    identity=identity, answers=answers, milliseconds=round(seconds * 1000)
                )
                for identity, (answers, seconds) in self.times().items()
            ],
            term=self.watcher.term,
            mark=self.watcher.mark,
            is_prompt=is_prompt,
        )

    def _log_overdue(self) -> None:
        awaited = self.age.awaited[0]
        PUBLICATION_OVERDUE.log(
            version=awaited.version,
            in_force=self.watcher.version(),
            seconds=round(self.age.clock.now() - awaited.heard_at, 3),
        )
