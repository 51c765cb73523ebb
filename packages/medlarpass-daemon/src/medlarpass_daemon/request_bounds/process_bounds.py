"""Bounds that the HTTP ports of a process share."""

from __future__ import annotations

import resource

from typing import TYPE_CHECKING

from medlarpass_daemon.request_bounds.events import PORT_BOUNDED
from medlarpass_daemon.request_bounds.metrics import RequestBoundsMetrics
from medlarpass_daemon.request_bounds.port_bounds import PortBounds
from medlarpass_daemon.settings import LimitSettings
from medlarpass_daemon.settings.daemon import DEFAULT_DESCRIPTOR_COUNT

if TYPE_CHECKING:
    from medlarpass_daemon.request_bounds.bounded_request_protocol import BoundedRequestProtocol


class ProcessBounds:
    """Creates the bounds of each port, and counts the bytes that all of them hold.

    :param settings: section ``limits``
    :param descriptors: file descriptors that the settings allow
    :param metrics: metrics of the bounds
    """

    __slots__ = ("descriptors", "held_bytes", "metrics", "settings", "stalled")

    def __init__(
        self,
        settings: LimitSettings | None = None,
        descriptors: int = DEFAULT_DESCRIPTOR_COUNT,
        metrics: RequestBoundsMetrics | None = None,
    ) -> None:
        self.settings = settings or LimitSettings()
        self.descriptors = descriptors
        self.metrics = metrics or RequestBoundsMetrics()
        #: Bytes of incomplete or waiting requests and of unread responses, on all connections.
        self.held_bytes = 0
        #: Connections whose caller does not read a response now, the longest waiting first.
        self.stalled: dict[BoundedRequestProtocol, None] = {}
        self.metrics.held_bytes.set_function(lambda: self.held_bytes)

    def create_port(self, name: str) -> PortBounds:
        """Return the bounds of a port that is about to listen.

        :param name: name of the port in ``medlarpass_daemon.settings.limits``
        """
        port = PortBounds(self, name, self.max_connections(name))
        PORT_BOUNDED.log(port=name, connections=port.max_connections, held_bytes=self.settings.held)
        return port

    def abort_stalled(self) -> None:
        """Close connections whose caller does not read, until the total is below its bound.

        The longest waiting are closed first: an ordinary caller continues to read soon.
        """
        while self.stalled and self.held_bytes > self.settings.held:
            next(iter(self.stalled)).abort("held")

    def max_connections(self, name: str) -> int:
        """Return how many connections a port accepts."""
        available = self.descriptors
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if soft != resource.RLIM_INFINITY:
            available = min(available, soft)
        return self.settings.max_connections(name, available)
