"""Request path of the role entry: HTTP server for callers, request handlers, client to servers."""

from __future__ import annotations

from medlarpass_daemon.entry.callers.callers_server import CallersServer
from medlarpass_daemon.entry.callers.exceptions import CallerError
from medlarpass_daemon.entry.callers.exceptions import NoOwnerError
from medlarpass_daemon.entry.callers.interfaces import OrderClaims
from medlarpass_daemon.entry.callers.interfaces import OwnerDirectory
from medlarpass_daemon.entry.callers.interfaces import PeerLoads
from medlarpass_daemon.entry.callers.interfaces import RoutingTable
from medlarpass_daemon.entry.callers.interfaces import ServerDirectory
from medlarpass_daemon.entry.callers.interfaces import Target
from medlarpass_daemon.entry.callers.metrics import CallersMetrics

__all__ = [
    "CallerError",
    "CallersMetrics",
    "CallersServer",
    "NoOwnerError",
    "OrderClaims",
    "OwnerDirectory",
    "PeerLoads",
    "RoutingTable",
    "ServerDirectory",
    "Target",
]
