"""Limit of an entry's concurrent requests to a server with a queue and many other callers."""

from __future__ import annotations

from medlarpass.dispatch.concurrency_limiter import ConcurrencyLimiter

#: Requests by which an answer in time raises the limit. One entry sees an answer of one server
#: about once a second, so small steps would take minutes.
INCREASE = 0.5
#: Share of the aim from which answers count as slow: a request that joins the queue now, and the
#: way from and to the caller, need the rest.
SLOW_SHARE = 0.65
#: Share of the aim up to which the server's queue counts as short.
QUICK_SHARE = 0.5
#: Share of the newest answer in the mean of the latest ones.
RECENT_WEIGHT = 0.3


class SharedServerLimiter(ConcurrencyLimiter):
    """Additive increase, multiplicative decrease towards the aim of a route.

    The time of an answer tells how long the queue of the server is, whoever filled it. A refusal
    tells that only when answers are slow too: a server that refuses at random while its queue is
    short is not overloaded, and sending it less would waste its slots.

    :param settings: settings of the policy; ``decrease`` is used
    :param clock: source of time
    :param slots: slots of the server, the upper bound of the limit
    """

    __slots__ = ()

    @property
    def is_quick(self) -> bool:
        """Whether the latest answers came without a long wait in the server's queue."""
        return self.mean is not None and self.mean <= QUICK_SHARE * self.aim

    @property
    def is_slow(self) -> bool:
        """Whether the latest answers waited so long that the next one would be late."""
        return self.mean is not None and self.mean > SLOW_SHARE * self.aim

    def finished(self, latency: float) -> None:
        """Count an answered request.

        :param latency: seconds from sending to the answer
        """
        self._release()
        before = latency if self.mean is None else self.mean
        self.mean = before + RECENT_WEIGHT * (latency - before)
        if self.is_slow:
            self._reduce()
        elif self.is_quick:
            self.limit = min(self.limit + INCREASE, float(self.slots))
        self._pace()

    def refused(self) -> None:
        """Count a request that the server refused to run."""
        self._release()
        if self.is_slow:
            self._reduce()
        self._pace()
