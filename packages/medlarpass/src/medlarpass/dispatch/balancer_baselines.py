"""Simple choices of a server that ``Balancer`` is measured against."""

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
    """Common part of the baselines: candidates are filtered, the choice varies."""

    __slots__ = ()

    def choose(self, candidates: Sequence[Candidate], exclude: Set[str] = frozenset()) -> Candidate:
        """Return the server for the next attempt.

        :raises NoServerError: if no candidate is left
        """
        usable = [each for each in candidates if each.identity not in exclude]
        if not usable:
            raise NoServerError("no server of the pool can be chosen")
        return self.pick(usable)

    def pick(self, usable: list[Candidate]) -> Candidate:
        """Return one of the usable servers."""
        raise NotImplementedError

    def own_per_slot(self, candidate: Candidate) -> float:
        """Return own requests in flight per slot."""
        return self._load(candidate).in_flight / candidate.slots


class RandomBalancer(BaselineBalancer):
    """Takes any server with equal probability."""

    __slots__ = ()

    def pick(self, usable: list[Candidate]) -> Candidate:
        """Return one of the usable servers."""
        return self.rng.choice(usable)


class RoundRobinBalancer(BaselineBalancer):
    """Takes the servers in turn."""

    __slots__ = ("turn",)

    def __init__(self, settings: BalancerSettings, clock: Clock, rng: random.Random) -> None:
        super().__init__(settings, clock, rng)
        self.turn = rng.randrange(1 << 16)

    def pick(self, usable: list[Candidate]) -> Candidate:
        """Return one of the usable servers."""
        self.turn += 1
        return usable[self.turn % len(usable)]


class LeastInFlightBalancer(BaselineBalancer):
    """Takes the server with fewest own requests in flight per slot."""

    __slots__ = ()

    def pick(self, usable: list[Candidate]) -> Candidate:
        """Return one of the usable servers; ties are broken at random."""
        return min(usable, key=lambda each: (self.own_per_slot(each), self.rng.random()))


class TwoChoicesBalancer(BaselineBalancer):
    """Takes the one of two random servers with fewer own requests in flight per slot."""

    __slots__ = ()

    def pick(self, usable: list[Candidate]) -> Candidate:
        """Return one of the usable servers."""
        return min(self.rng.sample(usable, min(2, len(usable))), key=self.own_per_slot)


class LeastToldBalancer(BaselineBalancer):
    """Takes the server that reports the least load itself."""

    __slots__ = ()

    def pick(self, usable: list[Candidate]) -> Candidate:
        """Return one of the usable servers; ties are broken at random."""
        return min(
            usable,
            key=lambda each: ((each.told_in_flight or 0) / each.slots, self.rng.random()),
        )
