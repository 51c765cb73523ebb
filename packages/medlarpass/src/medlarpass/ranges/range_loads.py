"""Load of key ranges, as entries report it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.ranges.range_assignment import KEY_COUNT

if TYPE_CHECKING:
    from collections.abc import Iterable

#: Keys counted together. Busy keys are close to one another, so the buckets have to be small.
BUCKET_KEYS = 8
BUCKETS = KEY_COUNT // BUCKET_KEYS
#: Requests per report period that every bucket is credited with, so that keys without requests
#: are spread too.
FLOOR = 0.0005


class RangeLoads:
    """Decaying request counts of the buckets of one pool.

    :param decay: share of a count that remains after one report period
    """

    __slots__ = ("counts", "decay")

    def __init__(self, decay: float) -> None:
        self.decay = decay
        self.counts = [0.0] * BUCKETS

    def add(self, buckets: Iterable[int], requests: Iterable[int]) -> None:
        """Add the counts of one entry."""
        for bucket, count in zip(buckets, requests, strict=True):
            if bucket < BUCKETS:
                self.counts[bucket] += count

    def age(self) -> None:
        """End a report period."""
        self.counts = [count * self.decay for count in self.counts]

    def of(self, first: int, last: int) -> float:
        """Return the load of the keys from ``first`` to ``last``."""
        begin, end = first // BUCKET_KEYS, last // BUCKET_KEYS
        total = sum(self.counts[begin : end + 1]) + FLOOR * (last - first + 1) / BUCKET_KEYS
        total -= self.counts[begin] * (first % BUCKET_KEYS) / BUCKET_KEYS
        total -= self.counts[end] * (BUCKET_KEYS - 1 - last % BUCKET_KEYS) / BUCKET_KEYS
        return total

    def cut(self, first: int, last: int, load: float) -> int:
        """Return the last key of a part that begins at ``first`` and has about a load.

        :returns: a key from ``first`` to ``last``
        """
        key = first
        while key <= last:
            end = min(last, (key // BUCKET_KEYS + 1) * BUCKET_KEYS - 1)
            step = self.of(key, end)
            if step >= load:
                part = int((end - key + 1) * load / step)
                return max(first, min(last, key + part - 1))
            load -= step
            key = end + 1
        return last
