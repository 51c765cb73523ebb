"""Records the load that servers report in their responses."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.dispatch import ServerLoadReport
from medlarpass_daemon.entry.callers.events import INVALID_LOAD

if TYPE_CHECKING:
    from collections.abc import Callable

    from medlarpass.dispatch import ReportedLoads
    from medlarpass_daemon.entry.callers.interfaces import Target

#: Servers whose first invalid report was logged; far more than an entry has.
MAX_LOGGED_COUNT = 10_000


class LoadRecorder:
    """Parses reported loads; an invalid one is counted and otherwise has no effect.

    :param loads: latest reports of the servers
    :param count_invalid: counts an invalid report in the metrics
    """

    __slots__ = ("count_invalid", "loads", "logged")

    def __init__(self, loads: ReportedLoads, count_invalid: Callable[[], None]) -> None:
        self.loads = loads
        self.count_invalid = count_invalid
        #: Servers with an invalid report, which is logged once for each of them; oldest first.
        self.logged: dict[str, None] = {}

    def record(self, target: Target, text: str | None) -> ServerLoadReport | None:
        """Record the load in a response that belongs to a request.

        :param target: server that sent the response
        :param text: the load as the server wrote it, None if it reported none
        :returns: the report; None if there is none or it is invalid
        """
        if text is None:
            return None
        report = ServerLoadReport.from_text(text)
        if report is None:
            self._record_invalid(target, text)
        else:
            self.loads.record(target.identity, target.incarnation, report)
        return report

    def _record_invalid(self, target: Target, text: str) -> None:
        self.count_invalid()
        if target.identity in self.logged:
            return
        self.logged[target.identity] = None
        while len(self.logged) > MAX_LOGGED_COUNT:
            del self.logged[next(iter(self.logged))]
        INVALID_LOAD.log(server=target.identity, life=target.incarnation, value=text[:40])
