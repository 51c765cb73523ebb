"""How fast servers answer in relation to each other."""

from __future__ import annotations

from statistics import median
from typing import TYPE_CHECKING

from medlarpass.dispatch import ResponseTimes

if TYPE_CHECKING:
    from collections.abc import Sequence

#: Share of a sum that remains after a report period of half a second. A server answers a few
#: requests a second whose times differ by a third, so that a mean takes about 7 s.
DECAY = 0.93
#: Answers from which a mean tells something.
LEAST_ANSWERS = 5.0
#: Bounds of a factor. The time of an answer includes its wait in the server's queue, so a factor
#: far from 1 tells more about the load than about the speed.
LEAST_FACTOR = 0.2
MOST_FACTOR = 1.9
#: Power that damps the ratio of times, so that a server that is only overloaded for a moment
#: does not lose keys that come back a moment later.
DAMPING = 0.8


class ServerSpeeds(ResponseTimes):
    """Factors for the weights of servers by the time until they answer."""

    __slots__ = ()

    def __init__(self) -> None:
        super().__init__(DECAY, LEAST_ANSWERS)

    def factors(self, identities: Sequence[str]) -> list[float]:
        """Return a factor for the weight of each server; 1 for one that is not known yet."""
        means = [self.mean(identity) for identity in identities]
        known = [mean for mean in means if mean is not None]
        if not known:
            return [1.0] * len(means)
        usual = median(known)
        return [1.0 if mean is None else _factor(usual, mean) for mean in means]


def _factor(usual: float, mean: float) -> float:
    return min(max(float((usual / mean) ** DAMPING), LEAST_FACTOR), MOST_FACTOR)
