"""Load of key ranges, from the request counts that entries report."""

from __future__ import annotations

from bisect import bisect_left
from bisect import bisect_right
from itertools import accumulate
from typing import TYPE_CHECKING

from medlarpass.ranges.range_assignment import KEY_COUNT

if TYPE_CHECKING:
    from collections.abc import Iterable

#: Requests per report period that are added to the load of every key, so that keys without
#: requests are distributed too.
BASE_REQUEST_COUNT = 0.0005 / 8
#: Count below which a key is dropped; its load is then ``BASE_REQUEST_COUNT``.
MIN_REQUEST_COUNT = 0.01


class RangeLoads:
    """Exponentially decaying request counts of the keys of one pool.

    Requests are counted per key, because a single key may exceed the capacity of a server; the
    other keys then have to move away from that server.

    :param decay: ratio of a count that remains after one report period
    """

    __slots__ = ("counts", "decay", "keys", "prefix_sums")

    def __init__(self, decay: float) -> None:
        self.decay = decay
        self.counts: dict[int, float] = {}
        #: Counted keys in ascending order, and the sum of the counts before each; built on demand.
        self.keys: list[int] = []
        self.prefix_sums: list[float] = []

    def add(self, keys: Iterable[int], requests: Iterable[int]) -> None:
        """Add the request counts reported by one entry."""
        for key, count in zip(keys, requests, strict=True):
            if key < KEY_COUNT:
                self.counts[key] = self.counts.get(key, 0.0) + count
        self.prefix_sums = []

    def apply_decay(self) -> None:
        """Apply the decay at the end of a report period."""
        self.counts = {
            key: count * self.decay
            for key, count in self.counts.items()
            if count * self.decay >= MIN_REQUEST_COUNT
        }
        self.prefix_sums = []

    def load_between(self, first: int, last: int) -> float:
        """Return the load of the keys from ``first`` to ``last``."""
        if not self.prefix_sums:
            self._build_prefix_sums()
        begin, end = bisect_left(self.keys, first), bisect_right(self.keys, last)
        return (
            self.prefix_sums[end]
            - self.prefix_sums[begin]
            + BASE_REQUEST_COUNT * (last - first + 1)
        )

    def longest_prefix_end(self, first: int, last: int, load: float) -> int:
        """Return the last key of the longest part starting at ``first`` with at most ``load``.

        :returns: a key up to ``last``; ``first - 1`` if ``first`` alone exceeds ``load``
        """
        low, high = first - 1, last
        while low < high:
            middle = (low + high + 1) // 2
            if self.load_between(first, middle) <= load:
                low = middle
            else:
                high = middle - 1
        return low

    def longest_suffix_start(self, first: int, last: int, load: float) -> int:
        """Return the first key of the longest part ending at ``last`` with at most ``load``.

        :returns: a key from ``first`` on; ``last + 1`` if ``last`` alone exceeds ``load``
        """
        low, high = first, last + 1
        while low < high:
            middle = (low + high) // 2
            if self.load_between(middle, last) <= load:
                high = middle
            else:
                low = middle + 1
        return low

    def _build_prefix_sums(self) -> None:
        self.keys = sorted(self.counts)
        self.prefix_sums = list(accumulate((self.counts[key] for key in self.keys), initial=0.0))
