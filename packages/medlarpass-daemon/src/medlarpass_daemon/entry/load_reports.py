"""Load of shards, keys and servers as told by the entries of the domain."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.dispatch import PeerLoads
from medlarpass.ownership import Assignment

if TYPE_CHECKING:
    from medlarpass import Clock
    from medlarpass.rpc import domain_pb2

#: Age of a peer's report, in seconds, after which it no longer counts.
STALE_AFTER = 2.0


class LoadReports:
    """Last report of each peer, this entry included.

    :param own: name of this entry, whose own requests are not counted as a peer's
    :param clock: clock of this process
    """

    __slots__ = ("clock", "own", "peers", "reports")

    def __init__(self, own: str, clock: Clock) -> None:
        self.own = own
        self.clock = clock
        self.peers = PeerLoads(STALE_AFTER)
        self.reports: dict[str, tuple[float, domain_pb2.PeerReport]] = {}

    def take(self, report: domain_pb2.PeerReport) -> None:
        """Replace the report of a peer."""
        now = self.clock.now()
        self.reports[report.entry] = (now, report)
        if report.entry != self.own:
            in_flight = {load.server: load.in_flight for load in report.loads}
            self.peers.update(report.entry, in_flight, now)

    def in_flight(self, server: str, now: float, memory: float | None = None) -> float:
        """Return the peers' requests in flight at a server.

        :param server: identity of the server
        :param now: reading of the clock
        :param memory: seconds after which a report counts 1/e; without it reports count in full
        """
        return self.peers.in_flight(server, now, memory)

    def of_pool(self, pool: str) -> dict[Assignment, float]:
        """Return requests a second by assignment.

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
        """Return requests a second of the hottest keys.

        :param pool: name of the pool
        """
        result: dict[str, float] = {}
        for report in self._fresh():
            for each in report.hot_keys:
                if each.pool == pool:
                    result[each.key] = result.get(each.key, 0.0) + each.requests_per_second
        return result

    def _fresh(self) -> list[domain_pb2.PeerReport]:
        oldest = self.clock.now() - STALE_AFTER
        return [report for at, report in self.reports.values() if at >= oldest]
