"""Peer loads for deployments whose entries do not report their loads to each other."""

from __future__ import annotations


class NoPeers:
    """Peer loads without any reports."""

    __slots__ = ()

    def in_flight(self, server: str, now: float, decay_time: float | None = None) -> float:
        """Return 0 for every server."""
        return 0.0
