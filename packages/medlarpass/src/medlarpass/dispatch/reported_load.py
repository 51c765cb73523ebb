"""Latest load reports of the servers, as received by this entry."""

from __future__ import annotations

import math

from statistics import median_low
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from medlarpass.clock import Clock
    from medlarpass.dispatch.server_load_report import ServerLoadReport

#: Time for which a report is used. The load of a server changes several times a second.
VALID_SECONDS = 0.5
#: Weight of the latest response in the ratio of quick responses of a server that reports load.
SAMPLE_WEIGHT_RATIO = 0.2
#: Ratio of quick responses above which reports of a high load are doubted. With the usual variation
#: of work times, two of three responses of an idle server take less than the mean, and one of three
#: of a server that takes twice the usual time.
MAX_QUICK_RATIO = 0.5
#: Servers that are remembered; far more than an entry has.
MAX_SERVER_COUNT = 10_000


class ReportedServer:
    """Reports and contradicting observations of one incarnation of a server.

    :param incarnation: incarnation of the server
    """

    __slots__ = ("incarnation", "quick_ratio", "refused_at", "report", "reported_at")

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.report: ServerLoadReport | None = None
        #: Clock reading of the latest report.
        self.reported_at = -math.inf
        #: Clock reading of the latest refusal for load.
        self.refused_at = -math.inf
        #: Moving average of the responses that were quick although they reported a high load.
        self.quick_ratio = 0.0


class ReportedLoads:
    """Latest load report by server and incarnation; decides which reports are credible.

    A report is doubted, and then ignored, when it contradicts what this entry observed: the server
    says that nothing waits but refuses requests, or reports a high load while its responses are
    quick. A server without a credible recent report counts as average.

    :param clock: source of time
    """

    __slots__ = ("by_identity", "clock")

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        #: Oldest first.
        self.by_identity: dict[str, ReportedServer] = {}

    def record(self, identity: str, incarnation: int, report: ServerLoadReport) -> None:
        """Record the report in a response or refusal."""
        server = self._server_for(identity, incarnation)
        if server is not None:
            server.report = report
            server.reported_at = self.clock.now()

    def record_refusal(self, identity: str, incarnation: int) -> None:
        """Record that a server refused a request because of its load."""
        server = self._find(identity, incarnation)
        if server is not None:
            server.refused_at = self.clock.now()

    def record_response(
        self,
        identity: str,
        incarnation: int,
        report: ServerLoadReport,
        seconds: float,
        usual_seconds: float | None,
    ) -> None:
        """Compare a response with the load that it reported.

        :param report: report in the response
        :param seconds: seconds from sending the request to its response
        :param usual_seconds: mean of the servers of the pool, None while unknown; only used for a
            report of a high load
        """
        server = self._find(identity, incarnation)
        if server is None or (report.is_busy and usual_seconds is None):
            return
        is_quick = report.is_busy and usual_seconds is not None and seconds < usual_seconds
        server.quick_ratio += SAMPLE_WEIGHT_RATIO * (float(is_quick) - server.quick_ratio)

    def current(self, identity: str, incarnation: int) -> ServerLoadReport | None:
        """Return the recent and credible report of a server, None if there is none."""
        server = self._find(identity, incarnation)
        if server is None or server.report is None:
            return None
        if self.clock.now() - server.reported_at > VALID_SECONDS:
            return None
        return None if self._is_doubted(server, server.report) else server.report

    def preferred(self, servers: Mapping[str, int]) -> set[str]:
        """Return the servers to choose from: those that report no high load, else the better half.

        :param servers: incarnations by identity
        """
        reports = {
            identity: self.current(identity, incarnation)
            for identity, incarnation in servers.items()
        }
        busy_costs = {
            identity: report.cost
            for identity, report in reports.items()
            if report is not None and report.is_busy
        }
        if len(busy_costs) < len(servers):
            return {identity for identity in servers if identity not in busy_costs}
        # One best server would get the next requests of many entries together.
        limit = median_low(busy_costs.values()) if busy_costs else 0.0
        return {identity for identity, cost in busy_costs.items() if cost <= limit}

    def is_unqueued(self, identity: str, incarnation: int, report: ServerLoadReport | None) -> bool:
        """Return whether a report credibly says that no request waits at its server."""
        if report is None or report.waiting > 0:
            return False
        server = self._find(identity, incarnation)
        return server is None or not self._is_doubted(server, report)

    def forget(self, identity: str) -> None:
        """Drop the reports of a server that left."""
        self.by_identity.pop(identity, None)

    def _is_doubted(self, server: ReportedServer, report: ServerLoadReport) -> bool:
        if report.waiting == 0 and abs(server.reported_at - server.refused_at) <= VALID_SECONDS:
            return True
        return report.is_busy and server.quick_ratio > MAX_QUICK_RATIO

    def _find(self, identity: str, incarnation: int) -> ReportedServer | None:
        server = self.by_identity.get(identity)
        return server if server is not None and server.incarnation == incarnation else None

    def _server_for(self, identity: str, incarnation: int) -> ReportedServer | None:
        """Return the server to update; None for a late response of an earlier incarnation."""
        known = self.by_identity.get(identity)
        if known is not None and known.incarnation >= incarnation:
            return known if known.incarnation == incarnation else None
        self.by_identity.pop(identity, None)
        server = self.by_identity[identity] = ReportedServer(incarnation)
        while len(self.by_identity) > MAX_SERVER_COUNT:
            del self.by_identity[next(iter(self.by_identity))]
        return server
