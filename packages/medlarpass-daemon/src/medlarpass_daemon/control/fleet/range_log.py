"""Changes of the ranges, as entries have to hear of them."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from medlarpass.rpc import fleet_pb2

#: Changes that are kept; an entry that is further behind gets all ranges.
MOST_CHANGES = 200


class RangeLog:
    """Tells each entry only what it has not heard yet.

    All ranges of a large pool are many kilobytes, and each of dozens of moves a second would send
    them to every entry over its thin link.
    """

    __slots__ = ("changes", "present", "version")

    def __init__(self) -> None:
        self.version = 0
        #: Present ranges by pool and first key.
        self.present: dict[tuple[str, int], fleet_pb2.FleetRange] = {}
        #: Version and new ranges of each change.
        self.changes: deque[tuple[int, list[fleet_pb2.FleetRange]]] = deque(maxlen=MOST_CHANGES)

    def update(self, ranges: Iterable[fleet_pb2.FleetRange]) -> None:
        """Take the present ranges; they cover all keys that the ranges before covered."""
        before = self.present
        self.present = {(each.assignment.pool, each.assignment.first): each for each in ranges}
        changed = [each for key, each in self.present.items() if before.get(key) != each]
        if changed:
            self.version += 1
            self.changes.append((self.version, changed))

    def since(self, version: int) -> list[fleet_pb2.FleetRange] | None:
        """Return the ranges that are new since a version, or None when that is not known."""
        if version > self.version or version < self.version - len(self.changes):
            return None
        newest = {
            (each.assignment.pool, each.assignment.first): each
            for number, ranges in self.changes
            if number > version
            for each in ranges
        }
        # A range that was new and has changed again is not there any more.
        return [each for key, each in newest.items() if self.present.get(key) == each]
