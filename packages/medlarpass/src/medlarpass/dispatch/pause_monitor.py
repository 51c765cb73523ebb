"""Detection of pauses of the own process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.dispatch.events import OBSERVER_PAUSED

if TYPE_CHECKING:
    from medlarpass.clock import Clock


class PauseMonitor:
    """Finds gaps between the own ticks and sums them up.

    :param clock: source of time that counts pauses and suspensions
    :param longest_gap: seconds between two ticks above which the process was paused
    """

    __slots__ = ("clock", "ended_at", "longest_gap", "paused", "ticked_at")

    def __init__(self, clock: Clock, longest_gap: float) -> None:
        self.clock = clock
        self.longest_gap = longest_gap
        self.ticked_at = clock.now()
        self.paused = 0.0
        self.ended_at: float | None = None

    def tick(self) -> float:
        """Take a sign that the process runs.

        :returns: seconds of the pause that ends with this tick, else 0
        """
        now = self.clock.now()
        gap = now - self.ticked_at
        self.ticked_at = now
        if gap <= self.longest_gap:
            return 0.0
        self.paused += gap
        self.ended_at = now
        OBSERVER_PAUSED.log(seconds=gap)
        return gap

    def running_time(self) -> float:
        """Return the seconds on the clock less all pauses; ticks first, so none is missed."""
        self.tick()
        return self.clock.now() - self.paused

    def ended_within(self, seconds: float) -> bool:
        """Return whether a pause ended within the last seconds."""
        return self.ended_at is not None and self.clock.now() - self.ended_at < seconds
