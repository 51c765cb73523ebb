"""Request counts by key between two reports."""

from __future__ import annotations

from medlarpass.rpc import fleet_pb2


class KeyLoads:
    """Counts the requests for each key until the next report."""

    __slots__ = ("counts",)

    def __init__(self) -> None:
        self.counts: dict[str, dict[int, int]] = {}

    def count(self, pool: str, key: int) -> None:
        """Count one request for a key."""
        counts = self.counts.setdefault(pool, {})
        counts[key] = counts.get(key, 0) + 1

    def add(self, load: fleet_pb2.RangeLoad) -> None:
        """Add the counts reported by another process."""
        counts = self.counts.setdefault(load.pool, {})
        for key, requests in zip(load.keys, load.requests, strict=False):
            counts[key] = counts.get(key, 0) + requests

    def pop_counts(self) -> list[fleet_pb2.RangeLoad]:
        """Return the counts since the last call and reset them."""
        counts_by_pool, self.counts = self.counts, {}
        return [
            fleet_pb2.RangeLoad(pool=pool, keys=counts.keys(), requests=counts.values())
            for pool, counts in counts_by_pool.items()
        ]
