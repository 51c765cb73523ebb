"""What one entry itself has seen of one server."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarpass.dispatch.attempt import Attempt


class ServerLoad:
    """Own attempts, latency and refusals of one server."""

    __slots__ = ("attempts", "avoided_until", "latency", "refusals")

    def __init__(self) -> None:
        self.attempts: dict[Attempt, None] = {}
        self.latency: float | None = None
        self.refusals = 0
        self.avoided_until = 0.0

    @property
    def in_flight(self) -> int:
        """Own requests to the server that are not finished."""
        return len(self.attempts)

    def observe(self, latency: float, weight: float) -> None:
        """Add a latency sample, in seconds, to the moving mean."""
        if self.latency is None:
            self.latency = latency
        else:
            self.latency += weight * (latency - self.latency)

    def expected_latency(self, now: float) -> float | None:
        """Return the mean latency, or the age of the oldest unfinished attempt if larger.

        A frozen server gives no samples, so the age of its attempts has to stand for them.
        """
        oldest = next(iter(self.attempts), None)
        if oldest is None:
            return self.latency
        return max(self.latency or 0.0, now - oldest.started_at)
