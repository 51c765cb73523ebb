"""Event loop of a discrete-event simulation."""

from __future__ import annotations

from heapq import heappop
from heapq import heappush
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class EventLoop:
    """Runs callbacks in the order of their times; also the clock of the simulated policies."""

    __slots__ = ("current_time", "events", "scheduled_count")

    def __init__(self) -> None:
        self.current_time = 0.0
        self.scheduled_count = 0
        self.events: list[tuple[float, int, Callable[[], None]]] = []

    def now(self) -> float:
        """Return the current simulated time in seconds."""
        return self.current_time

    def after(self, delay: float, callback: Callable[[], None]) -> None:
        """Run a callback after a delay in seconds; callbacks due together run in call order."""
        self.scheduled_count += 1
        heappush(self.events, (self.current_time + delay, self.scheduled_count, callback))

    def run(self, until: float) -> None:
        """Run all events up to a time, in seconds."""
        while self.events and self.events[0][0] <= until:
            self.current_time, _, callback = heappop(self.events)
            callback()
        self.current_time = until
