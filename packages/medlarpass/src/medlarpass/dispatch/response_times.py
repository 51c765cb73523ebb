"""Exponentially decayed mean response time of each server."""

from __future__ import annotations


class ResponseTimes:
    """Response counts and total response time by server, as reported by entries.

    :param decay_factor: factor applied to all sums at the end of a report period
    :param min_responses: decayed response count below which a mean is not reliable
    """

    __slots__ = ("decay_factor", "min_responses", "sums")

    def __init__(self, decay_factor: float, min_responses: float) -> None:
        self.decay_factor = decay_factor
        self.min_responses = min_responses
        #: Decayed response count and total seconds by server identity.
        self.sums: dict[str, tuple[float, float]] = {}

    def add(self, identity: str, responses: int, seconds: float) -> None:
        """Add responses and the total seconds until they arrived."""
        count, total = self.sums.get(identity, (0.0, 0.0))
        self.sums[identity] = (count + responses, total + seconds)

    def apply_decay(self) -> None:
        """End a report period: decay all sums and drop servers with almost no responses left."""
        self.sums = {
            identity: (count * self.decay_factor, total * self.decay_factor)
            for identity, (count, total) in self.sums.items()
            if count * self.decay_factor > 0.1
        }

    def mean(self, identity: str) -> float | None:
        """Return the mean response time of a server in seconds, None with too few samples."""
        count, total = self.sums.get(identity, (0.0, 0.0))
        return total / count if count >= self.min_responses and total > 0 else None
