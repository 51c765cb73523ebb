"""Load of one server as observed by this entry."""

from __future__ import annotations

from math import exp
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarpass.dispatch.attempt import Attempt


class ServerLoad:
    """Attempts in flight, mean latency and refusals of one server, as observed by this entry."""

    __slots__ = (
        "attempts",
        "backoff_until",
        "last_observed_at",
        "last_sent_at",
        "latency",
        "refusals",
    )

    def __init__(self) -> None:
        self.attempts: dict[Attempt, None] = {}
        self.latency: float | None = None
        self.last_observed_at = 0.0
        self.refusals = 0
        self.backoff_until = 0.0
        self.last_sent_at = 0.0

    @property
    def in_flight(self) -> int:
        """Number of requests of this entry in flight at the server."""
        return len(self.attempts)

    def observe(self, started_at: float, ended_at: float, weight: float) -> None:
        """Add a latency sample to the exponentially weighted moving average.

        :param weight: weight of the sample in the average
        """
        sample = ended_at - started_at
        self.last_observed_at = ended_at
        if self.latency is None:
            self.latency = sample
        else:
            self.latency += weight * (sample - self.latency)

    def expected_latency(self, median_latency: float, decay_time: float, now: float) -> float:
        """Return the mean latency, or the age of the oldest attempt in flight if larger.

        A frozen server produces no samples, so the age of its attempts substitutes for them. A
        server that was slow gets no requests and thus no samples either; its mean decays towards
        the median latency of the pool, so that it is tried again.

        :param median_latency: median latency of the pool, in seconds
        :param decay_time: time constant of that decay, in seconds without a sample
        """
        expected_latency = median_latency
        if self.latency is not None:
            expected_latency += (self.latency - median_latency) * exp(
                (self.last_observed_at - now) / decay_time
            )
        oldest_attempt = next(iter(self.attempts), None)
        return (
            expected_latency
            if oldest_attempt is None
            else max(expected_latency, now - oldest_attempt.started_at)
        )
