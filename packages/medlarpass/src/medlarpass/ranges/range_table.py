"""Range assignments of all pools, as recorded in the control log."""

from __future__ import annotations

from operator import attrgetter
from typing import TYPE_CHECKING

from medlarpass.ranges.range_assignment import RangeAssignment
from medlarpass.ranges.range_assignment import overlapping
from medlarpass.rpc import control_pb2
from medlarpass.rpc import state_pb2

if TYPE_CHECKING:
    from collections.abc import Iterable

#: Retired incarnations that are kept; far more than retire while their last heartbeats can still
#: be in transit.
MAX_RETIRED_COUNT = 4096


class RangeTable:
    """The assignments; ranges of a pool never overlap, and fences only increase."""

    __slots__ = ("last_fence", "pools", "retired")

    def __init__(self) -> None:
        #: Assignments by pool, sorted by key.
        self.pools: dict[str, list[RangeAssignment]] = {}
        self.last_fence = 0
        #: Newest retired incarnation by identity.
        self.retired: dict[str, int] = {}

    def assign(self, body: control_pb2.AssignRanges) -> control_pb2.RangesResult:
        """Assign ranges to servers, each with a new fence."""
        result = control_pb2.RangesResult()
        for pool in {message.pool for message in body.assignments}:
            # Readers may keep the previous list while they wait.
            self.pools[pool] = list(self.pools.get(pool, ()))
        for message in body.assignments:
            self.last_fence += 1
            assignment = RangeAssignment.from_proto(message).with_fence(self.last_fence)
            self._insert(assignment)
            result.assignments.append(assignment.to_proto())
        return result

    def retire(self, body: control_pb2.RetireServer) -> None:
        """Record that an incarnation of a server gets no new work."""
        incarnation = max(body.life, self.retired.pop(body.identity, 0))
        self.retired[body.identity] = incarnation
        while len(self.retired) > MAX_RETIRED_COUNT:
            del self.retired[next(iter(self.retired))]

    def is_retired(self, identity: str, incarnation: int) -> bool:
        """Return whether an incarnation of a server gets no new work."""
        return incarnation <= self.retired.get(identity, -1)

    def all(self) -> Iterable[RangeAssignment]:
        """Yield all assignments."""
        for assignments in self.pools.values():
            yield from assignments

    def snapshot(self) -> state_pb2.RangeSnapshot:
        """Return the state as a message."""
        return state_pb2.RangeSnapshot(
            assignments=[assignment.to_proto() for assignment in self.all()],
            last_fence=self.last_fence,
            retired=[
                control_pb2.RetireServer(identity=identity, life=incarnation)
                for identity, incarnation in self.retired.items()
            ],
        )

    @classmethod
    def from_snapshot(cls, snapshot: state_pb2.RangeSnapshot) -> RangeTable:
        """Restore the table from a snapshot."""
        table = cls()
        table.last_fence = snapshot.last_fence
        for message in snapshot.assignments:
            table._insert(RangeAssignment.from_proto(message))
        for retired in snapshot.retired:
            table.retired[retired.identity] = retired.life
        return table

    def _insert(self, new: RangeAssignment) -> None:
        assigned = self.pools.setdefault(new.pool, [])
        overlapped = overlapping(assigned, new.first, new.last)
        parts = [part for old in assigned[overlapped] for part in old.without(new.first, new.last)]
        assigned[overlapped] = sorted([*parts, new], key=attrgetter("first"))
