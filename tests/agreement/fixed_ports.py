"""Ports for processes that are killed and started again."""

from __future__ import annotations

import random
import socket

from tests.support.ports import LOOPBACK
from tests.support.ports import PortPool

#: Below the ephemeral ports of Linux. While a process is down, the kernel may give an ephemeral
#: port to an outgoing connection of another one, and the process then can't listen on it again.
LOWEST = 20_000
HIGHEST = 32_000


class FixedPortPool(PortPool):
    """Hands out free ports that no outgoing connection gets."""

    def take(self) -> int:
        """Return a free port."""
        while True:
            probe = socket.socket()
            port = random.randrange(LOWEST, HIGHEST)
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                probe.close()
                continue
            self.sockets.append(probe)
            return port
