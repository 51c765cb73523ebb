"""Limit of an entry's concurrent requests to a server that queues requests of many entries."""

from __future__ import annotations

from medlarpass.dispatch.concurrency_limiter import ConcurrencyLimiter

#: Requests by which a response from a short queue raises the limit. An entry gets a response of
#: a given server about once a second, so smaller steps would take minutes.
INCREASE_REQUESTS = 0.5
#: Share of the target latency above which responses count as slow: the rest is needed for a
#: request that joins the queue now and for the network between entry and caller.
SLOW_LATENCY_RATIO = 0.65
#: Share of the target latency up to which the server's queue counts as short.
SHORT_QUEUE_LATENCY_RATIO = 0.5
#: Weight of the latest sample in the moving average of latency.
SAMPLE_WEIGHT_RATIO = 0.3


class SharedServerLimiter(ConcurrencyLimiter):
    """AIMD (additive increase, multiplicative decrease) limit with the target latency of a route.

    Latency reflects the length of the server's queue, whichever entry filled it. A refusal is
    evidence of a long queue only if responses are slow too: a server that refuses at random while
    its queue is short is not overloaded, and sending it less would waste its slots.

    :param settings: settings of the policy; only ``decrease`` and ``min_limit`` are used
    :param clock: source of time
    :param slots: slots of the server, the upper bound of the limit
    """

    __slots__ = ()

    @property
    def has_short_queue(self) -> bool:
        """Whether the latest responses came without a long wait in the server's queue."""
        return (
            self.mean_latency is not None
            and self.mean_latency <= SHORT_QUEUE_LATENCY_RATIO * self.target_latency
        )

    @property
    def is_slow(self) -> bool:
        """Whether latency is so high that the next response would miss the target latency."""
        return (
            self.mean_latency is not None
            and self.mean_latency > SLOW_LATENCY_RATIO * self.target_latency
        )

    def finished(self, latency: float) -> None:
        """Record a request that got a response.

        :param latency: seconds from sending the request to its response
        """
        self._release()
        previous = latency if self.mean_latency is None else self.mean_latency
        self.mean_latency = previous + SAMPLE_WEIGHT_RATIO * (latency - previous)
        if self.is_slow:
            self._reduce()
        elif self.has_short_queue:
            self.limit = min(self.limit + INCREASE_REQUESTS, float(self.slots))
        self._pace()

    def refused(self) -> None:
        """Record a request that the server refused to run."""
        self._release()
        if self.is_slow:
            self._reduce()
        self._pace()
