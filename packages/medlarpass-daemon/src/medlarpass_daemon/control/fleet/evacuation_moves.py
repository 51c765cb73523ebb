"""Moves keys away from the servers of evacuated failure domains."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from medlarpass.ranges import KeyIntervals
from medlarpass.ranges import move_allowance
from medlarpass.ranges import overlapping
from medlarpass.ranges import plan_evacuation
from medlarpass.ranges import select_moves
from medlarpass.ranges.evacuation_pace import MAX_STARTED_COUNT
from medlarpass_daemon.control.fleet import events

if TYPE_CHECKING:
    from medlarpass import Clock
    from medlarpass.ranges import PlannerServer
    from medlarpass.ranges import RangeAssignment
    from medlarpass_daemon.control.fleet.fleet_state import FleetState
    from medlarpass_daemon.control.fleet.range_grants import RangeGrants
    from medlarpass_daemon.control.fleet.range_moves import RangeMoves


class EvacuationMoves:
    """Starts a bounded number of moves in each step until evacuated servers own no keys.

    Without a server elsewhere the keys stay with their owners, because a key without an owner would
    only be granted anew, without its handover, after the end of the evacuation.

    :param fleet: servers and ranges
    :param grants: grants and releases
    :param moves: moves in progress
    :param clock: source of time; counts suspended time
    """

    __slots__ = (
        "allowance",
        "blocked_pools",
        "clock",
        "fleet",
        "grants",
        "moves",
        "refence_allowance",
        "started_at",
    )

    def __init__(
        self, fleet: FleetState, grants: RangeGrants, moves: RangeMoves, clock: Clock
    ) -> None:
        self.fleet = fleet
        self.grants = grants
        self.moves = moves
        self.clock = clock
        #: Moves that may still start in this step, in all pools together.
        self.allowance = 0
        #: Ranges that may still be granted again in this step.
        self.refence_allowance = 0
        #: Clock reading at which evacuated servers of a pool were first seen with keys.
        self.started_at: dict[str, float] = {}
        #: Pools whose keys can't move, each logged once.
        self.blocked_pools: set[str] = set()

    def start_term(self) -> None:
        """Start as a new leader."""
        self.started_at.clear()
        self.blocked_pools.clear()

    def begin_step(self) -> None:
        """Begin a step in which all pools are checked once."""
        self.allowance = move_allowance(len(self.moves.tasks))
        self.refence_allowance = MAX_STARTED_COUNT

    def start(
        self, pool: str, assigned: list[RangeAssignment], servers: list[PlannerServer]
    ) -> None:
        """Start the moves of a pool that are due.

        :param assigned: ranges of the pool, sorted by key
        :param servers: servers that may get keys
        """
        if not self.fleet.state.tables.evacuated_domains and pool not in self.started_at:
            return
        evacuated = [assignment for assignment in assigned if self._is_evacuated(assignment)]
        self._log_progress(pool, evacuated, bool(servers))
        if not evacuated or not servers:
            return
        self._refence(evacuated)
        settled = [owned for owned in evacuated if not self.grants.is_pending(owned.fence)]
        if not self.allowance:
            return
        free = [
            (part.first, part.last)
            for assignment in settled
            for part in self.fleet.parts_not_moving(assignment)
        ]
        if not free:
            return
        # The moves in progress count for their targets, so that each step continues the plan.
        after_moves = self.moves.ranges_after_moves(pool, assigned)
        loads = self.fleet.loads_of(pool).steady
        planned = plan_evacuation(pool, loads, free, after_moves, servers)
        uncertain = KeyIntervals.merged(
            (owned.first, owned.last) for owned in settled if self._needs_refence(owned)
        )
        moves = [
            (_owner(assigned, target.first), target)
            for target in planned
            if not uncertain.overlaps(target.first, target.last)
        ]
        for target in select_moves(moves, self._running(pool, assigned), self.allowance):
            self.allowance -= 1
            self.moves.start(assigned, target)

    def _refence(self, evacuated: list[RangeAssignment]) -> None:
        """Grant ranges again whose grants by an earlier leader may still be in transit."""
        for assignment in evacuated:
            if not self.refence_allowance:
                return
            if (
                not self.grants.is_pending(assignment.fence)
                and self._needs_refence(assignment)
                and self.fleet.parts_not_moving(assignment)
            ):
                self.refence_allowance -= 1
                self.grants.refence(assignment)

    def _needs_refence(self, assignment: RangeAssignment) -> bool:
        """Return whether the keys would stay without an owner after a release."""
        return not self.grants.expiry.is_certain(assignment.fence) and not self.grants.is_failing(
            assignment.identity, assignment.incarnation
        )

    def _running(self, pool: str, assigned: list[RangeAssignment]) -> Counter[str]:
        """Return the number of running moves by owner."""
        return Counter(_owner(assigned, key[1]) for key in self.moves.tasks if key[0] == pool)

    def _is_evacuated(self, assignment: RangeAssignment) -> bool:
        member = self.fleet.directory.members.get(assignment.identity)
        return (
            member is not None
            and member.heartbeat.incarnation == assignment.incarnation
            and not member.is_retired
            and self.fleet.is_evacuated(member)
            and not self.grants.expiry.is_expired(assignment.fence)
        )

    def _log_progress(self, pool: str, evacuated: list[RangeAssignment], has_servers: bool) -> None:
        if not evacuated:
            self.blocked_pools.discard(pool)
            started_at = self.started_at.pop(pool, None)
            if started_at is not None:
                seconds = round(self.clock.now() - started_at, 3)
                events.EVACUATED_KEYS_MOVED.log(pool=pool, seconds=seconds)
            return
        if pool not in self.started_at:
            self.started_at[pool] = self.clock.now()
            events.EVACUATED_KEYS_MOVING.log(pool=pool, ranges=len(evacuated))
        if has_servers:
            self.blocked_pools.discard(pool)
        elif pool not in self.blocked_pools:
            self.blocked_pools.add(pool)
            events.EVACUATED_KEYS_STAY.log(pool=pool, ranges=len(evacuated))


def _owner(assigned: list[RangeAssignment], key: int) -> str:
    """Return the identity of the owner of a key, empty if it has none."""
    owners = assigned[overlapping(assigned, key, key)]
    return owners[0].identity if owners else ""
