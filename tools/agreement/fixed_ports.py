"""Ports for processes that are killed and restarted."""

from __future__ import annotations

import random
import socket

from tools.bench.ports import LOOPBACK
from tools.bench.ports import PortPool

#: Below the ephemeral port range of Linux. The kernel could assign an ephemeral port to an outgoing
#: connection of another process while its owner is down, and the restarted owner could not bind it.
MIN_PORT = 20_000
MAX_PORT = 32_000
#: Ports of one pool; a cluster of the agreement tests needs about 70.
BLOCK_PORT_COUNT = 200


class FixedPortPool(PortPool):
    """Allocates free ports that neither an outgoing connection nor another pool uses.

    The first port of a block stays bound while the pool is open, so that concurrent test runs on
    the same machine use different blocks. Otherwise one run could take a port of the other run
    whose process is down.
    """

    def __init__(self) -> None:
        super().__init__()
        self.reserved_socket, first_port = _reserve_block()
        self.candidates = iter(range(first_port + 1, first_port + BLOCK_PORT_COUNT))

    def allocate(self) -> int:
        """Return a free port."""
        for port in self.candidates:
            probe = _try_bind(port)
            if probe is not None:
                self.sockets.append(probe)
                return port
        raise AssertionError(f"all {BLOCK_PORT_COUNT} ports are in use")

    def close(self) -> None:
        """Release the block."""
        self.reserved_socket.close()


def _reserve_block() -> tuple[socket.socket, int]:
    """Reserve a free block of ports.

    :returns: socket bound to the first port of the block, and that port
    """
    first_ports = list(range(MIN_PORT, MAX_PORT, BLOCK_PORT_COUNT))
    random.shuffle(first_ports)
    for first_port in first_ports:
        probe = _try_bind(first_port)
        if probe is not None:
            return probe, first_port
    raise AssertionError("no block of ports is free")


def _try_bind(port: int) -> socket.socket | None:
    probe = socket.socket()
    try:
        probe.bind((LOOPBACK, port))
    except OSError:
        probe.close()
        return None
    return probe
