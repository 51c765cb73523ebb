"""Free TCP ports on loopback."""

from __future__ import annotations

import random
import socket

LOOPBACK = "127.0.0.1"
#: Below the range from which the kernel takes the ports of outgoing connections (Linux: from
#: 32768), because such a connection could take a port between its release and its use.
LOWEST = 12_000
HIGHEST = 32_000
ATTEMPTS = 1_000


class PortPool:
    """Hands out ports that were free when asked for, each only once.

    The sockets stay bound until all ports of a cluster are chosen, so that none comes twice.
    """

    def __init__(self) -> None:
        self.sockets: list[socket.socket] = []

    def take(self) -> int:
        """Return a free port."""
        for _ in range(ATTEMPTS):
            port = random.randint(LOWEST, HIGHEST)
            probe = socket.socket()
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                probe.close()
                continue
            self.sockets.append(probe)
            return port
        raise AssertionError(f"no free port after {ATTEMPTS} attempts")

    def release(self) -> None:
        """Free all ports so that the processes can listen on them."""
        for probe in self.sockets:
            probe.close()
        self.sockets.clear()
