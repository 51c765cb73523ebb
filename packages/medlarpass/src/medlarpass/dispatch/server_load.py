"""What one entry itself has seen of one server."""

from __future__ import annotations

from math import exp
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarpass.dispatch.attempt import Attempt


class ServerLoad:
    """Own attempts, latency and refusals of one server."""

    __slots__ = ("attempts", "avoided_until", "latency", "observed_at", "refusals", "sent_at")

    def __init__(self) -> None:
        self.attempts: dict[Attempt, None] = {}
        self.latency: float | None = None
        self.observed_at = 0.0
        self.refusals = 0
        self.avoided_until = 0.0
        self.sent_at = 0.0

    @property
    def in_flight(self) -> int:
        """Own requests to the server that are not finished."""
        return len(self.attempts)

    def observe(self, begun_at: float, ended_at: float, weight: float) -> None:
        """Add a latency sample to the moving mean.

        :param weight: share of the sample in the mean
        """
        sample = ended_at - begun_at
        self.observed_at = ended_at
        if self.latency is None:
            self.latency = sample
        else:
            self.latency += weight * (sample - self.latency)

    def expected_latency(self, usual: float, memory: float, now: float) -> float:
        """Return the mean latency, or the age of the oldest unfinished attempt if larger.

        A frozen server gives no samples, so the age of its attempts has to stand for them. A
        server that was slow gets no requests either; its mean approaches the usual latency, so
        that it is tried again.

        :param usual: usual latency of the pool, in seconds
        :param memory: seconds without a sample after which the difference has fallen to 1/e
        """
        expected = usual
        if self.latency is not None:
            expected += (self.latency - usual) * exp((self.observed_at - now) / memory)
        oldest = next(iter(self.attempts), None)
        return expected if oldest is None else max(expected, now - oldest.started_at)
