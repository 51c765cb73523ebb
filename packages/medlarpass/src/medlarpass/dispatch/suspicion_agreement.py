"""Majority vote of several observers on failed servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Set

    from medlarpass.clock import Clock
    from medlarpass.dispatch.settings import DetectorSettings

# An observer that suspects a larger share of its servers is probably partitioned itself.
MAX_SUSPECTED_RATIO = 0.5


class ObserverReport:
    """Latest report of one observer."""

    __slots__ = ("known", "sent_at", "suspects")

    def __init__(self, known: Set[str], suspects: Set[str], sent_at: float) -> None:
        self.known = frozenset(known)
        self.suspects = frozenset(suspects)
        self.sent_at = sent_at

    @property
    def is_plausible(self) -> bool:
        """Whether the observer suspects few enough servers for its report to count."""
        return len(self.suspects) <= max(MAX_SUSPECTED_RATIO * len(self.known), 1)


class SuspicionAgreement:
    """Declares a server failed when a majority of the observers that know it suspect it.

    Expired and implausible reports are ignored. At least two observers must agree if more than
    one has a current report.

    :param settings: settings of the detector
    :param clock: source of time
    """

    __slots__ = ("clock", "reports", "settings")

    def __init__(self, settings: DetectorSettings, clock: Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.reports: dict[str, ObserverReport] = {}

    def record_report(
        self, observer: str, known: Set[str], suspects: Set[str], sent_at: float
    ) -> None:
        """Store a report of an observer unless a newer one of the same observer is known.

        :param known: servers that the observer monitors
        :param suspects: servers among them that it suspects
        :param sent_at: latest time at which the report was made, on the clock of this entry
        """
        latest = self.reports.get(observer)
        if latest is None or latest.sent_at <= sent_at:
            self.reports[observer] = ObserverReport(known, suspects, sent_at)

    def failed_servers(self) -> frozenset[str]:
        """Return the servers that the observers agree have failed."""
        now = self.clock.now()
        current = [
            report
            for report in self.reports.values()
            if now - report.sent_at <= self.settings.report_age_limit and report.is_plausible
        ]
        suspected = frozenset().union(*(report.suspects for report in current))
        return frozenset(server for server in suspected if self._has_majority(server, current))

    def forget(self, observer: str) -> None:
        """Remove the report of an observer that left."""
        self.reports.pop(observer, None)

    def _has_majority(self, server: str, current: list[ObserverReport]) -> bool:
        monitoring = [report for report in current if server in report.known]
        votes = sum(server in report.suspects for report in monitoring)
        majority = len(monitoring) // 2 + 1
        return votes >= max(majority, min(2, len(current)))
