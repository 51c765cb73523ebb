"""Counts of the requests for each pool at an entry."""

from __future__ import annotations

from medlarpass.rpc import fleet_pb2


class DemandCounter:
    """Counts the requests by pool, domain and priority until the next report.

    An entry counts with its own failure domain. A relay adds up the counts of its entries.
    """

    __slots__ = ("counts",)

    def __init__(self) -> None:
        #: Requests by pool, failure domain of the entry, and priority of the route.
        self.counts: dict[tuple[str, str, int], int] = {}

    def count(self, pool: str, domain: str, priority: int) -> None:
        """Count one request of a caller, whether or not it is admitted."""
        key = (pool, domain, priority)
        self.counts[key] = self.counts.get(key, 0) + 1

    def add(self, demand: fleet_pb2.PoolDemand) -> None:
        """Add the count reported by an entry."""
        key = (demand.pool, demand.domain, demand.priority)
        self.counts[key] = self.counts.get(key, 0) + demand.requests

    def pop_counts(self) -> list[fleet_pb2.PoolDemand]:
        """Return the counts since the last call and reset them."""
        counts, self.counts = self.counts, {}
        return [
            fleet_pb2.PoolDemand(pool=pool, domain=domain, priority=priority, requests=requests)
            for (pool, domain, priority), requests in counts.items()
        ]
