"""Bounds on what callers that are not trusted can use of a process, for all of its HTTP ports."""

from __future__ import annotations

from medlarpass_daemon.request_bounds.bounded_app_runner import BoundedAppRunner
from medlarpass_daemon.request_bounds.bounded_request_protocol import BoundedRequestProtocol
from medlarpass_daemon.request_bounds.exceptions import RequestBoundError
from medlarpass_daemon.request_bounds.metrics import RequestBoundsMetrics
from medlarpass_daemon.request_bounds.port_bounds import PortBounds
from medlarpass_daemon.request_bounds.process_bounds import ProcessBounds

__all__ = [
    "BoundedAppRunner",
    "BoundedRequestProtocol",
    "PortBounds",
    "ProcessBounds",
    "RequestBoundError",
    "RequestBoundsMetrics",
]
