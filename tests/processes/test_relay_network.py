"""Relays of the test systems."""

from __future__ import annotations

import socket
import time

from contextlib import closing
from typing import TYPE_CHECKING

import pytest

from tools.bench.ports import LOOPBACK
from tools.bench.relay import RelayNetwork

if TYPE_CHECKING:
    from collections.abc import Callable

TIMEOUT_SECONDS = 20.0
CLIENT_COUNT = 20


@pytest.fixture
def target() -> socket.socket:
    """Return a listening socket."""
    return socket.create_server((LOOPBACK, 0))


def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds."""
    deadline = time.monotonic() + TIMEOUT_SECONDS
    while not condition():
        assert time.monotonic() < deadline, "the condition did not become true"
        time.sleep(0.01)


def test_a_blocked_link_drops_connections_whose_client_gives_up(target: socket.socket) -> None:
    """Guards against relays that spend all their time on connections that nobody uses.

    Processes that try to reach a cut-off domain several times a second left thousands behind, and
    the links between the other domains became so slow that keys had no owner.
    """
    relays = RelayNetwork()
    with closing(target):
        port = relays.add("a", "b", target.getsockname()[1])
        relays.isolate("b")
        clients = [
            socket.create_connection((LOOPBACK, port), TIMEOUT_SECONDS) for _ in range(CLIENT_COUNT)
        ]
        wait_until(lambda: len(relays.writers) == CLIENT_COUNT)
        for client in clients:
            client.sendall(b"hello")
            client.close()
        wait_until(lambda: not relays.writers)
        relays.close()


def test_a_connection_opened_while_a_link_is_blocked_works_afterwards(
    target: socket.socket,
) -> None:
    """Guards against data that is lost although its client waited for the end of a partition."""
    relays = RelayNetwork()
    with closing(target):
        port = relays.add("a", "b", target.getsockname()[1])
        relays.isolate("b")
        with socket.create_connection((LOOPBACK, port), TIMEOUT_SECONDS) as client:
            client.sendall(b"hello ")
            time.sleep(0.1)
            relays.heal()
            client.sendall(b"again")
            target.settimeout(TIMEOUT_SECONDS)
            accepted, _ = target.accept()
            with accepted:
                accepted.settimeout(TIMEOUT_SECONDS)
                received = b""
                while len(received) < 11:
                    received += accepted.recv(100)
        assert received == b"hello again"
        relays.close()
