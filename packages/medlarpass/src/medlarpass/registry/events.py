"""Log events of the registry package: numbers 3100 to 3149."""

from __future__ import annotations

from medlarpass.events import Event

SERVER_APPEARED = Event(3100, "server-appeared")
SERVER_STATE_CHANGED = Event(3101, "server-state-changed")
SERVER_SILENT = Event(3102, "server-silent")
SERVER_DRAINED = Event(3103, "server-drained")
SERVER_UNDRAINED = Event(3104, "server-undrained")
