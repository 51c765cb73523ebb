"""Choice of the failure domain of the servers for the requests of a pool."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

#: Smallest share that counts as such; less is the rounding of a sum of shares.
MIN_SHARE = 0.005
#: Number of choices after which the sequence of shares in steps of 2% repeats.
CYCLE_LENGTH = 50


class DomainChoice:
    """Smooth weighted round-robin among failure domains.

    The algorithm is that of weighted balancing in nginx. A random choice would deviate from small
    shares over a few hundred requests.

    :param home: domain that gets what the shares leave
    :param shares: share of the requests of each other domain
    :param phase: position in the sequence at which it begins, from 0 to 1; entries start at
        different positions so that they do not send to the same domain at the same time
    """

    __slots__ = ("credits", "home", "shares", "weights")

    def __init__(self, home: str, shares: Mapping[str, float], phase: float) -> None:
        self.home = home
        self.shares: Mapping[str, float] = {}
        self.weights: dict[str, float] = {home: 1.0}
        self.credits: dict[str, float] = {home: 0.0}
        self.set_shares(shares)
        for _ in range(int(phase * CYCLE_LENGTH)):
            self.next()

    def set_shares(self, shares: Mapping[str, float]) -> None:
        """Replace the shares; domains keep their credits, so that no share starts over."""
        if shares == self.shares:
            return
        self.shares = shares
        rest = 1.0 - sum(shares.values())
        weights = {self.home: rest if rest >= MIN_SHARE else 0.0, **shares}
        credits = {domain: self.credits.get(domain, 0.0) for domain in weights}
        # The sum of the credits stays zero when a domain leaves.
        credits[self.home] -= sum(credits.values())
        self.weights, self.credits = weights, credits

    def next(self) -> str:
        """Return the domain for the next request."""
        total = 0.0
        for domain, weight in self.weights.items():
            self.credits[domain] += weight
            total += weight
        chosen = max(
            (domain for domain, weight in self.weights.items() if weight > 0),
            key=self.credits.__getitem__,
        )
        self.credits[chosen] -= total
        return chosen
