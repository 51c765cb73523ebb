"""Requests of an entry by key."""

from __future__ import annotations

from medlarpass.ranges.range_loads import BUCKET_KEYS
from medlarpass.rpc import fleet_pb2


class KeyLoads:
    """Counts requests by bucket of keys until the next report."""

    __slots__ = ("counts",)

    def __init__(self) -> None:
        self.counts: dict[str, dict[int, int]] = {}

    def count(self, pool: str, key: int) -> None:
        """Count a request."""
        counts = self.counts.setdefault(pool, {})
        bucket = key // BUCKET_KEYS
        counts[bucket] = counts.get(bucket, 0) + 1

    def take(self) -> list[fleet_pb2.RangeLoad]:
        """Return the counts since the last call."""
        taken, self.counts = self.counts, {}
        return [
            fleet_pb2.RangeLoad(pool=pool, buckets=counts.keys(), requests=counts.values())
            for pool, counts in taken.items()
        ]
