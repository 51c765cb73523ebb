"""Requests of an entry by pool and priority between two reports."""

from __future__ import annotations

from medlarpass.rpc import fleet_pb2


class DemandCounts:
    """Counts the requests for each pool until the next report."""

    __slots__ = ("counts",)

    def __init__(self) -> None:
        #: Requests by pool, domain of the entry and priority.
        self.counts: dict[tuple[str, str, int], int] = {}

    def count(self, pool: str, domain: str, priority: int, requests: int = 1) -> None:
        """Count requests for a pool."""
        key = (pool, domain, priority)
        self.counts[key] = self.counts.get(key, 0) + requests

    def add(self, demand: fleet_pb2.PoolDemand) -> None:
        """Add the count reported by another process."""
        self.count(demand.pool, demand.domain, demand.priority, demand.requests)

    def pop_counts(self) -> list[fleet_pb2.PoolDemand]:
        """Return the counts since the last call and reset them."""
        counts, self.counts = self.counts, {}
        return [
            fleet_pb2.PoolDemand(pool=pool, domain=domain, priority=priority, requests=requests)
            for (pool, domain, priority), requests in counts.items()
        ]
