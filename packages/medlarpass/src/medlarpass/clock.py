"""Clocks for leases and deadlines."""

from __future__ import annotations

import time

from typing import Protocol


class Clock(Protocol):
    """Monotonic clock."""

    def now(self) -> float:
        """Return the seconds since an arbitrary start; the value never decreases."""
        ...


class BootClock:
    """Clock based on CLOCK_BOOTTIME.

    Unlike ``time.monotonic``, it includes the time during which a VM was suspended.
    """

    __slots__ = ()

    def now(self) -> float:
        """Return seconds since boot."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock:
    """Clock for tests and simulations that moves only by :meth:`advance`.

    :param start: initial time in seconds
    """

    __slots__ = ("reading",)

    def __init__(self, start: float = 0.0) -> None:
        self.reading = start

    def now(self) -> float:
        """Return the current time in seconds."""
        return self.reading

    def advance(self, seconds: float) -> None:
        """Move the clock forward.

        :param seconds: time to add, in seconds
        """
        self.reading += seconds
