"""Turns of an entry's requests at owners of keys that refuse requests because of their load."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarpass import Clock
    from medlarpass_daemon.entry.callers.interfaces import Target

#: Bounds of the time between two turns in seconds. A full server completes a request in a tenth of
#: a second, and works off its queue within about a second.
MIN_INTERVAL_SECONDS = 0.05
MAX_INTERVAL_SECONDS = 1.0
#: Mean response time in seconds of a server that has not responded yet.
DEFAULT_LATENCY_SECONDS = 0.3


class OwnerTurn:
    """Turns at one incarnation of a server.

    :param incarnation: incarnation of the server
    :param interval: seconds between two turns
    :param next_at: clock reading of the next turn
    """

    __slots__ = ("incarnation", "interval", "next_at", "refused_at")

    def __init__(self, incarnation: int, interval: float, next_at: float) -> None:
        self.incarnation = incarnation
        self.interval = interval
        self.next_at = next_at
        #: Clock reading of the refusal that last changed the interval.
        self.refused_at = next_at - interval


class OwnerTurns:
    """Spaces the requests to an owner that has refused one.

    No other server can run these requests. The first turn comes when the server has completed a
    request; each further refusal doubles the interval, and each response halves it until requests
    go to the server without turns again.

    :param clock: source of time
    """

    __slots__ = ("by_identity", "clock")

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.by_identity: dict[str, OwnerTurn] = {}

    def record_refusal(self, target: Target, latency: float | None) -> None:
        """Record that an owner refused a request because of its load.

        :param latency: mean response time of the server in seconds, None while unknown
        """
        now = self.clock.now()
        turn = self._find(target)
        if turn is None:
            interval = (latency or DEFAULT_LATENCY_SECONDS) / target.slots
            interval = min(max(interval, MIN_INTERVAL_SECONDS), MAX_INTERVAL_SECONDS)
            self.by_identity[target.identity] = OwnerTurn(
                target.incarnation, interval, now + interval
            )
            return
        # Requests that were sent together are refused together.
        if now - turn.refused_at >= turn.interval:
            turn.refused_at = now
            turn.interval = min(2.0 * turn.interval, MAX_INTERVAL_SECONDS)
        turn.next_at = max(turn.next_at, now + turn.interval)

    def record_response(self, target: Target) -> None:
        """Record that an owner has run a request."""
        turn = self._find(target)
        if turn is None:
            return
        turn.interval /= 2.0
        if turn.interval < MIN_INTERVAL_SECONDS:
            del self.by_identity[target.identity]

    def expected_wait(self, target: Target) -> float:
        """Return the seconds until the next turn at an owner."""
        turn = self._find(target)
        return max(turn.next_at - self.clock.now(), 0.0) if turn is not None else 0.0

    def take(self, target: Target) -> float:
        """Take the next turn and return the seconds until then."""
        wait = self.expected_wait(target)
        turn = self._find(target)
        if turn is not None:
            turn.next_at = self.clock.now() + wait + turn.interval
        return wait

    def forget(self, identity: str) -> None:
        """Drop the turns at a server that left."""
        self.by_identity.pop(identity, None)

    def _find(self, target: Target) -> OwnerTurn | None:
        turn = self.by_identity.get(target.identity)
        if turn is None or turn.incarnation != target.incarnation:
            return None
        if self.clock.now() > turn.next_at + MAX_INTERVAL_SECONDS:
            # Nobody has waited for a while, so the queue of the server is worked off.
            del self.by_identity[target.identity]
            return None
        return turn
