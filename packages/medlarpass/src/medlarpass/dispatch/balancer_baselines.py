"""Simple load balancing policies that ``Balancer`` is compared with."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.dispatch.balancer import Balancer
from medlarpass.dispatch.exceptions import NoServerError

if TYPE_CHECKING:
    import random

    from collections.abc import Sequence
    from collections.abc import Set

    from medlarpass.clock import Clock
    from medlarpass.dispatch.candidate import Candidate
    from medlarpass.dispatch.settings import BalancerSettings


class BaselineBalancer(Balancer):
    """Base class of the baselines: filters the candidates and leaves the choice to ``pick``."""

    __slots__ = ()

    def choose(self, candidates: Sequence[Candidate], exclude: Set[str] = frozenset()) -> Candidate:
        """Return the server for the next attempt.

        :raises NoServerError: if no candidate is left
        """
        eligible = [candidate for candidate in candidates if candidate.identity not in exclude]
        if not eligible:
            raise NoServerError("no server of the pool is available")
        return self.pick(eligible)

    def pick(self, eligible: list[Candidate]) -> Candidate:
        """Return one of the usable servers."""
        raise NotImplementedError

    def own_in_flight_per_slot(self, candidate: Candidate) -> float:
        """Return the requests in flight of this entry per slot of the server."""
        return self._load(candidate).in_flight / candidate.slots


class RandomBalancer(BaselineBalancer):
    """Chooses a server uniformly at random."""

    __slots__ = ()

    def pick(self, eligible: list[Candidate]) -> Candidate:
        """Return one of the usable servers."""
        return self.rng.choice(eligible)


class RoundRobinBalancer(BaselineBalancer):
    """Chooses the servers in rotation, starting at a random one."""

    __slots__ = ("turn",)

    def __init__(self, settings: BalancerSettings, clock: Clock, rng: random.Random) -> None:
        super().__init__(settings, clock, rng)
        self.turn = rng.randrange(1 << 16)

    def pick(self, eligible: list[Candidate]) -> Candidate:
        """Return one of the usable servers."""
        self.turn += 1
        return eligible[self.turn % len(eligible)]


class LeastInFlightBalancer(BaselineBalancer):
    """Chooses the server with the fewest requests in flight of this entry per slot."""

    __slots__ = ()

    def pick(self, eligible: list[Candidate]) -> Candidate:
        """Return one of the usable servers; ties are broken at random."""
        return min(
            eligible,
            key=lambda candidate: (self.own_in_flight_per_slot(candidate), self.rng.random()),
        )


class TwoChoicesBalancer(BaselineBalancer):
    """Chooses from two random servers the one with fewer own requests in flight per slot."""

    __slots__ = ()

    def pick(self, eligible: list[Candidate]) -> Candidate:
        """Return one of the usable servers."""
        return min(
            self.rng.sample(eligible, min(2, len(eligible))), key=self.own_in_flight_per_slot
        )


class LeastReportedBalancer(BaselineBalancer):
    """Chooses the server with the lowest self-reported load per slot."""

    __slots__ = ()

    def pick(self, eligible: list[Candidate]) -> Candidate:
        """Return one of the usable servers; ties are broken at random."""
        return min(
            eligible,
            key=lambda candidate: (
                (candidate.reported_in_flight or 0) / candidate.slots,
                self.rng.random(),
            ),
        )
