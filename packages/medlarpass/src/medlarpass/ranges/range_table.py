"""Assignments of all pools, as the control log records them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.ranges.range_assignment import RangeAssignment
from medlarpass.rpc import control_pb2
from medlarpass.rpc import state_pb2

if TYPE_CHECKING:
    from collections.abc import Iterable

#: Retired lives that are remembered; far more than servers leave while their last heartbeats
#: can still be on the way.
MAX_RETIRED = 4096


class RangeTable:
    """Aggregate of the assignments; ranges of a pool never overlap and fences only grow."""

    __slots__ = ("last_fence", "pools", "retired")

    def __init__(self) -> None:
        #: Assignments by pool, in the order of their keys.
        self.pools: dict[str, list[RangeAssignment]] = {}
        self.last_fence = 0
        #: Newest life of each identity that gets no new work.
        self.retired: dict[str, int] = {}

    def assign(self, body: control_pb2.AssignRanges) -> control_pb2.RangesResult:
        """Give ranges to servers, each under a new fence."""
        result = control_pb2.RangesResult()
        for message in body.assignments:
            self.last_fence += 1
            assignment = RangeAssignment.from_proto(message).with_fence(self.last_fence)
            self._insert(assignment)
            result.assignments.append(assignment.to_proto())
        return result

    def retire(self, body: control_pb2.RetireServer) -> None:
        """Remember that a life of a server gets no new work."""
        life = max(body.life, self.retired.pop(body.identity, 0))
        self.retired[body.identity] = life
        while len(self.retired) > MAX_RETIRED:
            del self.retired[next(iter(self.retired))]

    def is_retired(self, identity: str, life: int) -> bool:
        """Return whether a life of a server gets no new work."""
        return life <= self.retired.get(identity, -1)

    def all(self) -> Iterable[RangeAssignment]:
        """Yield all assignments."""
        for assignments in self.pools.values():
            yield from assignments

    def snapshot(self) -> state_pb2.RangeSnapshot:
        """Return the whole state."""
        return state_pb2.RangeSnapshot(
            assignments=[each.to_proto() for each in self.all()],
            last_fence=self.last_fence,
            retired=[
                control_pb2.RetireServer(identity=identity, life=life)
                for identity, life in self.retired.items()
            ],
        )

    @classmethod
    def from_snapshot(cls, snapshot: state_pb2.RangeSnapshot) -> RangeTable:
        """Return the table of a snapshot."""
        table = cls()
        table.last_fence = snapshot.last_fence
        for message in snapshot.assignments:
            table._insert(RangeAssignment.from_proto(message))
        for retired in snapshot.retired:
            table.retired[retired.identity] = retired.life
        return table

    def _insert(self, new: RangeAssignment) -> None:
        kept = [
            part
            for old in self.pools.get(new.pool, ())
            for part in old.without(new.first, new.last)
        ]
        self.pools[new.pool] = sorted([*kept, new], key=lambda each: each.first)
