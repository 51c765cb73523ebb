"""Detection of the most requested keys in bounded memory."""

from __future__ import annotations

from heapq import heappop
from heapq import heappush
from heapq import nlargest
from math import exp
from math import log
from typing import TYPE_CHECKING

from medlarpass.base import Value

if TYPE_CHECKING:
    from collections.abc import Iterable

    from medlarpass.clock import Clock
    from medlarpass.dispatch.settings import SketchSettings

# Counters are rescaled when the growth factor reaches this value, before they lose precision.
MAX_GROWTH_RATIO = 1e12


class HotKey(Value):
    """A key and its estimated request rate.

    :param key: the key
    :param rate: requests per second, overestimated by at most ``error``
    :param error: upper bound of the overestimate, in requests per second
    """

    __slots__ = ("error", "key", "rate")

    def __init__(self, key: str, rate: float, error: float) -> None:
        self.key = key
        self.rate = rate
        self.error = error


class HotKeyReport(Value):
    """Hot keys observed by one entry.

    :param keys: the most requested keys, highest rate first
    :param unlisted_rate_bound: upper bound of the rate of keys that are not listed, in requests
        per second
    """

    __slots__ = ("keys", "unlisted_rate_bound")

    def __init__(self, keys: tuple[HotKey, ...], unlisted_rate_bound: float) -> None:
        self.keys = keys
        self.unlisted_rate_bound = unlisted_rate_bound


class HotKeySketch:
    """Space-Saving sketch (Metwally et al. 2005) with forward decay (Cormode et al. 2009).

    :param settings: settings of the sketch
    :param clock: source of time
    """

    __slots__ = ("clock", "counters", "decay_rate", "heap", "landmark", "settings")

    def __init__(self, settings: SketchSettings, clock: Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.decay_rate = log(2.0) / settings.half_life
        self.landmark = clock.now()
        self.counters: dict[str, list[float]] = {}
        self.heap: list[tuple[float, str]] = []

    def add(self, key: str) -> None:
        """Count one request for a key."""
        weight = self._growth_factor()
        counter = self.counters.get(key)
        if counter is not None:
            counter[0] += weight
            return
        if len(self.counters) < self.settings.capacity:
            self._insert(key, weight, 0.0)
            return
        smallest_count = self._evict()
        self._insert(key, smallest_count + weight, smallest_count)

    def report(self, size: int) -> HotKeyReport:
        """Return the most requested keys.

        :param size: maximum number of keys
        """
        rate_per_count = self.decay_rate / self._growth_factor()
        top_counters = nlargest(size, self.counters.items(), key=lambda item: (item[1][0], item[0]))
        keys = tuple(
            HotKey(key, count * rate_per_count, error * rate_per_count)
            for key, (count, error) in top_counters
        )
        if len(self.counters) > len(keys):
            return HotKeyReport(keys, keys[-1].rate if keys else 0.0)
        is_full = len(self.counters) >= self.settings.capacity
        return HotKeyReport(keys, keys[-1].rate if is_full else 0.0)

    def _insert(self, key: str, count: float, error: float) -> None:
        self.counters[key] = [count, error]
        heappush(self.heap, (count, key))

    def _evict(self) -> float:
        """Remove the smallest counter and return its count.

        Counts only grow, so a count in the heap is a lower bound; an outdated one is pushed back
        with the current count.
        """
        while True:
            queued_count, key = heappop(self.heap)
            count = self.counters[key][0]
            if count == queued_count:
                del self.counters[key]
                return count
            heappush(self.heap, (count, key))

    def _growth_factor(self) -> float:
        growth_factor = exp(self.decay_rate * (self.clock.now() - self.landmark))
        if growth_factor < MAX_GROWTH_RATIO:
            return growth_factor
        for counter in self.counters.values():
            counter[0] /= growth_factor
            counter[1] /= growth_factor
        self.heap = sorted((counter[0], key) for key, counter in self.counters.items())
        self.landmark = self.clock.now()
        return 1.0


def merge_reports(reports: Iterable[HotKeyReport], size: int) -> HotKeyReport:
    """Merge the reports of several entries.

    A key that a report does not list may still have been requested at that entry at the report's
    ``unlisted_rate_bound``, so this bound is added to its rate and error.

    :param size: maximum number of keys
    """
    collected = list(reports)
    unlisted_rate_bound = sum(report.unlisted_rate_bound for report in collected)
    rates: dict[str, float] = {}
    errors: dict[str, float] = {}
    for report in collected:
        for hot_key in report.keys:
            rates[hot_key.key] = (
                rates.get(hot_key.key, unlisted_rate_bound)
                + hot_key.rate
                - report.unlisted_rate_bound
            )
            errors[hot_key.key] = (
                errors.get(hot_key.key, unlisted_rate_bound)
                + hot_key.error
                - report.unlisted_rate_bound
            )
    merged = [HotKey(key, rates[key], errors[key]) for key in rates]
    merged.sort(key=lambda hot_key: (-hot_key.rate, hot_key.key))
    if len(merged) > size > 0:
        unlisted_rate_bound = max(unlisted_rate_bound, merged[size - 1].rate)
    return HotKeyReport(tuple(merged[:size]), unlisted_rate_bound)
