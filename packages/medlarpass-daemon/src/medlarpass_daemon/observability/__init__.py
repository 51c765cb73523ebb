"""Metrics, log output, liveness and readiness."""

from __future__ import annotations

from medlarpass_daemon.observability.log_writer import LogWriter
from medlarpass_daemon.observability.loop_monitor import LoopMonitor
from medlarpass_daemon.observability.metrics import Metrics
from medlarpass_daemon.observability.platform_server import PlatformServer
from medlarpass_daemon.observability.readiness import Readiness

__all__ = [
    "LogWriter",
    "LoopMonitor",
    "Metrics",
    "PlatformServer",
    "Readiness",
]
