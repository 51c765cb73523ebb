"""Discrete-event loop for slots and queues."""

from __future__ import annotations

from heapq import heappop
from heapq import heappush
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class EventLoop:
    """Runs callbacks in the order of their times; also the clock of the measured policies."""

    __slots__ = ("events", "number", "reading")

    def __init__(self) -> None:
        self.reading = 0.0
        self.number = 0
        self.events: list[tuple[float, int, Callable[[], None]]] = []

    def now(self) -> float:
        """Return the present time in seconds."""
        return self.reading

    def after(self, delay: float, callback: Callable[[], None]) -> None:
        """Run a callback after a delay in seconds; equal times keep the order of the calls."""
        self.number += 1
        heappush(self.events, (self.reading + delay, self.number, callback))

    def run(self, until: float) -> None:
        """Run all events up to a time, in seconds."""
        while self.events and self.events[0][0] <= until:
            self.reading, _, callback = heappop(self.events)
            callback()
        self.reading = until
