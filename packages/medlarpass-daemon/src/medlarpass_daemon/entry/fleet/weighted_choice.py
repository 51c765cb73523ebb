"""Weighted choice among the pools of a route."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarpass.publication import PublishedRoute


class WeightedChoice:
    """Smooth weighted round-robin: each pool gets its share of any sequence of requests.

    A random choice would deviate from small shares over a few hundred requests. The algorithm is
    that of weighted balancing in nginx.

    :param route: route with more than one pool
    :param phase: fraction of the total weight by which the initial credits are reduced
    """

    __slots__ = ("credits", "route")

    def __init__(self, route: PublishedRoute, phase: float) -> None:
        self.route = route
        total = sum(share.weight for share in route.shares)
        #: Credit by pool. Entries start at different phases so that they are not synchronised.
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
