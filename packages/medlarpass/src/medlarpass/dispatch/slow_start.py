"""Gradual increase of a server's share after a start or a return."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarpass.clock import Clock

LEAST_WEIGHT = 0.1


class SlowStart:
    """Weight that grows linearly from ``LEAST_WEIGHT`` to 1.

    A server with cold caches answers its first requests slowly; a full share at once would
    make it shed load.

    :param ramp: seconds until the full weight
    :param clock: source of time
    """

    __slots__ = ("clock", "ramp", "starts")

    def __init__(self, ramp: float, clock: Clock) -> None:
        self.ramp = ramp
        self.clock = clock
        self.starts: dict[str, float] = {}

    def started(self, server: str) -> None:
        """Begin the ramp of a server."""
        self.starts[server] = self.clock.now()

    def weight(self, server: str) -> float:
        """Return the weight of a server, 1 if it has no ramp."""
        begin = self.starts.get(server)
        if begin is None:
            return 1.0
        progress = (self.clock.now() - begin) / self.ramp
        if progress >= 1.0:
            del self.starts[server]
            return 1.0
        return max(progress, LEAST_WEIGHT)

    def forget(self, server: str) -> None:
        """Drop a server that left."""
        self.starts.pop(server, None)
