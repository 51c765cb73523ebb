"""Log events of the request path, numbers 4000 to 4099."""

from __future__ import annotations

from medlarpass.events import Event

SERVER_EJECTED = Event(4000, "server_ejected")
SERVER_RETURNED = Event(4001, "server_returned")
EJECTION_CAPPED = Event(4002, "ejection_capped")
OBSERVER_PAUSED = Event(4010, "observer_paused")
RETRY_BUDGET_EMPTY = Event(4020, "retry_budget_empty")
