"""A request that was sent to a server and is not finished."""

from __future__ import annotations


class Attempt:
    """Handle returned by ``Balancer.started``.

    :param server: identity of the server
    :param started_at: reading of the clock, in seconds
    """

    __slots__ = ("server", "started_at")

    def __init__(self, server: str, started_at: float) -> None:
        self.server = server
        self.started_at = started_at
