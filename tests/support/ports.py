"""Free TCP ports on loopback."""

from __future__ import annotations

import socket

LOOPBACK = "127.0.0.1"


class PortPool:
    """Hands out ports that were free when asked for, each only once.

    The sockets stay bound until all ports of a cluster are chosen, so that none comes twice.
    """

    def __init__(self) -> None:
        self.sockets: list[socket.socket] = []

    def take(self) -> int:
        """Return a free port."""
        probe = socket.socket()
        probe.bind((LOOPBACK, 0))
        self.sockets.append(probe)
        port: int = probe.getsockname()[1]
        return port

    def release(self) -> None:
        """Free all ports so that the processes can listen on them."""
        for probe in self.sockets:
            probe.close()
        self.sockets.clear()
