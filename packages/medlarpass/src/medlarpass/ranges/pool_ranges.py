"""Ranges of one pool as received from control."""

from __future__ import annotations

from bisect import bisect_right
from typing import TYPE_CHECKING

from medlarpass.ranges.range_assignment import RangeAssignment
from medlarpass.rpc import fleet_pb2

if TYPE_CHECKING:
    from collections.abc import Iterator


class PoolRanges:
    """Non-overlapping ranges of one pool, sorted by key."""

    __slots__ = ("firsts", "ranges")

    def __init__(self) -> None:
        self.firsts: list[int] = []
        self.ranges: list[fleet_pb2.FleetRange] = []

    def put(self, new: fleet_pb2.FleetRange) -> None:
        """Insert a range and cut the ranges that it overlaps."""
        first, last = new.assignment.first, new.assignment.last
        begin = bisect_right(self.firsts, first) - 1
        if begin < 0 or self.ranges[begin].assignment.last < first:
            begin += 1
        end = max(bisect_right(self.firsts, last), begin)
        parts = [
            part for old in self.ranges[begin:end] for part in _remaining_parts(old, first, last)
        ]
        parts = sorted([*parts, new], key=lambda part: part.assignment.first)
        self.ranges[begin:end] = parts
        self.firsts[begin:end] = [part.assignment.first for part in parts]

    def find(self, key: int) -> fleet_pb2.FleetRange | None:
        """Return the range that contains a key, if any."""
        index = bisect_right(self.firsts, key) - 1
        if index < 0 or self.ranges[index].assignment.last < key:
            return None
        return self.ranges[index]


def _remaining_parts(
    old: fleet_pb2.FleetRange, first: int, last: int
) -> Iterator[fleet_pb2.FleetRange]:
    """Yield the parts of a range that lie outside ``first`` to ``last``."""
    for part in RangeAssignment.from_proto(old.assignment).without(first, last):
        yield fleet_pb2.FleetRange(assignment=part.to_proto(), phase=old.phase)
