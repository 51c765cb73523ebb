"""Interface of the capacity estimate that the plan for traffic uses."""

from __future__ import annotations

from typing import Protocol


class CapacitySource(Protocol):
    """Estimates how many requests servers can handle."""

    def rate_of(self, identity: str, slots: int) -> float | None:
        """Return the requests per second that a server can handle; None while unknown."""
        ...


class UnknownCapacity:
    """Capacity estimate that knows no server."""

    __slots__ = ()

    def rate_of(self, identity: str, slots: int) -> float | None:
        """Return None for every server."""
        return None
