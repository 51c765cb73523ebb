"""Load of shards, keys and servers as reported by the entries of the domain."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.dispatch import PeerLoads
from medlarpass.ownership import Assignment

if TYPE_CHECKING:
    from medlarpass import Clock
    from medlarpass.rpc import domain_pb2

#: Age from which a report is ignored.
MAX_REPORT_AGE_SECONDS = 2.0


class LoadReports:
    """Latest report of each entry, including this one.

    :param own_name: name of this entry, whose requests do not count as those of a peer
    :param clock: clock of this process
    """

    __slots__ = ("clock", "own_name", "peers", "reports")

    def __init__(self, own_name: str, clock: Clock) -> None:
        self.own_name = own_name
        self.clock = clock
        self.peers = PeerLoads(MAX_REPORT_AGE_SECONDS)
        self.reports: dict[str, tuple[float, domain_pb2.PeerReport]] = {}

    def record_report(self, report: domain_pb2.PeerReport) -> None:
        """Replace the report of a peer."""
        now = self.clock.now()
        self.reports[report.entry] = (now, report)
        if report.entry != self.own_name:
            in_flight = {load.server: load.in_flight for load in report.loads}
            self.peers.update(report.entry, in_flight, now)

    def in_flight(self, server: str, now: float, decay_time: float | None = None) -> float:
        """Return the peers' requests in flight at a server.

        :param server: identity of the server
        :param now: clock reading
        :param decay_time: time constant of the exponential decay, in seconds; None for no decay
        """
        return self.peers.in_flight(server, now, decay_time)

    def request_rates(self, pool: str) -> dict[Assignment, float]:
        """Return requests per second by assignment.

        :param pool: name of the pool
        """
        result: dict[Assignment, float] = {}
        for report in self._fresh():
            for shard in report.shard_loads:
                if shard.pool == pool:
                    assignment = Assignment(pool, shard.shard)
                    result[assignment] = result.get(assignment, 0.0) + shard.requests_per_second
        return result

    def hot_keys(self, pool: str) -> dict[str, float]:
        """Return requests per second of the hottest keys.

        :param pool: name of the pool
        """
        result: dict[str, float] = {}
        for report in self._fresh():
            for load in report.hot_keys:
                if load.pool == pool:
                    result[load.key] = result.get(load.key, 0.0) + load.requests_per_second
        return result

    def _fresh(self) -> list[domain_pb2.PeerReport]:
        not_before = self.clock.now() - MAX_REPORT_AGE_SECONDS
        return [
            report for received_at, report in self.reports.values() if received_at >= not_before
        ]
