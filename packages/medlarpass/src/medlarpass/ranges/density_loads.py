"""Load of keys as a density, which has less random variation than the counts of the keys."""

from __future__ import annotations

from bisect import bisect_left
from itertools import accumulate
from math import sqrt
from typing import TYPE_CHECKING

from medlarpass.ranges.range_assignment import KEY_COUNT
from medlarpass.ranges.range_loads import BASE_REQUEST_COUNT
from medlarpass.ranges.range_loads import RangeLoads

if TYPE_CHECKING:
    from medlarpass.ranges.pool_loads import PoolLoads

#: Standard deviations by which two halves of an interval have to differ to count as different, and
#: the recent count of an interval from the long-term one to replace it.
MAX_DEVIATION_COUNT = 3.0
#: Requests of an interval from which its halves are compared; all requests in one half of fewer
#: would be less than three deviations.
MIN_SPLIT_REQUEST_COUNT = 10.0


class DensityLoads(RangeLoads):
    """Load of keys that is constant in each of a set of intervals.

    A server gets 6 to 10 requests a second, so that its recent count says little about its load: a
    limit at three deviations is twice the mean. The keys that become hot together are many more
    requests. Intervals are halved as long as the counts differ by more than random variation; one
    that has recently changed has its recent load, another one that of about 10 s.

    :param loads: load of the keys of a pool
    """

    __slots__ = ("firsts", "lasts", "sums")

    def __init__(self, loads: PoolLoads) -> None:
        super().__init__(loads.steady.decay)
        recent, steady = _Counts(loads.recent), _Counts(loads.steady)
        # Long-term requests for each recent one, if no key has changed its share.
        ratio = steady.total / recent.total if recent.total else 0.0
        root = _Interval(0, KEY_COUNT - 1, recent.total, steady.total)
        intervals = _split(recent, steady, root)
        #: First and last keys of the intervals, in ascending order.
        self.firsts = [interval.first for interval in intervals]
        self.lasts = [interval.last for interval in intervals]
        #: Sum of the loads before each interval.
        self.sums = list(
            accumulate((_merged_load(interval, ratio) for interval in intervals), initial=0.0)
        )

    def load_between(self, first: int, last: int) -> float:
        """Return the load of the keys from ``first`` to ``last``."""
        return (
            self._load_before(last + 1)
            - self._load_before(first)
            + BASE_REQUEST_COUNT * (last - first + 1)
        )

    def _load_before(self, key: int) -> float:
        if key >= KEY_COUNT:
            return self.sums[-1]
        index = bisect_left(self.lasts, key)
        first, last = self.firsts[index], self.lasts[index]
        load = self.sums[index + 1] - self.sums[index]
        return self.sums[index] + load * (key - first) / (last - first + 1)


class _Counts:
    """Sums of the counts of keys.

    :param loads: counts of the keys
    """

    __slots__ = ("keys", "sums", "total")

    def __init__(self, loads: RangeLoads) -> None:
        self.keys = sorted(loads.counts)
        self.sums = list(accumulate((loads.counts[key] for key in self.keys), initial=0.0))
        self.total = self.sums[-1]

    def between(self, first: int, last: int) -> float:
        """Return the requests for the keys from ``first`` to ``last``."""
        begin = bisect_left(self.keys, first)
        return self.sums[bisect_left(self.keys, last + 1, begin)] - self.sums[begin]


class _Interval:
    """Requests for neighbouring keys.

    :param first: first key
    :param last: last key
    :param recent: recent requests
    :param steady: requests over a longer time
    """

    __slots__ = ("first", "last", "recent", "steady")

    def __init__(self, first: int, last: int, recent: float, steady: float) -> None:
        self.first = first
        self.last = last
        self.recent = recent
        self.steady = steady


def _split(recent: _Counts, steady: _Counts, whole: _Interval) -> list[_Interval]:
    """Return the parts of an interval with an even load each."""
    first, last = whole.first, whole.last
    if first == last or max(whole.recent, whole.steady) < MIN_SPLIT_REQUEST_COUNT:
        return [whole]
    middle = (first + last) // 2
    left = _Interval(first, middle, recent.between(first, middle), steady.between(first, middle))
    right = _Interval(middle + 1, last, whole.recent - left.recent, whole.steady - left.steady)
    parts = [*_split(recent, steady, left), *_split(recent, steady, right)]
    if len(parts) > 2 or _differ(left.recent, right.recent) or _differ(left.steady, right.steady):
        return parts
    return [whole]


def _differ(left: float, right: float) -> bool:
    """Return whether the counts of two halves differ by more than random variation."""
    count = left + right
    return count >= MIN_SPLIT_REQUEST_COUNT and abs(left - right) > MAX_DEVIATION_COUNT * sqrt(
        count
    )


def _merged_load(interval: _Interval, ratio: float) -> float:
    """Return the load of an interval in long-term requests.

    A recent count replaces the long-term one in proportion to the square of its deviation, so that
    small differences, which are mostly random, have little effect.

    :param ratio: long-term requests of the pool for each recent one
    """
    if not ratio:
        return interval.steady
    expected = interval.steady / ratio
    excess = interval.recent - expected
    deviations = abs(excess) / sqrt(max(expected, 1.0))
    return (expected + min((deviations / MAX_DEVIATION_COUNT) ** 2, 1.0) * excess) * ratio
