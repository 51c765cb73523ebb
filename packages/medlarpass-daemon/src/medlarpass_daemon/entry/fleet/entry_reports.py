"""Reports of an entry to control, and the responses to them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import grpc

from medlarpass.rpc import fleet_pb2
from medlarpass.rpc import fleet_pb2_grpc
from medlarpass_daemon.entry.fleet.events import PUBLICATION_OVERDUE
from medlarpass_daemon.waiting import wait_until_set

if TYPE_CHECKING:
    from collections.abc import Callable

    from medlarpass.dispatch import DemandCounter
    from medlarpass.ranges import KeyLoads
    from medlarpass_daemon.entry.fleet.fleet_watcher import FleetWatcher
    from medlarpass_daemon.entry.fleet.publication_age import PublicationAge

#: Interval of reports.
REPORT_INTERVAL_SECONDS = 0.4
REPORT_TIMEOUT_SECONDS = 1.0


class EntryReports:
    """Reports loads and the applied feed revision to the followed replica.

    The responses name the newest publication independently of the stream: they are small, and
    arrive in time over a link on which the stream is delayed.

    :param watcher: provides the followed replica
    :param publication_age: records the newest confirmed version
    :param loads: loads to report
    :param take_response_times: returns the count and total seconds of responses by server since
        the last call, then both for the responses of servers that reported an empty queue
    :param demands: requests for each pool to report
    """

    __slots__ = ("demands", "loads", "publication_age", "take_response_times", "watcher")

    def __init__(
        self,
        watcher: FleetWatcher,
        publication_age: PublicationAge,
        loads: KeyLoads,
        take_response_times: Callable[[], dict[str, tuple[int, float, int, float]]],
        demands: DemandCounter,
    ) -> None:
        self.watcher = watcher
        self.publication_age = publication_age
        self.loads = loads
        self.take_response_times = take_response_times
        self.demands = demands

    async def run(self) -> None:
        """Report until cancelled."""
        report_due = self.watcher.report_due
        while True:
            await wait_until_set(report_due, REPORT_INTERVAL_SECONDS)
            is_prompt = report_due.is_set()
            report_due.clear()
            if self.watcher.followed_address:
                await self._report(is_prompt)

    async def _report(self, is_prompt: bool) -> None:
        watcher = self.watcher
        stub = fleet_pb2_grpc.FleetStub(watcher.channels.to(watcher.followed_address))
        sent_at = self.publication_age.clock.now()
        try:
            response = await stub.Report(self._request(is_prompt), timeout=REPORT_TIMEOUT_SECONDS)
        except grpc.aio.AioRpcError:
            # Lost counts of one interval only delay rebalancing; the watcher logs a lost replica.
            return
        newest_until = sent_at - response.age_ms / 1000
        self.publication_age.record_newest_version(
            response.publication_version, newest_until, watcher.version()
        )
        if self.publication_age.is_overdue:
            self._log_overdue()

    def _request(self, is_prompt: bool) -> fleet_pb2.EntryReport:
        return fleet_pb2.EntryReport(
            entry=self.watcher.settings.name,
            loads=self.loads.pop_counts(),
            times=[
                fleet_pb2.ServerTime(
                    identity=identity,
                    answers=count,
                    milliseconds=round(seconds * 1000),
                    unqueued_answers=unqueued_count,
                    unqueued_milliseconds=round(unqueued_seconds * 1000),
                )
                for identity, (
                    count,
                    seconds,
                    unqueued_count,
                    unqueued_seconds,
                ) in self.take_response_times().items()
            ],
            term=self.watcher.term,
            mark=self.watcher.feed_revision,
            is_prompt=is_prompt,
            demands=self.demands.pop_counts(),
        )

    def _log_overdue(self) -> None:
        pending = self.publication_age.pending[0]
        PUBLICATION_OVERDUE.log(
            version=pending.version,
            in_force=self.watcher.version(),
            seconds=round(self.publication_age.clock.now() - pending.learned_at, 3),
        )
