"""Newest confirmed publication as known to a control replica."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.rpc import fleet_pb2

if TYPE_CHECKING:
    from medlarpass import Clock
    from medlarpass_daemon.control.fleet.fleet_state import FleetState

#: Age after which a version from the leader is not passed on. The age has to fit its field.
MAX_AGE_SECONDS = 60.0


class NewestPublication:
    """Reports the newest version, and how old this information is, to entries and relays.

    Only a leader that holds the leader lease knows the current version. The information of a relay
    dates from its last request to the leader, so that the time in transit counts as age.

    :param fleet: servers and ranges
    :param clock: source of time; counts suspended time
    """

    __slots__ = ("clock", "fleet", "known_at", "version")

    def __init__(self, fleet: FleetState, clock: Clock) -> None:
        self.fleet = fleet
        self.clock = clock
        #: Version received from the leader, and the time at which it certainly was the newest
        #: confirmed one.
        self.version = 0
        self.known_at = 0.0

    def record_response(self, response: fleet_pb2.EntryReportResponse, sent_at: float) -> None:
        """Record a response of the leader.

        :param sent_at: time before the request was sent
        """
        if response.publication_version:
            self.version = response.publication_version
            self.known_at = sent_at - response.age_ms / 1000

    def to_response(self) -> fleet_pb2.EntryReportResponse:
        """Return the response to a report."""
        lease = self.fleet.lease
        if lease is not None and lease.is_held:
            return fleet_pb2.EntryReportResponse(
                publication_version=self.fleet.state.publication.version
            )
        age = self.clock.now() - self.known_at
        if not self.version or age > MAX_AGE_SECONDS:
            return fleet_pb2.EntryReportResponse()
        return fleet_pb2.EntryReportResponse(
            publication_version=self.version, age_ms=int(age * 1000) + 1
        )
