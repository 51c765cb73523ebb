"""Relative response times of the servers of a pool."""

from __future__ import annotations

from statistics import median
from typing import TYPE_CHECKING

from medlarpass.dispatch import ResponseTimes

if TYPE_CHECKING:
    from collections.abc import Sequence

#: Ratio of a sum that remains after a report period of half a second. A server answers only a few
#: requests a second, and their response times vary by a third; a mean therefore covers about 7 s.
DECAY_RATIO = 0.93
#: Responses needed before a mean is used.
MIN_RESPONSE_COUNT = 5.0
#: Bounds of a weight factor. Response times include the wait in the server's queue, so a factor far
#: from 1 reflects load rather than speed.
MIN_WEIGHT_RATIO = 0.2
MAX_WEIGHT_RATIO = 1.9
#: Exponent below 1 that damps the ratio of response times, so that a brief overload of a server
#: does not move keys away that move back right after.
DAMPING_EXPONENT = 0.8


class ServerSpeeds(ResponseTimes):
    """Adjusts the weights of servers by their response times."""

    __slots__ = ()

    def __init__(self) -> None:
        super().__init__(DECAY_RATIO, MIN_RESPONSE_COUNT)

    def weight_factors(self, identities: Sequence[str]) -> list[float]:
        """Return a weight factor for each server; 1 if its response time is not known yet."""
        means = [self.mean(identity) for identity in identities]
        known = [mean for mean in means if mean is not None]
        if not known:
            return [1.0] * len(means)
        median_seconds = median(known)
        return [1.0 if mean is None else _weight_factor(median_seconds, mean) for mean in means]


def _weight_factor(median_seconds: float, mean: float) -> float:
    return min(
        max(float((median_seconds / mean) ** DAMPING_EXPONENT), MIN_WEIGHT_RATIO), MAX_WEIGHT_RATIO
    )
