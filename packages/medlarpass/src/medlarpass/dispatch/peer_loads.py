"""In-flight requests of the other entries of the failure domain."""

from __future__ import annotations

from math import exp
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


class PeerLoads:
    """Newest report of each peer, weighted by its age.

    :param age_limit: seconds after which a report counts nothing
    """

    __slots__ = ("age_limit", "reports")

    def __init__(self, age_limit: float) -> None:
        self.age_limit = age_limit
        self.reports: dict[str, tuple[float, dict[str, int]]] = {}

    def update(self, peer: str, in_flight: Mapping[str, int], sent_at: float) -> None:
        """Store a report unless a newer one of the same peer is known; drop outdated ones.

        :param sent_at: reading of the own clock when the report was made at the latest
        """
        self.reports = {
            name: report
            for name, report in self.reports.items()
            if sent_at - report[0] < self.age_limit
        }
        known = self.reports.get(peer)
        if known is None or known[0] <= sent_at:
            self.reports[peer] = (sent_at, dict(in_flight))

    def in_flight(self, server: str, now: float, memory: float | None) -> float:
        """Return the peers' requests to a server that are probably still in flight.

        A request of which a report tells has ended with a probability that grows with the age of
        the report. A report that is older than the requests last describes none that still run;
        entries that act on it together overload the servers it shows as free.

        :param memory: seconds after which a report counts 1/e; without it reports count in full
        """
        total = 0.0
        for sent_at, loads in self.reports.values():
            age = max(now - sent_at, 0.0)
            if age < self.age_limit and server in loads:
                total += loads[server] * (exp(-age / memory) if memory else 1.0)
        return total
