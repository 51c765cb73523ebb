"""Adaptive limit of an entry's concurrent requests to one server."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarpass.clock import Clock
    from medlarpass.dispatch.settings import LimiterSettings


class ConcurrencyLimiter:
    """AIMD (additive increase, multiplicative decrease) limit, bounded by the slots of a server.

    The entry does not see the load that other entries put on the server, so it infers contention
    from refusals and slow responses (Chiu and Jain 1989). Ten entries with one request each still
    exceed three slots, so a limit may fall below 1; requests are then paced, as in Swift
    (Kumar et al. 2020).

    :param settings: settings of the policy
    :param clock: source of time
    :param slots: slots of the server, the upper bound of the limit
    """

    __slots__ = (
        "clock",
        "in_flight",
        "last_reduced_at",
        "limit",
        "mean_latency",
        "min_limit",
        "paced_until",
        "recent_latency",
        "settings",
        "slots",
        "target_latency",
    )

    def __init__(self, settings: LimiterSettings, clock: Clock, slots: int) -> None:
        self.settings = settings
        self.clock = clock
        self.slots = slots
        self.limit = float(slots)
        #: Lower bound of the limit; the entry's fair share of the server where it is known.
        self.min_limit = settings.min_limit
        #: Target response time in seconds; 0 while unknown.
        self.target_latency = 0.0
        self.in_flight = 0
        self.mean_latency: float | None = None
        self.recent_latency = 0.0
        self.last_reduced_at: float | None = None
        self.paced_until = 0.0

    @property
    def has_short_queue(self) -> bool:
        """Whether recent latency shows a short queue at the server; unknown to this policy."""
        return False

    def ready_in(self) -> float | None:
        """Return the seconds until a request may start, None if another one must end first."""
        if self.in_flight + 1 > max(self.limit, 1.0):
            return None
        if self.limit >= 1.0:
            return 0.0
        return max(self.paced_until - self.clock.now(), 0.0)

    def try_acquire(self) -> bool:
        """Start a request if the limit allows it."""
        if self.ready_in() != 0.0:
            return False
        self.in_flight += 1
        return True

    def finished(self, latency: float) -> None:
        """Record a request that got a response.

        :param latency: seconds from sending the request to its response
        """
        was_full = self.in_flight + 1 > self.limit
        self._release()
        if self._is_slow(latency):
            self._reduce()
        elif was_full:
            # A response only shows that a higher limit is safe if the current limit was reached.
            increased = self.limit + self.settings.increase * min(self.limit, 1.0 / self.limit)
            self.limit = min(increased, float(self.slots))
        self._pace()

    def refused(self) -> None:
        """Record a request that the server refused to run."""
        self._release()
        self._reduce()
        self._pace()

    def abandoned(self) -> None:
        """Record a request that ended without a response."""
        self._release()
        self._reduce()
        self._pace()

    def _release(self) -> None:
        self.in_flight = max(self.in_flight - 1, 0)

    def _is_slow(self, latency: float) -> bool:
        """Add a latency sample and return whether recent responses are slower than the mean.

        Run times vary by large factors, so a single slow response is not evidence of overload.
        """
        if self.mean_latency is None:
            self.mean_latency = self.recent_latency = latency
            return False
        self.recent_latency += self.settings.recent_weight * (latency - self.recent_latency)
        self.mean_latency += self.settings.mean_weight * (latency - self.mean_latency)
        return self.recent_latency > self.settings.slow_ratio * self.mean_latency

    def _reduce(self) -> None:
        """Lower the limit, at most once per mean latency.

        Requests that were sent together are refused together and count as one overload signal.
        """
        now = self.clock.now()
        if self.last_reduced_at is not None and now - self.last_reduced_at < (
            self.mean_latency or 0.0
        ):
            return
        self.last_reduced_at = now
        self.limit = max(self.limit * self.settings.decrease, self.min_limit)

    def _pace(self) -> None:
        """Delay the next request so that the mean concurrency equals a limit below 1."""
        if self.limit < 1.0:
            delay = (self.mean_latency or 0.0) * (1.0 / self.limit - 1.0)
            self.paced_until = self.clock.now() + delay
