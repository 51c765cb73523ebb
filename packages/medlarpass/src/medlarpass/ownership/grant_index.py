"""Index of grants by assignment, shard and owner."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Set

    from medlarpass.ownership.grant import Grant
    from medlarpass.ownership.shard import Assignment


class GrantIndex:
    """Keeps the grants by assignment, shard and owner.

    The index by owner exists because every heartbeat reads the grants of one server.
    """

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
        self._remove_from_owner(assignment)
        self.grants[assignment] = grant
        self._by_shard.setdefault((assignment.pool, assignment.shard), set()).add(assignment)
        if grant.is_live:
            owner = (grant.server, grant.incarnation)
            self._by_owner.setdefault(owner, {})[assignment] = None
            self.live_count += 1

    def remove(self, assignment: Assignment) -> None:
        """Remove the grant of an assignment."""
        self._remove_from_owner(assignment)
        del self.grants[assignment]
        shard_id = (assignment.pool, assignment.shard)
        self._by_shard[shard_id].discard(assignment)
        if not self._by_shard[shard_id]:
            del self._by_shard[shard_id]

    def assignments_of_shard(self, pool: str, shard: int) -> Set[Assignment]:
        """Return the assignments of a shard, its isolated keys included, that were ever granted."""
        return self._by_shard.get((pool, shard), frozenset())

    def grants_of_server(self, server: str, incarnation: int) -> list[Grant]:
        """Return the live grants of an incarnation of a server."""
        return [
            self.grants[assignment] for assignment in self._by_owner.get((server, incarnation), ())
        ]

    def _remove_from_owner(self, assignment: Assignment) -> None:
        previous = self.grants.get(assignment)
        if previous is None or not previous.is_live:
            return
        owner = (previous.server, previous.incarnation)
        self.live_count -= 1
        del self._by_owner[owner][assignment]
        if not self._by_owner[owner]:
            del self._by_owner[owner]
