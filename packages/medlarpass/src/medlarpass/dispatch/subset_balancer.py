"""Load balancing of many entries that each prefer a subset of the servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.dispatch.balancer import MIN_FREE_SLOTS
from medlarpass.dispatch.balancer import Balancer
from medlarpass.dispatch.exceptions import NoServerError

if TYPE_CHECKING:
    from collections.abc import Sequence
    from collections.abc import Set

    from medlarpass.dispatch.candidate import Candidate


class SubsetBalancer(Balancer):
    """Samples servers by weight and chooses the one with the fewest own requests in flight.

    An entry seldom has a request in flight at any of the sampled servers. Servers of equal load are
    therefore used in the order in which they were sampled, which keeps their shares in proportion
    to the weights. ``Balancer`` uses the heaviest or the least recently used one: with dozens of
    entries, the first overloads the fast servers, and the second the slow ones.
    """

    __slots__ = ()

    def choose(self, candidates: Sequence[Candidate], exclude: Set[str] = frozenset()) -> Candidate:
        """Return the server for the next attempt.

        :param candidates: servers of the subset
        :param exclude: identities of servers that must not be chosen, such as those already tried
        :raises NoServerError: if no candidate is left
        """
        eligible = [
            candidate
            for candidate in candidates
            if candidate.identity not in exclude and candidate.weight > 0
        ]
        if not eligible:
            raise NoServerError("no server of the pool is available")
        now = self.clock.now()
        available = [
            candidate for candidate in eligible if self._load(candidate).backoff_until <= now
        ]
        if not available:
            return min(eligible, key=lambda candidate: self._load(candidate).backoff_until)
        median_latency = self._median_latency(candidates)
        sampled = self._sample(available, median_latency, now)
        return min(
            sampled, key=lambda candidate: self._load_per_slot(candidate, median_latency, now)
        )

    def _sample(
        self, available: list[Candidate], median_latency: float | None, now: float
    ) -> list[Candidate]:
        """Sample distinct candidates in random order, by weight and free slots."""
        pool = list(available)
        weights = [
            max(
                candidate.slots - self.estimate_in_flight(candidate, median_latency, now),
                MIN_FREE_SLOTS,
            )
            * candidate.weight
            for candidate in pool
        ]
        sampled: list[Candidate] = []
        while pool and len(sampled) < self.settings.choices:
            (index,) = self.rng.choices(range(len(pool)), weights=weights)
            sampled.append(pool.pop(index))
            weights.pop(index)
        return sampled

    def _load_per_slot(
        self, candidate: Candidate, median_latency: float | None, now: float
    ) -> float:
        """Return the requests in flight per slot, increased for a server that is slow now."""
        in_flight = self.estimate_in_flight(candidate, median_latency, now) + 1.0
        if not median_latency:
            return in_flight / candidate.slots
        latency = self._load(candidate).expected_latency(
            median_latency, self.settings.latency_decay_time, now
        )
        penalty = max(1.0, latency / (self.settings.slow_ratio * median_latency))
        return in_flight / candidate.slots * penalty
