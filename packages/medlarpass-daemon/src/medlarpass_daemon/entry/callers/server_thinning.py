"""Thins the requests to cold and overloaded servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass_daemon.entry.callers.exceptions import ServerColdError
from medlarpass_daemon.entry.callers.exceptions import ServerOverloadedError

if TYPE_CHECKING:
    import random

    from collections.abc import Callable
    from collections.abc import Sequence

    from medlarpass import Clock
    from medlarpass_daemon.entry.callers.interfaces import Target

#: Age of the view from which the limit of a warm server no longer counts: the demand for its keys
#: has changed since. The limit of a cold server holds until its cold time ends.
MAX_LIMIT_AGE_SECONDS = 3.0
#: Longest time in seconds after which a caller returns to a key of a cold server: by then most keys
#: have moved to warm servers.
MAX_OWNER_WAIT_SECONDS = 3.0


class ServerThinning:
    """Sends each request with the share that control admits, independently of all others.

    No state is kept, so that entries together stay within the limits of the servers however many
    they are and since when they run. Each attempt counts on its own.

    :param clock: clock of this process
    :param rng: source of random numbers
    """

    __slots__ = ("clock", "rng")

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self.clock = clock
        self.rng = rng

    def draw(self) -> float:
        """Return a number from 0 to 1 that decides one attempt."""
        return self.rng.random()

    def check_owner(self, owner: Target, view_age: float | None) -> None:
        """Refuse an attempt that exceeds the share of the owner of its key.

        :param view_age: seconds since the last update from control; None without such updates
        :raises ServerColdError: the owner is cold
        :raises ServerOverloadedError: the owner gets more than it can handle
        """
        if owner.admitted is None:
            return
        remaining = owner.cold_until - self.clock.now()
        if remaining <= 0 and (view_age is None or view_age > MAX_LIMIT_AGE_SECONDS):
            return
        if self.draw() < owner.admitted:
            return
        if remaining > 0:
            raise ServerColdError(
                f"{owner.identity} is cold and its share of requests is used up",
                min(remaining, MAX_OWNER_WAIT_SECONDS),
            )
        raise ServerOverloadedError(f"{owner.identity} gets more requests than it can handle")

    def admitted_targets(
        self,
        targets: Sequence[Target],
        draw: float,
        is_usable: Callable[[Target], bool],
    ) -> Sequence[Target]:
        """Return the servers that an attempt without a key may be sent to.

        That is one cold server with its share of the requests of the pool, else the warm servers.

        :param targets: servers of the pool
        :param draw: number from :meth:`draw`, the same for all calls for one attempt
        :param is_usable: whether a server can take the attempt now
        :raises ServerColdError: no server is warm, and no cold one may get the attempt
        """
        now = self.clock.now()
        cold = [
            target for target in targets if target.cold_until > now and target.admitted is not None
        ]
        if not cold:
            return targets
        chosen = _choose(cold, draw)
        if chosen is not None and is_usable(chosen):
            return (chosen,)
        if len(cold) < len(targets):
            return [
                target for target in targets if target.cold_until <= now or target.admitted is None
            ]
        raise ServerColdError(
            "all servers of the pool are cold and their share of requests is used up",
            min(target.cold_until for target in cold) - now,
        )


def _choose(cold: Sequence[Target], draw: float) -> Target | None:
    """Return the cold server whose part of the interval from 0 to 1 contains a number.

    Shares that add up to more than 1 are reduced in proportion.
    """
    shares = [(target, target.admitted or 0.0) for target in cold]
    point = draw * max(sum(share for _, share in shares), 1.0)
    for target, share in sorted(shares, key=lambda item: item[0].identity):
        if point < share:
            return target
        point -= share
    return None
