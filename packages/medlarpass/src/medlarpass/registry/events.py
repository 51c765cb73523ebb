"""Log events of the server registry, numbers 3100 to 3149."""

from __future__ import annotations

from medlarpass.events import Event

SERVER_APPEARED = Event(3100, "server_appeared")
SERVER_STATE_CHANGED = Event(3101, "server_state_changed")
SERVER_SILENT = Event(3102, "server_silent")
SERVER_DRAINED = Event(3103, "server_drained")
SERVER_UNDRAINED = Event(3104, "server_undrained")
