"""What a control replica knows of the newest confirmed publication."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.rpc import fleet_pb2

if TYPE_CHECKING:
    from medlarpass import Clock
    from medlarpass_daemon.control.fleet.fleet_state import FleetState

#: Seconds after which what the leader said is of no use to an entry. The age has to fit its field.
OLDEST = 60.0


class NewestPublication:
    """Tells entries and relays up to when they can be sure of the newest version.

    Only a leader that nobody can have deposed is sure at once. A relay is as sure as it was when it
    last asked the leader, so the time on the way counts as age.

    :param fleet: servers and ranges
    :param clock: source of time; counts suspended time
    """

    __slots__ = ("clock", "fleet", "known_at", "version")

    def __init__(self, fleet: FleetState, clock: Clock) -> None:
        self.fleet = fleet
        self.clock = clock
        #: Version that the leader has named, and the reading of the clock up to which it surely was
        #: the newest confirmed one.
        self.version = 0
        self.known_at = 0.0

    def heard(self, response: fleet_pb2.EntryReportResponse, asked_at: float) -> None:
        """Take an answer of the leader.

        :param asked_at: reading of the clock before the leader was asked
        """
        if response.publication_version:
            self.version = response.publication_version
            self.known_at = asked_at - response.age_ms / 1000

    def tell(self) -> fleet_pb2.EntryReportResponse:
        """Return the answer to a report."""
        lease = self.fleet.lease
        if lease is not None and lease.is_held:
            return fleet_pb2.EntryReportResponse(
                publication_version=self.fleet.state.publication.version
            )
        age = self.clock.now() - self.known_at
        if not self.version or age > OLDEST:
            return fleet_pb2.EntryReportResponse()
        return fleet_pb2.EntryReportResponse(
            publication_version=self.version, age_ms=int(age * 1000) + 1
        )
