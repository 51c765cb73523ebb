"""Rate of requests without the random variation of small counts."""

from __future__ import annotations

from math import sqrt

#: Fraction of the distance by which a rate moves towards a new figure.
STEP_RATIO = 0.3
#: Standard deviations of the request count from which a new figure is taken at once: below, it is
#: most likely random variation, which would change the shares of all servers all the time.
MAX_DEVIATION_COUNT = 3.0


class SmoothedRate:
    """Follows large changes at once and small ones slowly.

    :param rate: first figure, in requests per second
    """

    __slots__ = ("rate",)

    def __init__(self, rate: float) -> None:
        self.rate = rate

    def update(self, rate: float, window: float) -> float:
        """Add a figure and return the rate.

        :param rate: requests per second
        :param window: seconds over which they were counted
        """
        deviation = sqrt(max(self.rate * window, 1.0)) / window
        if abs(rate - self.rate) > MAX_DEVIATION_COUNT * deviation:
            self.rate = rate
        else:
            self.rate += STEP_RATIO * (rate - self.rate)
        return self.rate
