"""Subsets of servers that entries prefer."""

from __future__ import annotations

import math

from statistics import NormalDist
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Mapping

#: Servers of a domain that an entry uses at least, so that it has alternatives to compare.
MIN_SERVER_COUNT = 4
#: Entries that use a server at least, so that the loss or a burst of one entry changes its load
#: only a little.
MIN_ENTRY_COUNT = 6
#: Ratio of the busiest server's load to the mean that the random number of entries for each server
#: may cause on average, for servers of equal weight. Slow servers are in fewer subsets, so that
#: their load varies more; with weights from 0.5 to 1.6 the ratio stays below 1.25.
MAX_IMBALANCE_RATIO = 1.2
#: Relative variance of the load of entries: load balancers give them 5 to 15 requests per second.
ENTRY_LOAD_VARIANCE = 0.1
#: Ratio between neighbouring steps of the weights used for hashing. The weights of servers change
#: all the time, and with small steps the subset and its connections would change with them.
WEIGHT_STEP_RATIO = 1.5
#: Bisection steps for the inclusion probabilities; 40 give a relative error below 1e-9.
BISECTION_COUNT = 40


def subset_size(servers: int, entries: float) -> int:
    """Return the number of servers of a domain that an entry prefers.

    With ``k`` of ``n`` servers for each of ``E`` entries, the load of a server has the relative
    variance ``(1 - k/n) * n / (k * E)``; the expected maximum of ``n`` normal variables then gives
    the smallest ``k`` for :data:`MAX_IMBALANCE_RATIO`.

    :param servers: servers of the pool in the domain
    :param entries: entries that send to the domain; 0 while unknown
    """
    if servers <= MIN_SERVER_COUNT or entries <= 0:
        return servers
    expected_maximum = NormalDist().inv_cdf((servers - 0.375) / (servers + 0.25))
    max_variance = ((MAX_IMBALANCE_RATIO - 1.0) / expected_maximum) ** 2
    odds = (1.0 + ENTRY_LOAD_VARIANCE) / (entries * max_variance)
    size = math.ceil(servers * odds / (1.0 + odds))
    enough_entries = math.ceil(MIN_ENTRY_COUNT * servers / entries)
    return min(servers, max(size, enough_entries, MIN_SERVER_COUNT))


class ServerSubset:
    """Chooses servers by weighted rendezvous hashing of the entry and the servers.

    An entry includes a server with a probability that grows with the weight of the server. Within
    the subset the weights are divided by that probability, so that the expected requests of a
    server over all entries are in proportion to its weight.

    :param entry: name of the entry
    """

    __slots__ = ("entry",)

    def __init__(self, entry: str) -> None:
        self.entry = entry

    def choose(self, weights: Mapping[str, float], count: int) -> dict[str, float]:
        """Return the servers of the subset with their weights for the choice among them.

        :param weights: weight by identity of the servers, above 0
        :param count: number of servers to choose
        """
        if count >= len(weights):
            return dict(weights)
        steps = {identity: _step_of(weight) for identity, weight in weights.items()}
        order = sorted(weights, key=lambda identity: self._distance(identity, steps[identity]))
        scale = _inclusion_scale(list(steps.values()), count)
        return {
            identity: weights[identity] / -math.expm1(-scale * steps[identity])
            for identity in order[:count]
        }

    def _distance(self, identity: str, weight: float) -> float:
        """Return an exponentially distributed distance whose mean is ``1 / weight``."""
        number = xxhash.xxh64_intdigest(f"{self.entry}\0{identity}".encode())
        return -math.log((number + 0.5) / 2.0**64) / weight


def _step_of(weight: float) -> float:
    exponent = round(math.log(weight) / math.log(WEIGHT_STEP_RATIO))
    return float(WEIGHT_STEP_RATIO**exponent)


def _inclusion_scale(weights: list[float], count: int) -> float:
    """Return the distance below which ``count`` servers are expected."""
    low, high = 0.0, 1.0
    while _expected_count(weights, high) < count:
        high *= 2.0
    for _ in range(BISECTION_COUNT):
        middle = (low + high) / 2.0
        if _expected_count(weights, middle) < count:
            low = middle
        else:
            high = middle
    return high


def _expected_count(weights: list[float], scale: float) -> float:
    return -sum(math.expm1(-scale * weight) for weight in weights)
