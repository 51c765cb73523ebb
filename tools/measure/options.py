"""Options of a measurement run."""

from __future__ import annotations

import random


class Options:
    """Options that apply to all sections of a run.

    :param seed: seed of all traces
    :param quick: whether traces are shortened
    """

    __slots__ = ("quick", "seed")

    def __init__(self, seed: int, quick: bool) -> None:
        self.seed = seed
        self.quick = quick

    def rng(self, *names: object) -> random.Random:
        """Return a random number generator for one part of a trace.

        Each part has its own generator, so that a policy that draws more numbers does not change
        the load of the other policies.
        """
        return random.Random("/".join(map(str, (self.seed, *names))))

    def choose(self, quick: float, full: float) -> float:
        """Return ``quick`` in a quick run, else ``full``."""
        return quick if self.quick else full
