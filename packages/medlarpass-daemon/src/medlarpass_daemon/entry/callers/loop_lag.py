"""Delay of the entry's own event loop."""

from __future__ import annotations

import asyncio

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarpass import Clock

#: Seconds between two measurements while attempts are in flight.
SAMPLE_INTERVAL_SECONDS = 0.005
#: Seconds by which a timer may be late on an idle loop; timers of uvloop count milliseconds.
TIMER_RESOLUTION_SECONDS = 0.001
#: An answer waits for the loop twice: until it is read, and until the task of its request runs.
LOOP_WAITS_PER_RESPONSE_COUNT = 2
#: Measurements that are kept; only the delay at the end of an attempt matters.
MAX_SAMPLE_COUNT = 8


class LoopLag:
    """Measures how late the loop runs what is due, while attempts are in flight.

    Without it, an entry that is short of processor time takes its own delay for that of the
    servers. No timer runs while nothing is in flight.

    :param clock: source of time
    """

    __slots__ = ("attempts", "clock", "sample_due_at", "samples")

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.attempts = 0
        #: Reading of the clock when the next measurement is due, if there is one.
        self.sample_due_at: float | None = None
        #: Time and delay of the last measurements, in seconds.
        self.samples: deque[tuple[float, float]] = deque(maxlen=MAX_SAMPLE_COUNT)

    def attempt_started(self) -> None:
        """Count an attempt as in flight."""
        self.attempts += 1
        if self.sample_due_at is None:
            self._schedule()

    def attempt_ended(self) -> None:
        """Count an attempt as ended."""
        self.attempts -= 1

    def measure(self) -> None:
        """Take a measurement that was due."""
        if self.sample_due_at is not None:
            now = self.clock.now()
            self.samples.append(
                (now, max(now - self.sample_due_at - TIMER_RESOLUTION_SECONDS, 0.0))
            )
        self.sample_due_at = None
        if self.attempts:
            self._schedule()

    def latency_without_lag(self, started_at: float) -> float:
        """Return the latency of an attempt that is answered now, less the delay of the loop.

        :param started_at: reading of the clock when the attempt began
        :returns: seconds, at least ``TIMER_RESOLUTION_SECONDS``
        """
        now = self.clock.now()
        # A measurement that is overdue ends with the answer; an earlier one lasts a little longer.
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
