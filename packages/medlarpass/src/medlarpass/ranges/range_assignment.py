"""Keys that one life of a server holds."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.base import Value
from medlarpass.rpc import control_pb2

if TYPE_CHECKING:
    from collections.abc import Iterator

#: Keys are integers from 0 to ``KEY_COUNT - 1``.
KEY_COUNT = 65_536


class RangeAssignment(Value):
    """A range of keys assigned to one life of a server.

    :param pool: name of the pool
    :param first: first key
    :param last: last key, included
    :param identity: identity of the server
    :param life: start of the server that holds the keys; a later start has a larger number
    :param fence: larger than the fence of every earlier assignment; 0 before it is applied
    """

    __slots__ = ("fence", "first", "identity", "last", "life", "pool")

    def __init__(
        self, pool: str, first: int, last: int, identity: str, life: int, fence: int = 0
    ) -> None:
        self.pool = pool
        self.first = first
        self.last = last
        self.identity = identity
        self.life = life
        self.fence = fence

    @property
    def size(self) -> int:
        """Number of keys."""
        return self.last - self.first + 1

    def with_bounds(self, first: int, last: int) -> RangeAssignment:
        """Return a part of the same assignment."""
        return RangeAssignment(self.pool, first, last, self.identity, self.life, self.fence)

    def with_fence(self, fence: int) -> RangeAssignment:
        """Return the same keys and server under another fence."""
        return RangeAssignment(self.pool, self.first, self.last, self.identity, self.life, fence)

    def overlaps(self, first: int, last: int) -> bool:
        """Return whether the range has keys from ``first`` to ``last``."""
        return self.first <= last and first <= self.last

    def without(self, first: int, last: int) -> Iterator[RangeAssignment]:
        """Yield the parts of the range that remain when keys are taken out."""
        if not self.overlaps(first, last):
            yield self
            return
        if self.first < first:
            yield self.with_bounds(self.first, first - 1)
        if self.last > last:
            yield self.with_bounds(last + 1, self.last)

    def to_proto(self) -> control_pb2.RangeAssignment:
        """Return the protobuf form."""
        return control_pb2.RangeAssignment(
            pool=self.pool,
            first=self.first,
            last=self.last,
            identity=self.identity,
            life=self.life,
            fence=self.fence,
        )

    @classmethod
    def from_proto(cls, message: control_pb2.RangeAssignment) -> RangeAssignment:
        """Read the protobuf form."""
        return cls(
            message.pool,
            message.first,
            message.last,
            message.identity,
            message.life,
            message.fence,
        )
