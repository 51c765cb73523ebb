"""Log events of metrics, logging and health checks; numbers 720 to 739."""

from __future__ import annotations

from medlarpass import Event

PLATFORM_STARTED = Event(720, "platform_started")
PLATFORM_STOPPED = Event(721, "platform_stopped")
READINESS_CHANGED = Event(722, "readiness_changed")
LOG_LINES_DROPPED = Event(723, "log_lines_dropped")
