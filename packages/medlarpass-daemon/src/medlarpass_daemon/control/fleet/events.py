"""Log events of fleet management in control."""

from __future__ import annotations

from medlarpass import Event

SERVER_JOINED = Event(6100, "fleet_server_joined")
SERVER_RETIRED = Event(6101, "fleet_server_retired")
SERVER_FORGOTTEN = Event(6102, "fleet_server_forgotten")
RECORD_FAILED = Event(6103, "fleet_server_not_recorded")
PUBLICATION_ACCEPTED = Event(6110, "publication_accepted")
PUBLICATION_UNCHANGED = Event(6111, "publication_unchanged")
PUBLICATION_REFUSED = Event(6112, "publication_refused")
CONFIRMED_EARLY = Event(6113, "confirmed_before_followed")
KEEPER_STARTED = Event(6120, "range_keeper_started")
KEEPER_STOPPED = Event(6121, "range_keeper_stopped")
RANGES_ASSIGNED = Event(6122, "ranges_assigned")
RANGE_MOVING = Event(6123, "range_moving")
RANGE_MOVED = Event(6124, "range_moved")
RANGE_LOST = Event(6125, "range_lost")
GRANT_FAILED = Event(6126, "range_grant_failed")
GRANT_RESTORED = Event(6127, "range_grant_restored")
RELEASE_FAILED = Event(6128, "range_release_failed")
REFENCE_FAILED = Event(6129, "range_refence_failed")
WATCH_OPENED = Event(6130, "fleet_watch_opened")
WATCH_CLOSED = Event(6131, "fleet_watch_closed")
RELAY_BEGUN = Event(6132, "relay_begun")
RELAY_LOST = Event(6133, "relay_lost")
REPORT_LOST = Event(6134, "relayed_report_lost")
REPLICA_JOINING = Event(6140, "replica_joining")
REPLICA_JOINED = Event(6141, "replica_joined")
REPLICA_ADDED = Event(6142, "replica_added")
REPLICA_DROPPED = Event(6143, "replica_dropped")
MEMBERSHIP_CHANGE_FAILED = Event(6144, "membership_change_failed")
