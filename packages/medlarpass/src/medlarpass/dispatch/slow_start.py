"""Slow start of servers after a start or an ejection."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarpass.clock import Clock

MIN_WEIGHT_RATIO = 0.1


class SlowStart:
    """Weight that grows linearly from ``MIN_WEIGHT_RATIO`` to 1.

    A server with cold caches is slow at first; its full share of requests at once would make it
    shed load.

    :param ramp: seconds until a server has its full weight
    :param clock: source of time
    """

    __slots__ = ("clock", "ramp", "starts")

    def __init__(self, ramp: float, clock: Clock) -> None:
        self.ramp = ramp
        self.clock = clock
        self.starts: dict[str, float] = {}

    def started(self, server: str) -> None:
        """Begin the slow start of a server."""
        self.starts[server] = self.clock.now()

    def weight(self, server: str) -> float:
        """Return the weight of a server, 1 unless it is in slow start."""
        started_at = self.starts.get(server)
        if started_at is None:
            return 1.0
        progress = (self.clock.now() - started_at) / self.ramp
        if progress >= 1.0:
            del self.starts[server]
            return 1.0
        return max(progress, MIN_WEIGHT_RATIO)

    def forget(self, server: str) -> None:
        """Remove the state of a server that left."""
        self.starts.pop(server, None)
