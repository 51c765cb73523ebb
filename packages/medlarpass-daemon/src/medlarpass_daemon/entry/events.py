"""Log events of an entry."""

from __future__ import annotations

from medlarpass import Event

CONFIGURATION_APPLIED = Event(5000, "configuration_applied")
CONFIGURATION_INVALID = Event(5001, "configuration_invalid")
CONTROL_UNREACHABLE = Event(5002, "control_unreachable")
SERVER_ANNOUNCED = Event(5010, "server_announced")
SERVER_REFUSED = Event(5011, "server_refused")
COORDINATOR_STARTED = Event(5020, "coordinator_started")
COORDINATOR_STOPPED = Event(5021, "coordinator_stopped")
COORDINATOR_REPORT_FAILED = Event(5022, "coordinator_report_failed")
GRANTS_NOT_REPLICATED = Event(5024, "grants_not_replicated")
PEER_UNREACHABLE = Event(5030, "peer_unreachable")
DOMAIN_UNREACHABLE = Event(5031, "domain_unreachable")
