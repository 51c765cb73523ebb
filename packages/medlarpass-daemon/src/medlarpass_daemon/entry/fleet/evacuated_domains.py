"""Evacuated failure domains according to the servers that an entry knows."""

from __future__ import annotations

import math

from typing import TYPE_CHECKING

from medlarpass_daemon.entry.fleet.events import DOMAIN_EVACUATED
from medlarpass_daemon.entry.fleet.events import DOMAIN_RETURNED

if TYPE_CHECKING:
    from medlarpass import Clock
    from medlarpass.rpc import fleet_pb2

#: Time for which the servers of an evacuated domain still get requests for keys that have not been
#: moved. The leader needs it to move all keys of a domain; customers allow 5 s from the
#: confirmation on.
EVACUATION_GRACE_SECONDS = 3.0


class EvacuatedDomains:
    """When the evacuations that are in force began, at the earliest.

    The time counts from the last update before the one that told of the evacuation: an entry that
    was cut off may learn of an evacuation long after its confirmation, and must not send requests
    to the domain then.

    :param clock: clock of this process
    """

    __slots__ = ("clock", "followed_until", "is_in_whole_view", "last_update_at", "since")

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        #: Clock reading before which evacuations begin, by domain.
        self.since: dict[str, float] = {}
        #: Clock reading at the last update, before the first one minus infinity.
        self.last_update_at = -math.inf
        #: Clock reading at the last update before the current one, or before the current whole
        #: view, whose parts arrive in several updates.
        self.followed_until = -math.inf
        self.is_in_whole_view = False

    def record_update(self, update: fleet_pb2.FleetUpdate) -> None:
        """Record the arrival of an update, before its servers are applied."""
        if not self.is_in_whole_view:
            self.followed_until = self.last_update_at
        self.is_in_whole_view = (self.is_in_whole_view or update.begins_whole) and (
            not update.ends_whole
        )
        self.last_update_at = self.clock.now()

    def record_evacuated(self, domain: str) -> None:
        """Record that a server of a domain is evacuated."""
        if domain not in self.since:
            self.since[domain] = self.followed_until
            DOMAIN_EVACUATED.log(domain=domain, grace=round(self.grace_left(domain), 3))

    def record_ready(self, domain: str) -> None:
        """Record that a server of a domain may get new work."""
        if self.since.pop(domain, None) is not None:
            DOMAIN_RETURNED.log(domain=domain)

    def grace_left(self, domain: str) -> float:
        """Return the seconds for which servers of an evacuated domain serve keys that they hold."""
        ends_at = self.since.get(domain, -math.inf) + EVACUATION_GRACE_SECONDS
        return max(ends_at - self.clock.now(), 0.0)
