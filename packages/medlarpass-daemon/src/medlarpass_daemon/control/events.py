"""Log events of a control replica."""

from __future__ import annotations

from medlarpass import Event

SHARDS_ASSIGNED = Event(6000, "shards_assigned")
SHARDS_MOVING = Event(6001, "shards_moving")
SHARDS_FREED = Event(6002, "shards_freed")
EPOCHS_RENEWED = Event(6003, "epochs_renewed")
DELEGATION_FAILED = Event(6004, "delegation_failed")
