"""Log events of the ownership package: numbers 3000 to 3099."""

from __future__ import annotations

from medlarpass.events import Event

LEASE_ACQUIRED = Event(3000, "lease_acquired")
LEASE_LOST = Event(3001, "lease_lost")
BALLOT_RAISED = Event(3002, "lease_ballot_raised")
HISTORY_LOST = Event(3003, "grant_history_lost")
DELEGATION_EXPIRED = Event(3010, "delegation_expired")
DELEGATION_TAKEN_BACK = Event(3011, "delegation_taken_back")
SESSION_ENDED = Event(3020, "session_ended")
INCARNATION_SUPERSEDED = Event(3021, "incarnation_superseded")
GRANTS_REVOKED = Event(3030, "grants_revoked")
KEY_ISOLATED = Event(3031, "key_isolated")
KEY_MERGED = Event(3032, "key_merged")
