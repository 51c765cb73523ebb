"""Changes of the ranges for the watchers of a control replica."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass_daemon.control.fleet.change_log import MAX_CHANGE_COUNT
from medlarpass_daemon.control.fleet.change_log import ChangeLog

if TYPE_CHECKING:
    from collections.abc import Iterable

    from medlarpass.rpc import fleet_pb2

__all__ = ["MAX_CHANGE_COUNT", "RangeLog"]


class RangeLog(ChangeLog[tuple[str, int], "fleet_pb2.FleetRange"]):
    """Change log of ranges by pool and first key.

    All ranges of a large pool take many kilobytes, which must not be sent over the slow link of
    every entry for each of dozens of moves a second.
    """

    __slots__ = ()

    def update(self, ranges: Iterable[fleet_pb2.FleetRange]) -> None:
        """Replace the ranges; the new ones must cover all keys that the previous ones covered."""
        self.replace({(item.assignment.pool, item.assignment.first): item for item in ranges})

    def since(self, version: int) -> list[fleet_pb2.FleetRange] | None:
        """Return the ranges added or changed since a version, or None if that is not known.

        Removed ranges are left out, because other ranges cover their keys.
        """
        changed = self.changed_since(version)
        return None if changed is None else changed[0]
