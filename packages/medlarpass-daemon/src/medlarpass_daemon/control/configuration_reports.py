"""Configurations that entries reported as in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.rpc import control_pb2

if TYPE_CHECKING:
    from medlarpass import Clock

#: Entries without a report for this long count as removed; their last report is dropped.
REPORT_RETENTION_SECONDS = 24 * 3600.0


class ConfigurationReports:
    """Last configuration report of each entry that polls this replica.

    :param clock: clock used for the age of reports
    """

    __slots__ = ("clock", "reports")

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.reports: dict[str, tuple[str, int, float]] = {}

    def record(self, place: str, domain: str, revision: int) -> None:
        """Record a report.

        :param place: name of the entry
        :param domain: failure domain of the entry
        :param revision: configuration revision in force at the entry
        """
        self.reports[place] = (domain, revision, self.clock.now())

    def in_force(self) -> list[control_pb2.InForce]:
        """Return the last report of each entry."""
        now = self.clock.now()
        self.reports = {
            place: report
            for place, report in self.reports.items()
            if now - report[2] < REPORT_RETENTION_SECONDS
        }
        return [
            control_pb2.InForce(
                place=place,
                domain=domain,
                revision=revision,
                age_ms=round((now - reported_at) * 1000),
            )
            for place, (domain, revision, reported_at) in sorted(self.reports.items())
        ]
