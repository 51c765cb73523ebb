"""Log events of bounds on requests."""

from __future__ import annotations

from medlarpass import Event

CONNECTIONS_REFUSED = Event(1100, "connections_refused")
PORT_BOUNDED = Event(1101, "port_bounded")
