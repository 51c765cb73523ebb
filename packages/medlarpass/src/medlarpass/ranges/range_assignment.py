"""A range of keys owned by one incarnation of a server."""

from __future__ import annotations

from bisect import bisect_left
from bisect import bisect_right
from operator import attrgetter
from typing import TYPE_CHECKING

from medlarpass.base import Value
from medlarpass.rpc import control_pb2

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Sequence

    from medlarpass.ranges.key_intervals import KeyIntervals

#: Keys are integers from 0 to ``KEY_COUNT - 1``.
KEY_COUNT = 65_536


class RangeAssignment(Value):
    """A range of keys that is assigned to one incarnation of a server.

    :param pool: name of the pool
    :param first: first key
    :param last: last key, inclusive
    :param identity: identity of the server
    :param incarnation: incarnation that owns the keys; a later start of the server has a larger
        number
    :param fence: fencing token, larger than that of every earlier assignment; 0 until the
        assignment is applied
    """

    __slots__ = ("fence", "first", "identity", "incarnation", "last", "pool")

    def __init__(
        self, pool: str, first: int, last: int, identity: str, incarnation: int, fence: int = 0
    ) -> None:
        self.pool = pool
        self.first = first
        self.last = last
        self.identity = identity
        self.incarnation = incarnation
        self.fence = fence

    @property
    def size(self) -> int:
        """Number of keys in the range."""
        return self.last - self.first + 1

    def with_bounds(self, first: int, last: int) -> RangeAssignment:
        """Return the part of this assignment from ``first`` to ``last``."""
        return RangeAssignment(self.pool, first, last, self.identity, self.incarnation, self.fence)

    def with_fence(self, fence: int) -> RangeAssignment:
        """Return this assignment with another fence."""
        return RangeAssignment(
            self.pool, self.first, self.last, self.identity, self.incarnation, fence
        )

    def with_incarnation(self, incarnation: int) -> RangeAssignment:
        """Return this assignment with another incarnation of its server."""
        return RangeAssignment(
            self.pool, self.first, self.last, self.identity, incarnation, self.fence
        )

    def overlaps(self, first: int, last: int) -> bool:
        """Return whether the range contains any key from ``first`` to ``last``."""
        return self.first <= last and first <= self.last

    def without(self, first: int, last: int) -> Iterator[RangeAssignment]:
        """Yield the parts of this assignment that lie outside ``first`` to ``last``."""
        if not self.overlaps(first, last):
            yield self
            return
        if self.first < first:
            yield self.with_bounds(self.first, first - 1)
        if self.last > last:
            yield self.with_bounds(last + 1, self.last)

    def to_proto(self) -> control_pb2.RangeAssignment:
        """Convert to the protobuf message."""
        return control_pb2.RangeAssignment(
            pool=self.pool,
            first=self.first,
            last=self.last,
            identity=self.identity,
            life=self.incarnation,
            fence=self.fence,
        )

    @classmethod
    def from_proto(cls, message: control_pb2.RangeAssignment) -> RangeAssignment:
        """Build an assignment from its protobuf message."""
        return cls(
            message.pool,
            message.first,
            message.last,
            message.identity,
            message.life,
            message.fence,
        )


def overlapping(assigned: Sequence[RangeAssignment], first: int, last: int) -> slice:
    """Return where the ranges that contain any key from ``first`` to ``last`` are.

    :param assigned: disjoint ranges of one pool, sorted by key
    """
    begin = bisect_left(assigned, first, key=attrgetter("last"))
    return slice(begin, bisect_right(assigned, last, lo=begin, key=attrgetter("first")))


def parts_outside(assignment: RangeAssignment, intervals: KeyIntervals) -> list[RangeAssignment]:
    """Return the parts of an assignment that lie outside all intervals."""
    parts = [assignment]
    for first, last in intervals.overlapping(assignment.first, assignment.last):
        parts = [rest for part in parts for rest in part.without(first, last)]
    return parts
