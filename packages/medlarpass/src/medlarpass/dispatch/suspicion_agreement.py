"""Agreement of several observers on suspected servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Set

    from medlarpass.clock import Clock
    from medlarpass.dispatch.settings import DetectorSettings

# An observer that suspects more than this part of its servers is probably cut off itself.
LARGEST_SUSPECTED_PART = 0.5


class ObserverReport:
    """Newest report of one observer."""

    __slots__ = ("known", "sent_at", "suspects")

    def __init__(self, known: Set[str], suspects: Set[str], sent_at: float) -> None:
        self.known = frozenset(known)
        self.suspects = frozenset(suspects)
        self.sent_at = sent_at

    @property
    def is_plausible(self) -> bool:
        """Whether the observer suspects few enough servers to be believed."""
        return len(self.suspects) <= max(LARGEST_SUSPECTED_PART * len(self.known), 1)


class SuspicionAgreement:
    """A server counts as failed when a majority of the observers that know it suspects it.

    Reports that are old or implausible count neither way. At least two observers must agree if
    more than one has a current report.

    :param settings: settings of the detector
    :param clock: source of time
    """

    __slots__ = ("clock", "reports", "settings")

    def __init__(self, settings: DetectorSettings, clock: Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.reports: dict[str, ObserverReport] = {}

    def report(self, observer: str, known: Set[str], suspects: Set[str], sent_at: float) -> None:
        """Take a report of an observer.

        :param known: servers that the observer watches
        :param suspects: servers among them that it suspects
        :param sent_at: reading of the own clock when the report was made at the latest
        """
        newest = self.reports.get(observer)
        if newest is None or newest.sent_at <= sent_at:
            self.reports[observer] = ObserverReport(known, suspects, sent_at)

    def failed(self) -> frozenset[str]:
        """Return the servers that the observers agree on."""
        now = self.clock.now()
        current = [
            report
            for report in self.reports.values()
            if now - report.sent_at <= self.settings.report_age_limit and report.is_plausible
        ]
        named = frozenset().union(*(report.suspects for report in current))
        return frozenset(server for server in named if self._agreed(server, current))

    def forget(self, observer: str) -> None:
        """Drop an observer that left."""
        self.reports.pop(observer, None)

    def _agreed(self, server: str, current: list[ObserverReport]) -> bool:
        watching = [report for report in current if server in report.known]
        votes = sum(server in report.suspects for report in watching)
        needed = len(watching) // 2 + 1
        return votes >= max(needed, min(2, len(current)))
