"""Adaptive limit of an entry's concurrent requests to one server."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarpass.clock import Clock
    from medlarpass.dispatch.settings import LimiterSettings

LEAST_LIMIT = 1.0


class ConcurrencyLimiter:
    """Additive increase, multiplicative decrease within the slots of a server.

    The entry does not see what the other entries send, so refusals and slow answers tell it
    that the server is shared. The source of the method is Chiu and Jain 1989.

    :param settings: settings of the policy
    :param clock: source of time
    :param slots: slots of the server, the upper bound of the limit
    """

    __slots__ = ("baseline", "clock", "in_flight", "limit", "reduced_at", "settings", "slots")

    def __init__(self, settings: LimiterSettings, clock: Clock, slots: int) -> None:
        self.settings = settings
        self.clock = clock
        self.slots = slots
        self.limit = float(slots)
        self.in_flight = 0
        self.baseline: float | None = None
        self.reduced_at: float | None = None

    def try_acquire(self) -> bool:
        """Count a request as in flight if the limit allows it."""
        if self.in_flight + 1 > self.limit:
            return False
        self.in_flight += 1
        return True

    def finished(self, latency: float) -> None:
        """Count an answered request.

        :param latency: seconds from sending to the answer
        """
        was_full = self.in_flight + 1 > self.limit
        self._release()
        baseline = self._observe(latency)
        if latency > self.settings.slow_ratio * baseline:
            self._reduce()
        elif was_full:
            # A limit that was not reached has not been proven by the answer.
            grown = self.limit + self.settings.increase / self.limit
            self.limit = min(grown, float(self.slots))

    def refused(self) -> None:
        """Count a request that the server refused to run."""
        self._release()
        self._reduce()

    def abandoned(self) -> None:
        """Count a request that ended without an answer."""
        self._release()
        self._reduce()

    def _release(self) -> None:
        self.in_flight = max(self.in_flight - 1, 0)

    def _observe(self, latency: float) -> float:
        """Return the baseline: it falls at once and rises slowly."""
        if self.baseline is None or latency < self.baseline:
            self.baseline = latency
        else:
            self.baseline += self.settings.baseline_drift * (latency - self.baseline)
        return self.baseline

    def _reduce(self) -> None:
        """Lower the limit, at most once per baseline latency.

        Requests that were sent together are refused together and are one sign, not several.
        """
        now = self.clock.now()
        if self.reduced_at is not None and now - self.reduced_at < (self.baseline or 0.0):
            return
        self.reduced_at = now
        self.limit = max(self.limit * self.settings.decrease, LEAST_LIMIT)
