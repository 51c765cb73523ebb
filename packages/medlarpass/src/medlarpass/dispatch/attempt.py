"""An attempt in flight."""

from __future__ import annotations


class Attempt:
    """Handle of a request in flight at a server, returned by ``Balancer.started``.

    :param server: identity of the server
    :param started_at: clock time of the start, in seconds
    """

    __slots__ = ("server", "started_at")

    def __init__(self, server: str, started_at: float) -> None:
        self.server = server
        self.started_at = started_at
