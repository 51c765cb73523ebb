"""Free TCP ports on loopback."""

from __future__ import annotations

import random
import socket

LOOPBACK = "127.0.0.1"
#: Below the ephemeral port range of Linux, which starts at 32768: an outgoing connection could be
#: assigned a port between its release and its use.
MIN_PORT = 12_000
MAX_PORT = 32_000
MAX_ATTEMPT_COUNT = 1_000


class PortPool:
    """Allocates free ports.

    The sockets stay bound until all ports of a cluster are allocated, so that no port is allocated
    twice.
    """

    def __init__(self) -> None:
        self.sockets: list[socket.socket] = []

    def allocate(self) -> int:
        """Return a free port."""
        for _ in range(MAX_ATTEMPT_COUNT):
            port = random.randint(MIN_PORT, MAX_PORT)
            probe = socket.socket()
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                probe.close()
                continue
            self.sockets.append(probe)
            return port
        raise AssertionError(f"no free port after {MAX_ATTEMPT_COUNT} attempts")

    def release(self) -> None:
        """Close the sockets so that the processes can listen on the ports."""
        for probe in self.sockets:
            probe.close()
        self.sockets.clear()
