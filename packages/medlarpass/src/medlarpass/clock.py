"""Clocks that leases are measured with."""

from __future__ import annotations

import time

from typing import Protocol


class Clock(Protocol):
    """A source of time for leases and deadlines."""

    def now(self) -> float:
        """Return seconds since an arbitrary start; never goes back."""
        ...


class BootClock:
    """CLOCK_BOOTTIME: unlike ``time.monotonic`` it counts the time a VM was suspended."""

    __slots__ = ()

    def now(self) -> float:
        """Return seconds since boot."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock:
    """A clock that moves only when told to, for tests and simulations.

    :param start: first reading, in seconds
    """

    __slots__ = ("reading",)

    def __init__(self, start: float = 0.0) -> None:
        self.reading = start

    def now(self) -> float:
        """Return the present reading in seconds."""
        return self.reading

    def advance(self, seconds: float) -> None:
        """Move the clock forward.

        :param seconds: how far, in seconds
        """
        self.reading += seconds
