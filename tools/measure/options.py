"""Options of a run."""

from __future__ import annotations

import random


class Options:
    """What a section needs to know about the run.

    :param seed: seed of all traces
    :param quick: whether traces are shortened
    """

    __slots__ = ("quick", "seed")

    def __init__(self, seed: int, quick: bool) -> None:
        self.seed = seed
        self.quick = quick

    def rng(self, *names: object) -> random.Random:
        """Return a generator for one part of a trace.

        Parts have generators of their own, so that a policy which draws more numbers does not
        change the load that the next policy sees.
        """
        return random.Random("/".join(map(str, (self.seed, *names))))

    def choose(self, quick: float, full: float) -> float:
        """Return the value for the length of the run."""
        return quick if self.quick else full
