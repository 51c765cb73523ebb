"""Detection of pauses of this process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.dispatch.events import OBSERVER_PAUSED

if TYPE_CHECKING:
    from medlarpass.clock import Clock


class PauseMonitor:
    """Detects long gaps between its ticks and sums them up.

    :param clock: source of time that advances during pauses and suspensions
    :param max_gap: seconds between two ticks above which the process counts as paused
    """

    __slots__ = ("clock", "last_tick_at", "max_gap", "pause_ended_at", "total_pause")

    def __init__(self, clock: Clock, max_gap: float) -> None:
        self.clock = clock
        self.max_gap = max_gap
        self.last_tick_at = clock.now()
        self.total_pause = 0.0
        self.pause_ended_at: float | None = None

    def tick(self) -> float:
        """Record that the process is running.

        :returns: seconds of the pause that this tick ends, 0 without a pause
        """
        now = self.clock.now()
        gap = now - self.last_tick_at
        self.last_tick_at = now
        if gap <= self.max_gap:
            return 0.0
        self.total_pause += gap
        self.pause_ended_at = now
        OBSERVER_PAUSED.log(seconds=gap)
        return gap

    def running_time(self) -> float:
        """Return the clock time less all pauses, in seconds; ticks first, so none is missed."""
        self.tick()
        return self.clock.now() - self.total_pause

    def pause_ended_within(self, seconds: float) -> bool:
        """Return whether a pause ended less than this many seconds ago."""
        return self.pause_ended_at is not None and self.clock.now() - self.pause_ended_at < seconds
