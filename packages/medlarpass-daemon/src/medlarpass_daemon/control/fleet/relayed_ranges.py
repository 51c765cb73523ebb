"""Ranges of all pools that a relay receives from the leader."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.ranges import PoolRanges

if TYPE_CHECKING:
    from collections.abc import Iterable

    from medlarpass.rpc import fleet_pb2


class RelayedRanges:
    """Combines the updates of one stream."""

    __slots__ = ("pools",)

    def __init__(self) -> None:
        self.pools: dict[str, PoolRanges] = {}

    def apply(self, update: fleet_pb2.FleetUpdate) -> bool:
        """Apply an update.

        :returns: whether it contains ranges
        """
        if update.HasField("ranges"):
            self.pools = {}
            self._insert(update.ranges.ranges)
            return True
        self._insert(update.range_changes)
        return bool(update.range_changes)

    def all(self) -> Iterable[fleet_pb2.FleetRange]:
        """Yield the ranges of all pools."""
        for pool in self.pools.values():
            yield from pool.ranges

    def _insert(self, ranges: Iterable[fleet_pb2.FleetRange]) -> None:
        for new in ranges:
            self.pools.setdefault(new.assignment.pool, PoolRanges()).put(new)
