"""Which places have which configuration in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.rpc import control_pb2

if TYPE_CHECKING:
    from medlarpass import Clock

#: Places that have not reported for this long, in seconds, are forgotten: they were removed.
FORGET_AFTER = 24 * 3600.0


class PlaceReports:
    """Last report of each entry that polls this replica.

    :param clock: clock that the age of reports is measured with
    """

    __slots__ = ("clock", "reports")

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.reports: dict[str, tuple[str, int, float]] = {}

    def note(self, place: str, domain: str, revision: int) -> None:
        """Note a report.

        :param place: name of the entry
        :param domain: its failure domain
        :param revision: revision in force there
        """
        self.reports[place] = (domain, revision, self.clock.now())

    def in_force(self) -> list[control_pb2.InForce]:
        """Return the last report of each place."""
        now = self.clock.now()
        self.reports = {
            place: report
            for place, report in self.reports.items()
            if now - report[2] < FORGET_AFTER
        }
        return [
            control_pb2.InForce(
                place=place, domain=domain, revision=revision, age_ms=round((now - at) * 1000)
            )
            for place, (domain, revision, at) in sorted(self.reports.items())
        ]
