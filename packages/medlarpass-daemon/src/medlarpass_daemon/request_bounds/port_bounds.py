"""Bounds of one HTTP port."""

from __future__ import annotations

import asyncio

from collections import Counter
from typing import TYPE_CHECKING

from medlarpass_daemon.request_bounds.events import CONNECTIONS_REFUSED
from medlarpass_daemon.request_bounds.request_limits import RequestLimits

if TYPE_CHECKING:
    from medlarpass.publication import CallerLimits
    from medlarpass_daemon.request_bounds.bounded_request_protocol import BoundedRequestProtocol
    from medlarpass_daemon.request_bounds.process_bounds import ProcessBounds

#: Interval between two log lines for the same reason, so that callers can't fill the log.
LOG_INTERVAL_SECONDS = 10.0


class PortBounds:
    """Counts the connections to a port and decides which ones are accepted.

    :param process: bounds that all ports share
    :param name: name of the port in metrics and log
    :param max_connections: most open connections
    """

    __slots__ = (
        "addresses",
        "connections",
        "limits",
        "logged_at",
        "max_connections",
        "name",
        "process",
        "unlogged",
        "unproven",
    )

    def __init__(self, process: ProcessBounds, name: str, max_connections: int) -> None:
        self.process = process
        self.name = name
        self.max_connections = max_connections
        self.limits = RequestLimits(process.settings)
        #: Open connections, with the address of the caller.
        self.connections: dict[BoundedRequestProtocol, str] = {}
        #: Open connections that have not completed the head of a request yet, oldest first.
        self.unproven: dict[BoundedRequestProtocol, None] = {}
        self.addresses: Counter[str] = Counter()
        #: Time of the last log line and number of refusals since then, by reason.
        self.logged_at: dict[str, float] = {}
        self.unlogged: Counter[str] = Counter()
        process.metrics.connections.labels(name).set_function(lambda: len(self.connections))

    def apply_published(self, published: CallerLimits) -> None:
        """Apply the limits of a publication to new connections."""
        self.limits = RequestLimits(self.process.settings, published)

    def admit(self, connection: BoundedRequestProtocol, address: str) -> bool:
        """Return whether a new connection is accepted; the caller closes it otherwise.

        When the port is full, the oldest connection without a complete head makes room: an ordinary
        caller sends its request at once, and nothing that it sent can have been run.
        """
        per_address = self.process.settings.connections_per_address
        if per_address and self.addresses[address] >= per_address:
            self.record_refusal("connections_per_address", address)
            return False
        if len(self.connections) >= self.max_connections:
            if not self.unproven:
                self.record_refusal("connections", address)
                return False
            oldest = next(iter(self.unproven))
            self.record_refusal("replaced", self.connections[oldest])
            oldest.abandon()
            self.remove(oldest)
        self.connections[connection] = address
        self.unproven[connection] = None
        self.addresses[address] += 1
        return True

    def record_head(self, connection: BoundedRequestProtocol) -> None:
        """Record that a connection has completed a head."""
        self.unproven.pop(connection, None)

    def remove(self, connection: BoundedRequestProtocol) -> None:
        """Remove a connection; does nothing if it is not known."""
        address = self.connections.pop(connection, None)
        if address is None:
            return
        self.unproven.pop(connection, None)
        self.addresses[address] -= 1
        if not self.addresses[address]:
            del self.addresses[address]

    def may_hold(self, held_bytes: int) -> bool:
        """Return whether a connection may hold a number of bytes now.

        Below the total every connection may. Above it those that hold less than an equal share of
        the total still may, so that connections that hold much can't crowd out ordinary callers.
        """
        total = self.process.settings.held
        if self.process.held_bytes <= total:
            return True
        return held_bytes <= total // max(len(self.connections), 1)

    def record_refusal(self, reason: str, address: str) -> None:
        """Count a refusal, and log it unless the reason was logged a short time ago."""
        self.process.metrics.refused.labels(self.name, reason).inc()
        self.unlogged[reason] += 1
        now = asyncio.get_running_loop().time()
        if now - self.logged_at.get(reason, -LOG_INTERVAL_SECONDS) < LOG_INTERVAL_SECONDS:
            return
        self.logged_at[reason] = now
        count = self.unlogged.pop(reason)
        CONNECTIONS_REFUSED.log(port=self.name, reason=reason, address=address, count=count)
