"""Metrics of bounds on requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import Counter
from prometheus_client import Gauge

if TYPE_CHECKING:
    from prometheus_client import CollectorRegistry


class RequestBoundsMetrics:
    """Connections, refusals and held bytes by port.

    :param registry: registry of the process, None for metrics that are not exported
    """

    __slots__ = ("connections", "held_bytes", "refused")

    def __init__(self, registry: CollectorRegistry | None = None) -> None:
        self.refused = Counter(
            "medlarpass_connections_refused",
            "Connections that were refused or closed because of a bound",
            ("port", "reason"),
            registry=registry,
        )
        self.connections = Gauge(
            "medlarpass_connections", "Open connections of callers", ("port",), registry=registry
        )
        self.held_bytes = Gauge(
            "medlarpass_held_request_bytes",
            "Bytes of incomplete or waiting requests and of responses that are not read",
            registry=registry,
        )
