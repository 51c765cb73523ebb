"""In-flight requests of the other entries of the failure domain."""

from __future__ import annotations

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
        """Store a report unless a newer one of the same peer is known.

        :param sent_at: reading of the own clock when the report was made at the latest
        """
        known = self.reports.get(peer)
        if known is None or known[0] <= sent_at:
            self.reports[peer] = (sent_at, dict(in_flight))

    def in_flight(self, server: str, now: float) -> float:
        """Return the peers' in-flight requests to a server, less the older the reports are."""
        total = 0.0
        for sent_at, loads in self.reports.values():
            freshness = 1.0 - (now - sent_at) / self.age_limit
            if freshness > 0.0:
                total += loads.get(server, 0) * min(freshness, 1.0)
        return total
