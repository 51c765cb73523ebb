"""Ports for processes that are killed and started again."""

from __future__ import annotations

import random
import socket

from tools.bench.ports import LOOPBACK
from tools.bench.ports import PortPool

#: Below the ephemeral ports of Linux. While a process is down, the kernel may give an ephemeral
#: port to an outgoing connection of another one, and the process then can't listen on it again.
LOWEST = 20_000
HIGHEST = 32_000
#: Ports that belong to one pool. A cluster of this folder needs about 70.
BLOCK = 200


class FixedPortPool(PortPool):
    """Hands out free ports that no outgoing connection and no other pool gets.

    The first port of a block stays bound while the pool is open, so that two runs on the same
    machine do not share a block: neither notices a port of a process that is down.
    """

    def __init__(self) -> None:
        super().__init__()
        self.lock, first = _block()
        self.next = iter(range(first + 1, first + BLOCK))

    def take(self) -> int:
        """Return a free port."""
        for port in self.next:
            probe = _bound(port)
            if probe is not None:
                self.sockets.append(probe)
                return port
        raise AssertionError(f"all {BLOCK} ports are taken")

    def close(self) -> None:
        """Give the block back."""
        self.lock.close()


def _block() -> tuple[socket.socket, int]:
    """Return the bound socket and the number of the first port of a free block."""
    starts = list(range(LOWEST, HIGHEST, BLOCK))
    random.shuffle(starts)
    for start in starts:
        probe = _bound(start)
        if probe is not None:
            return probe, start
    raise AssertionError("no block of ports is free")


def _bound(port: int) -> socket.socket | None:
    probe = socket.socket()
    try:
        probe.bind((LOOPBACK, port))
    except OSError:
        probe.close()
        return None
    return probe
