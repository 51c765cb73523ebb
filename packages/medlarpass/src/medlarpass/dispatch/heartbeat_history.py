"""Heartbeat history of one server and its phi accrual suspicion level."""

from __future__ import annotations

from collections import deque
from math import erfc
from math import log10
from math import sqrt
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarpass.dispatch.settings import DetectorSettings

# Upper bound of phi, reported when the tail probability is too small for a float.
MAX_PHI = 300.0


class HeartbeatHistory:
    """Intervals between heartbeats and the suspicion level derived from them.

    Phi accrual (Hayashibara et al. 2004) with a normal distribution of intervals.

    :param settings: settings of the detector
    :param now: running time of the observer when the server became known, in seconds
    """

    __slots__ = (
        "interval_square_sum",
        "interval_sum",
        "intervals",
        "last_seen_at",
        "settings",
        "unanswered_requests",
    )

    def __init__(self, settings: DetectorSettings, now: float) -> None:
        self.settings = settings
        self.last_seen_at = now
        self.unanswered_requests = 0
        self.intervals: deque[float] = deque()
        # Running sums, because phi is computed for each server at each tick.
        self.interval_sum = 0.0
        self.interval_square_sum = 0.0
        self._add(settings.initial_interval)

    def record_heartbeat(self, now: float) -> None:
        """Record a heartbeat and its interval."""
        self._add(now - self.last_seen_at)
        self.record_activity(now)

    def record_activity(self, now: float) -> None:
        """Record that the server is alive without adding a heartbeat interval."""
        self.last_seen_at = max(self.last_seen_at, now)
        self.unanswered_requests = 0

    def phi(self, now: float) -> float:
        """Return the suspicion level phi: -log10 of the probability of a heartbeat this late."""
        count = len(self.intervals)
        mean = self.interval_sum / count
        variance = max(self.interval_square_sum / count - mean * mean, 0.0)
        deviation = max(sqrt(variance), self.settings.min_deviation)
        tail_probability = 0.5 * erfc((now - self.last_seen_at - mean) / (deviation * sqrt(2.0)))
        return -log10(tail_probability) if tail_probability > 10.0**-MAX_PHI else MAX_PHI

    def _add(self, interval: float) -> None:
        self.intervals.append(interval)
        self.interval_sum += interval
        self.interval_square_sum += interval * interval
        if len(self.intervals) > self.settings.window_size:
            oldest_interval = self.intervals.popleft()
            self.interval_sum -= oldest_interval
            self.interval_square_sum -= oldest_interval * oldest_interval
