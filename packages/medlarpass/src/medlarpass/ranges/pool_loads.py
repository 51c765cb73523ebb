"""Load of the keys of one pool over a long and a short time window."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.ranges.range_loads import RangeLoads

if TYPE_CHECKING:
    from collections.abc import Iterable

#: Ratio of a count that remains after a report period of half a second. A server answers only a few
#: requests a second, so it takes counts over about 10 s to tell an imbalance from random variation.
STEADY_DECAY_RATIO = 0.95
#: Ratio that makes most of the load of a key that becomes hot visible within a second.
RECENT_DECAY_RATIO = 0.5


class PoolLoads:
    """Counts of the same requests with a slow and a fast decay."""

    __slots__ = ("recent", "steady")

    def __init__(self) -> None:
        self.steady = RangeLoads(STEADY_DECAY_RATIO)
        self.recent = RangeLoads(RECENT_DECAY_RATIO)

    def add(self, keys: Iterable[int], requests: Iterable[int]) -> None:
        """Add the request counts of one report."""
        keys, requests = list(keys), list(requests)
        self.steady.add(keys, requests)
        self.recent.add(keys, requests)

    def apply_decay(self) -> None:
        """Apply the decay at the end of a report period."""
        self.steady.apply_decay()
        self.recent.apply_decay()
