"""Most requested keys, in bounded memory."""

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

# Weights grow exponentially with time; they are scaled back before they lose precision.
LARGEST_GROWTH = 1e12


class HotKey(Value):
    """A key with its rate.

    :param key: the key
    :param rate: requests per second, at most ``error`` too high
    :param error: bound of the overestimate, in requests per second
    """

    __slots__ = ("error", "key", "rate")

    def __init__(self, key: str, rate: float, error: float) -> None:
        self.key = key
        self.rate = rate
        self.error = error


class HotKeyReport(Value):
    """Hot keys seen by one entry.

    :param keys: the hottest keys
    :param floor: bound of the rate of any key that is not listed, in requests per second
    """

    __slots__ = ("floor", "keys")

    def __init__(self, keys: tuple[HotKey, ...], floor: float) -> None:
        self.keys = keys
        self.floor = floor


class HotKeySketch:
    """Space-Saving (Metwally et al. 2005) with forward exponential decay (Cormode et al. 2009).

    :param settings: settings of the sketch
    :param clock: source of time
    """

    __slots__ = ("clock", "counters", "decay", "heap", "landmark", "settings")

    def __init__(self, settings: SketchSettings, clock: Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.decay = log(2.0) / settings.half_life
        self.landmark = clock.now()
        self.counters: dict[str, list[float]] = {}
        self.heap: list[tuple[float, str]] = []

    def add(self, key: str) -> None:
        """Count one request for a key."""
        weight = self._growth()
        counter = self.counters.get(key)
        if counter is not None:
            counter[0] += weight
            return
        if len(self.counters) < self.settings.capacity:
            self._insert(key, weight, 0.0)
            return
        least = self._evict()
        self._insert(key, least + weight, least)

    def report(self, size: int) -> HotKeyReport:
        """Return the hottest keys.

        :param size: largest number of keys
        """
        unit = self.decay / self._growth()
        found = nlargest(size, self.counters.items(), key=lambda item: (item[1][0], item[0]))
        keys = tuple(HotKey(key, count * unit, error * unit) for key, (count, error) in found)
        if len(self.counters) > len(keys):
            return HotKeyReport(keys, keys[-1].rate if keys else 0.0)
        is_full = len(self.counters) >= self.settings.capacity
        return HotKeyReport(keys, keys[-1].rate if is_full else 0.0)

    def _insert(self, key: str, count: float, error: float) -> None:
        self.counters[key] = [count, error]
        heappush(self.heap, (count, key))

    def _evict(self) -> float:
        """Remove the smallest counter and return its count.

        Counts only grow, so an entry of the heap is a lower bound and is corrected when popped.
        """
        while True:
            known, key = heappop(self.heap)
            count = self.counters[key][0]
            if count == known:
                del self.counters[key]
                return count
            heappush(self.heap, (count, key))

    def _growth(self) -> float:
        growth = exp(self.decay * (self.clock.now() - self.landmark))
        if growth < LARGEST_GROWTH:
            return growth
        for counter in self.counters.values():
            counter[0] /= growth
            counter[1] /= growth
        self.heap = sorted((counter[0], key) for key, counter in self.counters.items())
        self.landmark = self.clock.now()
        return 1.0


def merge(reports: Iterable[HotKeyReport], size: int) -> HotKeyReport:
    """Add up the reports of several entries.

    A key that a report does not list may still have been requested there at the report's floor,
    so the floor is added to rate and error.

    :param size: largest number of keys
    """
    taken = list(reports)
    floor = sum(report.floor for report in taken)
    rates: dict[str, float] = {}
    errors: dict[str, float] = {}
    for report in taken:
        for hot in report.keys:
            rates[hot.key] = rates.get(hot.key, floor) + hot.rate - report.floor
            errors[hot.key] = errors.get(hot.key, floor) + hot.error - report.floor
    merged = [HotKey(key, rates[key], errors[key]) for key in rates]
    merged.sort(key=lambda hot: (-hot.rate, hot.key))
    if len(merged) > size > 0:
        floor = max(floor, merged[size - 1].rate)
    return HotKeyReport(tuple(merged[:size]), floor)
