"""Log events of an entry that follows control."""

from __future__ import annotations

from medlarpass import Event

WATCH_LOST = Event(5100, "fleet_lost")
WATCH_REGAINED = Event(5101, "fleet_regained")
PUBLICATION_IN_FORCE = Event(5102, "publication_in_force")
SERVERS_LEARNED = Event(5103, "servers_learned")
SERVER_DROPPED = Event(5104, "server_dropped")
RANGES_LEARNED = Event(5105, "ranges_learned")
FOLLOWER_HEARD = Event(5106, "follower_heard")
SERVER_RETIRED = Event(5107, "server_leaves")
DOMAIN_EVACUATED = Event(5120, "domain_evacuated")
DOMAIN_RETURNED = Event(5121, "domain_returned")
PUBLICATION_OVERDUE = Event(5108, "publication_overdue")
SERVER_COLD = Event(5125, "server_cold")
