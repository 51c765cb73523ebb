"""Heartbeat arrivals of one server."""

from __future__ import annotations

from collections import deque
from math import erfc
from math import log10
from math import sqrt
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarpass.dispatch.settings import DetectorSettings

# Suspicion level when the probability of a late heartbeat is below the smallest float.
LARGEST_PHI = 300.0


class Arrivals:
    """Intervals between heartbeats and the suspicion level derived from them.

    Phi accrual (Hayashibara et al. 2004) with a normal distribution of intervals.

    :param settings: settings of the detector
    :param now: time when the server became known, in seconds of running time
    """

    __slots__ = ("arrived_at", "failed_requests", "intervals", "settings", "squares", "total")

    def __init__(self, settings: DetectorSettings, now: float) -> None:
        self.settings = settings
        self.arrived_at = now
        self.failed_requests = 0
        self.intervals: deque[float] = deque()
        # Sums are kept, because phi is computed for each server at each tick.
        self.total = 0.0
        self.squares = 0.0
        self._add(settings.first_interval)

    def heartbeat(self, now: float) -> None:
        """Take a heartbeat."""
        self._add(now - self.arrived_at)
        self.alive(now)

    def alive(self, now: float) -> None:
        """Take another sign of life, which tells nothing about intervals."""
        self.arrived_at = max(self.arrived_at, now)
        self.failed_requests = 0

    def phi(self, now: float) -> float:
        """Return the suspicion level: minus the logarithm of the chance of so late a heartbeat."""
        count = len(self.intervals)
        mean = self.total / count
        variance = max(self.squares / count - mean * mean, 0.0)
        deviation = max(sqrt(variance), self.settings.least_deviation)
        late = 0.5 * erfc((now - self.arrived_at - mean) / (deviation * sqrt(2.0)))
        return -log10(late) if late > 10.0**-LARGEST_PHI else LARGEST_PHI

    def _add(self, interval: float) -> None:
        self.intervals.append(interval)
        self.total += interval
        self.squares += interval * interval
        if len(self.intervals) > self.settings.window:
            oldest = self.intervals.popleft()
            self.total -= oldest
            self.squares -= oldest * oldest
