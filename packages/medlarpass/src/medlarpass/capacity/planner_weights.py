"""Weights of servers for the planner of key ranges, from their capacities and limits."""

from __future__ import annotations

from statistics import median
from typing import TYPE_CHECKING

from medlarpass.capacity.server_admission import COLD_LIMIT_RATIO

if TYPE_CHECKING:
    from collections.abc import Sequence

    from medlarpass.capacity.server_capacity import ServerCapacity

#: Fraction of the distance by which a weight follows the estimate of a report period. An estimate
#: from 30 responses varies by 15%, and each change of a weight by a quarter moves keys.
STEP_RATIO = 0.2
#: Ratio of a weight that remains after a report period at least while requests queue at its server.
#: The estimate is too low until the completions of 5 s show what the server can do.
QUEUEING_DECAY_RATIO = 0.98
#: Bounds of a weight, relative to the median of the pool. The servers of a pool differ by a factor
#: of three; a figure beyond is more likely an estimate from few responses.
MIN_WEIGHT_RATIO = 0.3
MAX_WEIGHT_RATIO = 2.5


class CapacityWeights:
    """Capacities of servers, smoothed over several seconds.

    :param capacity: estimates of the capacities
    """

    __slots__ = ("capacity", "rates")

    def __init__(self, capacity: ServerCapacity) -> None:
        self.capacity = capacity
        #: Smoothed requests per second by server.
        self.rates: dict[str, float] = {}

    def update(self, slots: dict[str, int]) -> None:
        """End a report period.

        :param slots: slots of all servers by identity; other servers are dropped
        """
        rates: dict[str, float] = {}
        for identity, count in slots.items():
            rate, known = self.capacity.rate_of(identity, count), self.rates.get(identity)
            if rate is None:
                rate = known
            elif known is not None:
                is_queueing = self.capacity.is_queueing(identity, count)
                least = known * QUEUEING_DECAY_RATIO if is_queueing else 0.0
                rate = max(known + STEP_RATIO * (rate - known), least)
            if rate is not None:
                rates[identity] = rate
        self.rates = rates

    def weights(self, slots: dict[str, int]) -> list[float]:
        """Return the weight of each server of a pool; the median where it is unknown.

        :param slots: slots of the servers of the pool by identity
        """
        known = [self.rates[identity] for identity in slots if identity in self.rates]
        if not known:
            return [float(count) for count in slots.values()]
        middle = median(known)
        return [
            min(
                max(self.rates.get(identity, middle), MIN_WEIGHT_RATIO * middle),
                MAX_WEIGHT_RATIO * middle,
            )
            for identity in slots
        ]


def limit_cold_weights(
    weights: Sequence[float], is_cold: Sequence[bool], warmup_rate: float, demand: float
) -> list[float]:
    """Return the weights with those of cold servers reduced to what these can handle.

    :param weights: weights of the servers of a pool
    :param is_cold: whether each of them is cold
    :param warmup_rate: requests per second that a cold server can handle
    :param demand: requests per second of the pool
    """
    limit = COLD_LIMIT_RATIO * warmup_rate
    warm_weight = sum(weight for weight, cold in zip(weights, is_cold, strict=True) if not cold)
    # Each unit of weight gets this load once the cold servers have no more than their limits.
    unit = demand - limit * sum(is_cold)
    if not warm_weight or unit <= 0:
        return list(weights)
    unit /= warm_weight
    return [
        min(weight, limit / unit) if cold else weight
        for weight, cold in zip(weights, is_cold, strict=True)
    ]
