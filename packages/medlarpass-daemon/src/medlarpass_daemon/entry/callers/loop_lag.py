"""Delay of the entry's own event loop."""

from __future__ import annotations

import asyncio

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarpass import Clock

#: Seconds between two measurements while attempts are in flight.
PERIOD = 0.005
#: Seconds by which a timer may be late on an idle loop; timers of uvloop count milliseconds.
RESOLUTION = 0.001
#: An answer waits for the loop twice: until it is read, and until the task of its request runs.
TURNS = 2
#: Measurements that are kept; only the delay at the end of an attempt matters.
SAMPLES = 8


class LoopLag:
    """Measures how late the loop runs what is due, while attempts are in flight.

    Without it, an entry that is short of processor time takes its own delay for that of the
    servers. No timer runs while nothing is in flight.

    :param clock: source of time
    """

    __slots__ = ("attempts", "clock", "due", "samples")

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.attempts = 0
        #: Reading of the clock when the next measurement is due, if there is one.
        self.due: float | None = None
        #: Time and delay of the last measurements, in seconds.
        self.samples: deque[tuple[float, float]] = deque(maxlen=SAMPLES)

    def started(self) -> None:
        """Count an attempt as in flight."""
        self.attempts += 1
        if self.due is None:
            self._schedule()

    def ended(self) -> None:
        """Count an attempt as ended."""
        self.attempts -= 1

    def measure(self) -> None:
        """Take a measurement that was due."""
        if self.due is not None:
            now = self.clock.now()
            self.samples.append((now, max(now - self.due - RESOLUTION, 0.0)))
        self.due = None
        if self.attempts:
            self._schedule()

    def without_lag(self, started_at: float) -> float:
        """Return the latency of an attempt that is answered now, less the delay of the loop.

        :param started_at: reading of the clock when the attempt began
        :returns: seconds, at least ``RESOLUTION``
        """
        now = self.clock.now()
        # A measurement that is overdue ends with the answer; an earlier one lasts a little longer.
        lag = 0.0 if self.due is None else now - self.due - RESOLUTION
        for measured_at, late in self.samples:
            if measured_at > started_at - PERIOD and late > lag:
                lag = late
        return max(now - started_at - TURNS * max(lag, 0.0), RESOLUTION)

    def _schedule(self) -> None:
        self.due = self.clock.now() + PERIOD
        asyncio.get_running_loop().call_later(PERIOD, self.measure)
