"""Choice among the pools of a route by weight."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarpass.publication import PublishedRoute


class WeightedChoice:
    """Smooth weighted round-robin: over any stretch each pool gets its share.

    A random choice would miss small shares by chance over a few hundred requests.
    The method is that of the upstream balancing of nginx.
    """

    __slots__ = ("credits", "route")

    def __init__(self, route: PublishedRoute, phase: float) -> None:
        self.route = route
        total = sum(share.weight for share in route.shares)
        #: Credit by pool. Entries begin at different points so that they do not act in step.
        self.credits = {share.pool: share.weight - total * phase for share in route.shares}

    def next(self) -> str:
        """Return the name of the pool for the next request."""
        credits = self.credits
        for share in self.route.shares:
            credits[share.pool] += share.weight
        chosen = max(
            (share for share in self.route.shares if share.weight > 0),
            key=lambda share: credits[share.pool],
        )
        credits[chosen.pool] -= sum(share.weight for share in self.route.shares)
        return chosen.pool
