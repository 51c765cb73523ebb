"""In-flight requests of the other entries of the failure domain."""

from __future__ import annotations

from math import exp
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


class PeerLoads:
    """Latest load report of each peer, discounted by its age.

    :param max_age: seconds after which a report is ignored
    """

    __slots__ = ("max_age", "reports")

    def __init__(self, max_age: float) -> None:
        self.max_age = max_age
        self.reports: dict[str, tuple[float, dict[str, int]]] = {}

    def update(self, peer: str, in_flight: Mapping[str, int], sent_at: float) -> None:
        """Store a report unless a newer one of the same peer is known; remove expired reports.

        :param sent_at: latest time at which the report was made, on the clock of this entry
        """
        self.reports = {
            name: report
            for name, report in self.reports.items()
            if sent_at - report[0] < self.max_age
        }
        known = self.reports.get(peer)
        if known is None or known[0] <= sent_at:
            self.reports[peer] = (sent_at, dict(in_flight))

    def in_flight(self, server: str, now: float, decay_time: float | None) -> float:
        """Return the estimated number of peers' requests that are still in flight at a server.

        The older a report, the more likely its requests have ended. A report older than the
        duration of a request describes none that still run; entries that all act on such a report
        overload the servers it shows as free.

        :param decay_time: time constant of the exponential decay, in seconds; None for no decay
        """
        total = 0.0
        for sent_at, loads in self.reports.values():
            age = max(now - sent_at, 0.0)
            if age < self.max_age and server in loads:
                total += loads[server] * (exp(-age / decay_time) if decay_time else 1.0)
        return total
