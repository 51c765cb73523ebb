"""Logs changes of the shares of requests that leave their failure domain."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.dispatch.domain_plan import HOME_UTILISATION
from medlarpass.dispatch.domain_plan import OVERLOAD_UTILISATION
from medlarpass_daemon.control.fleet import events

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Set

    from medlarpass import Clock

#: Minimum interval between two lines on one pool and domain. Shares move in small steps twice a
#: second while the demand changes.
LOG_INTERVAL_SECONDS = 5.0


class ShareLog:
    """Logs the shares of each pool and domain when they have changed, at a limited rate.

    :param clock: source of time
    """

    __slots__ = ("clock", "logged")

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        #: Time and shares of the last line, by pool and domain of the entries.
        self.logged: dict[tuple[str, str], tuple[float, dict[str, float]]] = {}

    def clear(self) -> None:
        """Forget the logged shares."""
        self.logged.clear()

    def retain(self, pools: Set[str]) -> None:
        """Forget the shares of pools that were deleted."""
        for key in [key for key in self.logged if key[0] not in pools]:
            del self.logged[key]

    def record(
        self, pool: str, domain: str, shares: Mapping[str, float], demand: float, capacity: float
    ) -> None:
        """Log the shares if they differ from those logged last.

        A change within the interval is logged when the interval ends, if it still differs.

        :param demand: requests per second of the entries of the domain
        :param capacity: requests per second that the servers of the domain can handle
        """
        logged_at, logged_shares = self.logged.get((pool, domain), (None, {}))
        now = self.clock.now()
        if shares == logged_shares:
            return
        if logged_at is not None and now - logged_at < LOG_INTERVAL_SECONDS:
            return
        self.logged[pool, domain] = (now, dict(shares))
        events.DOMAIN_SHARES_CHANGED.log(
            pool=pool,
            domain=domain,
            shares=dict(shares),
            reason=reason_for(shares, demand, capacity),
            demand=round(demand, 1),
            capacity=round(capacity, 1),
        )


def reason_for(shares: Mapping[str, float], demand: float, capacity: float) -> str:
    """Return why requests of a domain are sent elsewhere or return to it."""
    if not shares:
        return "the domain takes its requests itself" if demand > 0 else "no demand is known"
    if capacity <= 0:
        return "no server in the domain"
    if demand > OVERLOAD_UTILISATION * capacity:
        return "demand above the capacity of the domain"
    if demand > HOME_UTILISATION * capacity:
        return "high utilisation of the domain"
    return "requests return to the domain step by step"
