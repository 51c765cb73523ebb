"""Log events of the ownership package: numbers 3000 to 3099."""

from __future__ import annotations

from medlarpass.events import Event

LEASE_ACQUIRED = Event(3000, "lease-acquired")
LEASE_LOST = Event(3001, "lease-lost")
BALLOT_RAISED = Event(3002, "lease-ballot-raised")
HISTORY_LOST = Event(3003, "grant-history-lost")
DELEGATION_EXPIRED = Event(3010, "delegation-expired")
DELEGATION_TAKEN_BACK = Event(3011, "delegation-taken-back")
SESSION_ENDED = Event(3020, "session-ended")
INCARNATION_SUPERSEDED = Event(3021, "incarnation-superseded")
GRANTS_REVOKED = Event(3030, "grants-revoked")
KEY_ISOLATED = Event(3031, "key-isolated")
KEY_MERGED = Event(3032, "key-merged")
