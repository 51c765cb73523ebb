"""Highest recent estimate of a capacity."""

from __future__ import annotations

#: Ratio of the highest estimate that remains after a report period of half a second, half a percent
#: a second. The estimates of servers that report no load fall as soon as their queues grow; a limit
#: by the latest ones would begin too early, and lower the completions and the estimates further.
PEAK_DECAY_RATIO = 0.9975


class PeakRate:
    """Follows an estimate upwards at once and downwards slowly."""

    __slots__ = ("rate",)

    def __init__(self) -> None:
        #: Requests per second.
        self.rate = 0.0

    def update(self, rate: float) -> float:
        """End a period with the latest estimate and return the highest one, less its decay."""
        self.rate = max(rate, self.rate * PEAK_DECAY_RATIO)
        return self.rate
