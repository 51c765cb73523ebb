"""Adaptive limit of an entry's concurrent requests to one server."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarpass.clock import Clock
    from medlarpass.dispatch.settings import LimiterSettings


class ConcurrencyLimiter:
    """Additive increase, multiplicative decrease within the slots of a server.

    The entry does not see what the other entries send, so refusals and slow answers tell it
    that the server is shared. The source of the method is Chiu and Jain 1989. Ten entries with
    one request each still exceed three slots, so a limit may fall below 1; requests are then
    spaced in time, as in Swift (Kumar et al. 2020).

    :param settings: settings of the policy
    :param clock: source of time
    :param slots: slots of the server, the upper bound of the limit
    """

    __slots__ = (
        "aim",
        "clock",
        "floor",
        "in_flight",
        "limit",
        "mean",
        "paced_until",
        "recent",
        "reduced_at",
        "settings",
        "slots",
    )

    def __init__(self, settings: LimiterSettings, clock: Clock, slots: int) -> None:
        self.settings = settings
        self.clock = clock
        self.slots = slots
        self.limit = float(slots)
        #: Lower bound of the limit; the entry's fair part of the server where it is known.
        self.floor = settings.least
        #: Seconds within which an answer is worth most; 0 while unknown.
        self.aim = 0.0
        self.in_flight = 0
        self.mean: float | None = None
        self.recent = 0.0
        self.reduced_at: float | None = None
        self.paced_until = 0.0

    @property
    def is_quick(self) -> bool:
        """Whether answers show that the server's queue is short; this policy can't tell."""
        return False

    def ready_in(self) -> float | None:
        """Return the seconds until a request may start, None if one has to end first."""
        if self.in_flight + 1 > max(self.limit, 1.0):
            return None
        if self.limit >= 1.0:
            return 0.0
        return max(self.paced_until - self.clock.now(), 0.0)

    def try_acquire(self) -> bool:
        """Count a request as in flight if the limit allows it."""
        if self.ready_in() != 0.0:
            return False
        self.in_flight += 1
        return True

    def finished(self, latency: float) -> None:
        """Count an answered request.

        :param latency: seconds from sending to the answer
        """
        was_full = self.in_flight + 1 > self.limit
        self._release()
        if self._is_slow(latency):
            self._reduce()
        elif was_full:
            # A limit that was not reached has not been proven by the answer.
            grown = self.limit + self.settings.increase * min(self.limit, 1.0 / self.limit)
            self.limit = min(grown, float(self.slots))
        self._pace()

    def refused(self) -> None:
        """Count a request that the server refused to run."""
        self._release()
        self._reduce()
        self._pace()

    def abandoned(self) -> None:
        """Count a request that ended without an answer."""
        self._release()
        self._reduce()
        self._pace()

    def _release(self) -> None:
        self.in_flight = max(self.in_flight - 1, 0)

    def _is_slow(self, latency: float) -> bool:
        """Return whether recent answers are slower than usual.

        Run times differ by large factors, so one slow answer tells nothing.
        """
        if self.mean is None:
            self.mean = self.recent = latency
            return False
        self.recent += self.settings.recent_weight * (latency - self.recent)
        self.mean += self.settings.mean_weight * (latency - self.mean)
        return self.recent > self.settings.slow_ratio * self.mean

    def _reduce(self) -> None:
        """Lower the limit, at most once per usual latency.

        Requests that were sent together are refused together and are one sign, not several.
        """
        now = self.clock.now()
        if self.reduced_at is not None and now - self.reduced_at < (self.mean or 0.0):
            return
        self.reduced_at = now
        self.limit = max(self.limit * self.settings.decrease, self.floor)

    def _pace(self) -> None:
        """Set the time of the next request so that the mean concurrency equals the limit."""
        if self.limit < 1.0:
            rest = (self.mean or 0.0) * (1.0 / self.limit - 1.0)
            self.paced_until = self.clock.now() + rest
