"""Load of key ranges, as entries report it."""

from __future__ import annotations

from bisect import bisect_left
from bisect import bisect_right
from itertools import accumulate
from typing import TYPE_CHECKING

from medlarpass.ranges.range_assignment import KEY_COUNT

if TYPE_CHECKING:
    from collections.abc import Iterable

#: Requests per report period that every key is credited with, so that keys without requests are
#: spread too.
FLOOR = 0.0005 / 8
#: Count below which a key is forgotten; it is then credited with ``FLOOR`` alone.
FORGOTTEN = 0.01


class RangeLoads:
    """Decaying request counts of the keys of one pool.

    Single keys are counted, since one key alone may be more than a server can run and its
    neighbours have to leave that server.

    :param decay: share of a count that remains after one report period
    """

    __slots__ = ("counts", "decay", "keys", "sums")

    def __init__(self, decay: float) -> None:
        self.decay = decay
        self.counts: dict[int, float] = {}
        #: Counted keys in their order and the sums of the counts before each; built when needed.
        self.keys: list[int] = []
        self.sums: list[float] = []

    def add(self, keys: Iterable[int], requests: Iterable[int]) -> None:
        """Add the counts of one entry."""
        for key, count in zip(keys, requests, strict=True):
            if key < KEY_COUNT:
                self.counts[key] = self.counts.get(key, 0.0) + count
        self.sums = []

    def age(self) -> None:
        """End a report period."""
        self.counts = {
            key: count * self.decay
            for key, count in self.counts.items()
            if count * self.decay >= FORGOTTEN
        }
        self.sums = []

    def of(self, first: int, last: int) -> float:
        """Return the load of the keys from ``first`` to ``last``."""
        if not self.sums:
            self._sum_up()
        begin, end = bisect_left(self.keys, first), bisect_right(self.keys, last)
        return self.sums[end] - self.sums[begin] + FLOOR * (last - first + 1)

    def first_part(self, first: int, last: int, load: float) -> int:
        """Return the end of the longest part from ``first`` on whose load is at most ``load``.

        :returns: a key from ``first - 1``, when ``first`` alone is more, to ``last``
        """
        low, high = first - 1, last
        while low < high:
            middle = (low + high + 1) // 2
            if self.of(first, middle) <= load:
                low = middle
            else:
                high = middle - 1
        return low

    def last_part(self, first: int, last: int, load: float) -> int:
        """Return the beginning of the longest part up to ``last`` whose load is at most ``load``.

        :returns: a key from ``first`` to ``last + 1``, when ``last`` alone is more
        """
        low, high = first, last + 1
        while low < high:
            middle = (low + high) // 2
            if self.of(middle, last) <= load:
                high = middle
            else:
                low = middle + 1
        return low

    def _sum_up(self) -> None:
        self.keys = sorted(self.counts)
        self.sums = list(accumulate((self.counts[key] for key in self.keys), initial=0.0))
