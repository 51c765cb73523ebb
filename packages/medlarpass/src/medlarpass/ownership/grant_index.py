"""Grants by assignment, by shard and by owner."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Set

    from medlarpass.ownership.grant import Grant
    from medlarpass.ownership.shard import Assignment


class GrantIndex:
    """Keeps three views of the same grants; every heartbeat asks for those of one server."""

    __slots__ = ("_by_owner", "_by_shard", "grants", "live_count")

    def __init__(self) -> None:
        self.grants: dict[Assignment, Grant] = {}
        #: Number of grants with an owner.
        self.live_count = 0
        self._by_shard: dict[tuple[str, int], set[Assignment]] = {}
        self._by_owner: dict[tuple[str, int], dict[Assignment, None]] = {}

    def put(self, grant: Grant) -> None:
        """Add a grant, or replace the one of the same assignment."""
        assignment = grant.assignment
        self._forget_owner(assignment)
        self.grants[assignment] = grant
        self._by_shard.setdefault((assignment.pool, assignment.shard), set()).add(assignment)
        if grant.is_live:
            owner = (grant.server, grant.incarnation)
            self._by_owner.setdefault(owner, {})[assignment] = None
            self.live_count += 1

    def remove(self, assignment: Assignment) -> None:
        """Remove the grant of an assignment."""
        self._forget_owner(assignment)
        del self.grants[assignment]
        place = (assignment.pool, assignment.shard)
        self._by_shard[place].discard(assignment)
        if not self._by_shard[place]:
            del self._by_shard[place]

    def parts(self, pool: str, shard: int) -> Set[Assignment]:
        """Return the shard and its isolated keys, as far as they were ever granted."""
        return self._by_shard.get((pool, shard), frozenset())

    def owned(self, server: str, incarnation: int) -> list[Grant]:
        """Return the live grants of an incarnation of a server."""
        return [self.grants[each] for each in self._by_owner.get((server, incarnation), ())]

    def _forget_owner(self, assignment: Assignment) -> None:
        former = self.grants.get(assignment)
        if former is None or not former.is_live:
            return
        owner = (former.server, former.incarnation)
        self.live_count -= 1
        del self._by_owner[owner][assignment]
        if not self._by_owner[owner]:
            del self._by_owner[owner]
