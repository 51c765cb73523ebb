"""Moves of key ranges between servers."""

from __future__ import annotations

import asyncio

from functools import partial
from typing import TYPE_CHECKING

from medlarpass import MedlarpassError
from medlarpass.ranges import KeyIntervals
from medlarpass.ranges import apply_moves
from medlarpass.ranges import overlapping
from medlarpass_daemon.control.fleet import events
from medlarpass_daemon.control.fleet.exceptions import ServerCallError
from medlarpass_daemon.supervision import end_tasks

if TYPE_CHECKING:
    from typing import TypeAlias

    from medlarpass import Clock
    from medlarpass.ranges import RangeAssignment
    from medlarpass_daemon.control.fleet.fleet_state import FleetState
    from medlarpass_daemon.control.fleet.range_grants import RangeGrants

    #: Pool, first key and last key.
    MoveKey: TypeAlias = tuple[str, int, int]


class RangeMoves:
    """Releases keys at their owners and grants them to other servers, with one task per move.

    :param fleet: servers and ranges
    :param grants: grants and releases
    :param clock: source of time; counts suspended time
    """

    __slots__ = (
        "clock",
        "fleet",
        "free_at",
        "grants",
        "released_incarnations",
        "targets",
        "tasks",
    )

    def __init__(self, fleet: FleetState, grants: RangeGrants, clock: Clock) -> None:
        self.fleet = fleet
        self.grants = grants
        self.clock = clock
        #: When the keys of a move become free, if a grant may still be valid after the release.
        self.free_at: dict[MoveKey, float] = {}
        #: Incarnation of the owner at which the release of these moves was aimed.
        self.released_incarnations: dict[MoveKey, int] = {}
        #: Planned assignment of the keys of each move.
        self.targets: dict[MoveKey, RangeAssignment] = {}
        self.tasks: dict[MoveKey, asyncio.Task[None]] = {}

    async def stop(self) -> None:
        """End all moves; the next leader renews the assignments in the log.

        A move that went on would record keys as free in the next term of this replica.
        """
        await end_tasks(self.tasks.values())
        self.targets.clear()
        self.free_at.clear()
        self.released_incarnations.clear()
        self.fleet.moving.clear()

    def start(self, assigned: list[RangeAssignment], target: RangeAssignment) -> None:
        """Start to move keys, with one task per current owner.

        :param assigned: ranges of the pool, sorted by key
        """
        for source in assigned[overlapping(assigned, target.first, target.last)]:
            first, last = max(source.first, target.first), min(source.last, target.last)
            self._start_move(source, target.with_bounds(first, last))
        self.fleet.ranges_changed()

    def ranges_after_moves(
        self, pool: str, assigned: list[RangeAssignment]
    ) -> list[RangeAssignment]:
        """Return the ranges as they will be after the moves in progress."""
        return apply_moves(
            assigned, [target for key, target in self.targets.items() if key[0] == pool]
        )

    def free_now(self, assignment: RangeAssignment) -> None:
        """Stop waiting for grants of a server that has ended."""
        now = self.clock.now()
        for key, expires_at in self.free_at.items():
            if key[0] == assignment.pool and assignment.overlaps(key[1], key[2]):
                self.free_at[key] = min(expires_at, now)

    def abandon_after_restart(self, assignment: RangeAssignment) -> None:
        """Abandon the moves that wait for grants of an incarnation that has ended.

        Its successor can confirm a release or a higher fence, which takes less time than waiting.
        """
        newest = self.fleet.directory.newest_incarnation(assignment.identity)
        for key in list(self.free_at):
            if (
                key[0] == assignment.pool
                and assignment.overlaps(key[1], key[2])
                and self.released_incarnations[key] < newest
            ):
                self.finish([key])

    def free_keys(self, pool: str) -> list[MoveKey]:
        """Return the keys in moves that certainly have no owner."""
        now = self.clock.now()
        return [key for key, time in self.free_at.items() if key[0] == pool and time <= now]

    def finish(self, keys: list[MoveKey]) -> None:
        """End moves that wait until their keys are free."""
        for key in keys:
            del self.free_at[key]
            del self.released_incarnations[key]
            self._unmark_moving(key)

    def _start_move(self, source: RangeAssignment, target: RangeAssignment) -> None:
        if self.fleet.overlaps_moving(source.pool, target.first, target.last):
            return
        if self.grants.is_pending(source.fence):
            return
        is_certain = self.grants.expiry.is_certain(source.fence)
        newest = self.fleet.directory.newest_incarnation(source.identity)
        if not is_certain and not self.grants.is_failing(source.identity, newest):
            # After a release the keys would stay without an owner until the late grant expires.
            self.grants.refence(source)
            return
        key = (source.pool, target.first, target.last)
        self.fleet.moving.setdefault(source.pool, KeyIntervals()).add(target.first, target.last)
        self.targets[key] = target
        events.RANGE_MOVING.log(
            pool=source.pool,
            first=target.first,
            last=target.last,
            source=source.identity,
            target=target.identity,
        )
        part = source.with_bounds(target.first, target.last)
        task = asyncio.create_task(self._move(part, target))
        self.tasks[key] = task
        task.add_done_callback(partial(self._forget_task, key))

    async def _move(self, part: RangeAssignment, target: RangeAssignment) -> None:
        expiry = self.grants.expiry
        key = (part.pool, part.first, part.last)
        expires_at = await self.grants.wait_for_expiry(part)
        released_incarnation = self.fleet.directory.newest_incarnation(part.identity)
        try:
            handover = await self.grants.release(part)
            if not expiry.is_certain(part.fence):
                # A grant in transit may still return the released keys to the server.
                self.free_at[key] = max(expiry.uncertain_until[part.fence], expires_at)
                self.released_incarnations[key] = released_incarnation
                return
            await self.grants.assign([target], handover)
            # The new grant is sent after this; before, a renewal could have reached the old owner.
            self._unmark_moving(key)
            events.RANGE_MOVED.log(
                pool=part.pool, first=part.first, last=part.last, target=target.identity
            )
        except ServerCallError as error:
            self._log_failure(part, error)
            expires_at = max(expires_at, expiry.uncertain_until.get(part.fence, 0.0))
            self.free_at[key] = max(expires_at, self.clock.now())
            self.released_incarnations[key] = released_incarnation
        except MedlarpassError as error:
            # The assignment was not written to the log; the next leader renews the old one.
            self._log_failure(part, error)
            self._unmark_moving(key)

    def _log_failure(self, part: RangeAssignment, error: MedlarpassError) -> None:
        events.RELEASE_FAILED.log(
            server=part.identity, first=part.first, last=part.last, code=error.code
        )

    def _forget_task(self, key: MoveKey, task: asyncio.Task[None]) -> None:
        # The keys may be moving again; the later move has to end with the term.
        if self.tasks.get(key) is task:
            del self.tasks[key]

    def _unmark_moving(self, key: MoveKey) -> None:
        moving = self.fleet.moving.get(key[0])
        if moving is not None:
            moving.discard(key[1], key[2])
        self.targets.pop(key, None)
