"""Lag of this process's event loop."""

from __future__ import annotations

import asyncio

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarpass import Clock

#: Interval between measurements while attempts are in flight.
SAMPLE_INTERVAL_SECONDS = 0.005
#: Delay that a timer may have on an idle loop; uvloop timers have a resolution of milliseconds.
TIMER_RESOLUTION_SECONDS = 0.001
#: A response waits for the loop twice: until it is read, and until the task of its request runs.
LOOP_WAITS_PER_RESPONSE_COUNT = 2
#: Number of measurements kept; only the lag at the end of an attempt matters.
MAX_SAMPLE_COUNT = 8


class LoopLag:
    """Measures the event loop lag while attempts are in flight.

    Without it, an entry that is short of CPU time would attribute its own delay to the servers. No
    timer runs while no attempt is in flight.

    :param clock: source of time
    """

    __slots__ = ("attempts_in_flight", "clock", "sample_due_at", "samples")

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.attempts_in_flight = 0
        #: Clock reading at which the next measurement is due, if there is one.
        self.sample_due_at: float | None = None
        #: Clock readings and lags of the last measurements, in seconds.
        self.samples: deque[tuple[float, float]] = deque(maxlen=MAX_SAMPLE_COUNT)

    def attempt_started(self) -> None:
        """Count an attempt as in flight."""
        self.attempts_in_flight += 1
        if self.sample_due_at is None:
            self._schedule()

    def attempt_ended(self) -> None:
        """Count an attempt as ended."""
        self.attempts_in_flight -= 1

    def measure(self) -> None:
        """Record the lag of the measurement that is due."""
        if self.sample_due_at is not None:
            now = self.clock.now()
            self.samples.append(
                (now, max(now - self.sample_due_at - TIMER_RESOLUTION_SECONDS, 0.0))
            )
        self.sample_due_at = None
        if self.attempts_in_flight:
            self._schedule()

    def latency_without_lag(self, started_at: float) -> float:
        """Return the latency of an attempt whose response arrives now, less the event loop lag.

        :param started_at: clock reading at which the attempt began
        :returns: seconds, at least ``TIMER_RESOLUTION_SECONDS``
        """
        now = self.clock.now()
        # An overdue measurement counts up to now. A completed one also counts for attempts that
        # began up to one interval after it.
        lag = (
            0.0
            if self.sample_due_at is None
            else now - self.sample_due_at - TIMER_RESOLUTION_SECONDS
        )
        for measured_at, late in self.samples:
            if measured_at > started_at - SAMPLE_INTERVAL_SECONDS and late > lag:
                lag = late
        return max(
            now - started_at - LOOP_WAITS_PER_RESPONSE_COUNT * max(lag, 0.0),
            TIMER_RESOLUTION_SECONDS,
        )

    def _schedule(self) -> None:
        self.sample_due_at = self.clock.now() + SAMPLE_INTERVAL_SECONDS
        asyncio.get_running_loop().call_later(SAMPLE_INTERVAL_SECONDS, self.measure)
