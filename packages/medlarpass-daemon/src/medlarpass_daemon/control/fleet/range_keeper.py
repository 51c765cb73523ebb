"""Grants ranges of keys to servers while this replica leads."""

from __future__ import annotations

import asyncio

from functools import partial
from typing import TYPE_CHECKING

from medlarpass import MedlarpassError
from medlarpass.ranges import HoldBook
from medlarpass.ranges import PlannerServer
from medlarpass.ranges import RangeAssignment
from medlarpass.ranges import RangePlanner
from medlarpass.ranges.range_planner import uncovered
from medlarpass.replication import NotLeaderError
from medlarpass.rpc import control_pb2
from medlarpass_daemon.control.fleet import events
from medlarpass_daemon.control.fleet.exceptions import HigherFenceError
from medlarpass_daemon.control.fleet.exceptions import ServerCallError
from medlarpass_daemon.control.fleet.exceptions import ServerNotReachedError
from medlarpass_daemon.supervision import supervise

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from medlarpass import Clock
    from medlarpass.fleet import FleetMember
    from medlarpass_daemon.control.fleet.fleet_state import FleetState
    from medlarpass_daemon.control.fleet.server_calls import ServerCalls
    from medlarpass_daemon.control.replica_log import ReplicaLog
    from medlarpass_daemon.settings import FleetSettings

#: Seconds between two looks at what has to be granted.
STEP = 0.1
#: Seconds between two rounds that confirm the leadership.
CONFIRM_PERIOD = 0.2
#: Seconds after which a grant without an answer is given up.
GRANT_TIMEOUT = 1.0
#: Seconds that a release may take; it waits for the work in progress.
RELEASE_TIMEOUT = 3.0
#: Heartbeat periods that a new leader waits for servers before it spreads free keys.
ASSEMBLE_PERIODS = 1.5
#: Seconds between two looks at the balance of the load.
BALANCE_PERIOD = 0.5
#: Seconds for which loads are counted together.
LOAD_PERIOD = 0.5
#: Seconds for which a new leader takes reports before it judges the balance; without them all keys
#: look alike and busy servers would get more.
LOADS_AFTER = 2.0
#: Renewals within one hold; several may be lost before the keys are.
RENEWALS = 4


class RangeKeeper:
    """Assigns, grants, renews and moves ranges.

    An assignment is written to the log before its grant is sent, so that every later leader knows
    who may hold which keys under which fence. Only a leader whose leadership was confirmed a
    moment ago sends grants; a new leader presumes that everything was renewed until its election.

    :param log: replicated log
    :param fleet: servers and ranges
    :param calls: calls to servers
    :param settings: settings of the fleet
    :param lease: seconds for which a confirmed leadership lasts
    :param clock: source of time; counts suspended time
    """

    __slots__ = (
        "balanced_at",
        "book",
        "calls",
        "clock",
        "ended",
        "failing",
        "fleet",
        "is_balance_due",
        "lease",
        "lease_until",
        "led_since",
        "locks",
        "log",
        "moves",
        "pending",
        "released",
        "renewed_at",
        "settings",
        "targets",
        "tasks",
        "term",
    )

    def __init__(
        self,
        log: ReplicaLog,
        fleet: FleetState,
        calls: ServerCalls,
        settings: FleetSettings,
        lease: float,
        clock: Clock,
    ) -> None:
        self.log = log
        self.fleet = fleet
        self.calls = calls
        self.settings = settings
        self.lease = lease
        self.clock = clock
        self.book = HoldBook(clock, settings.hold)
        self.lease_until = 0.0
        self.led_since = 0.0
        self.term = 0
        self.balanced_at = 0.0
        self.is_balance_due = False
        #: Fences of assignments whose holds are over; they must not be renewed again.
        self.ended: set[int] = set()
        #: Fences whose first grant has not ended.
        self.pending: set[int] = set()
        #: Reading of the clock of the last grant, by fence and first key.
        self.renewed_at: dict[tuple[int, int], float] = {}
        #: One grant at a time goes to a server, and none while a release begins: a renewal must not
        #: overtake a release.
        self.locks: dict[str, asyncio.Lock] = {}
        #: Servers whose last grant failed.
        self.failing: set[str] = set()
        #: Keys that wait until the hold of a server that did not answer is over.
        self.released: dict[tuple[str, int, int], float] = {}
        self.moves: dict[tuple[str, int, int], asyncio.Task[None]] = {}
        #: Where the keys of the moves are to go.
        self.targets: dict[tuple[str, int, int], RangeAssignment] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Grant ranges whenever this replica leads."""
        while True:
            try:
                index = await self.log.replica.read_index()
            except NotLeaderError:
                await asyncio.sleep(STEP)
                continue
            # A table that lacks the newest assignments would show held keys as free.
            await self.log.replica.wait_applied(index)
            await self._lead()

    async def _lead(self) -> None:
        replica = self.log.replica
        self.term = replica.term
        self.led_since = self.clock.now()
        self.book.presume(self.fleet.state.ranges.all())
        self.fleet.confirmed = {each.fence for each in self.fleet.state.ranges.all()}
        self.fleet.ranges_changed()
        events.KEEPER_STARTED.log(term=self.term, ranges=len(self.book.held_until))
        running = [
            asyncio.create_task(supervise("leadership confirmation", self._confirm)),
            asyncio.create_task(supervise("load periods", self._age_loads)),
        ]
        try:
            while replica.is_leader and replica.term == self.term:
                if self.has_lease:
                    await self._step()
                await asyncio.sleep(STEP)
        finally:
            for task in (*running, *self.moves.values(), *self.tasks):
                task.cancel()
            self._reset()
            events.KEEPER_STOPPED.log(term=self.term)

    def _reset(self) -> None:
        self.lease_until = 0.0
        self.renewed_at.clear()
        self.released.clear()
        self.moves.clear()
        self.targets.clear()
        self.tasks.clear()
        self.locks.clear()
        self.failing.clear()
        self.ended.clear()
        self.pending.clear()
        self.fleet.moving.clear()

    @property
    def has_lease(self) -> bool:
        """Whether no other replica can lead at this moment."""
        replica = self.log.replica
        if replica.term != self.term or not replica.is_leader:
            return False
        return self.clock.now() < self.lease_until

    async def _confirm(self) -> None:
        while True:
            begun_at = self.clock.now()
            try:
                await self.log.replica.confirm_leadership()
            except NotLeaderError:
                # Also while leadership is being handed over; no grant may be sent then.
                self.lease_until = 0.0
            else:
                self.lease_until = begun_at + self.lease
            await asyncio.sleep(CONFIRM_PERIOD)

    async def _age_loads(self) -> None:
        while True:
            await asyncio.sleep(LOAD_PERIOD)
            for loads in self.fleet.loads.values():
                loads.age()
            self.fleet.speeds.age()

    async def _step(self) -> None:
        for name in self.fleet.directory.forget_silent():
            events.SERVER_FORGOTTEN.log(server=name)
        fences = {each.fence for each in self.fleet.state.ranges.all()}
        self.book.retain(fences)
        self.ended &= fences
        now = self.clock.now()
        self.is_balance_due = now - self.balanced_at >= BALANCE_PERIOD
        if self.is_balance_due:
            self.balanced_at = now
        for pool in self.fleet.owned_pools():
            await self._keep_pool(pool)
        self._renew()

    async def _keep_pool(self, pool: str) -> None:
        held = self.fleet.state.ranges.pools.get(pool, [])
        if not held and not self._is_assembled():
            return
        servers = self._servers(pool)
        self._leave_retired(pool, held, servers)
        free = self._free_keys(pool, held)
        if free and servers:
            rest = [each for each in held if not _covers(free, each)]
            planner = RangePlanner(pool, self.fleet.loads_of(pool))
            released = self._released_keys(pool)
            await self._assign(planner.fill(free, rest, servers))
            # Only now: until the log has the new holder, a renewal could reach the old one.
            for key in released:
                del self.released[key]
                self._end_moving(*key)
            return
        if self.is_balance_due and self._knows_loads():
            planner = RangePlanner(pool, self.fleet.loads_of(pool))
            for part in planner.balance(self._planned(pool, held), servers):
                self._begin_move(held, part)

    def _planned(self, pool: str, held: list[RangeAssignment]) -> list[RangeAssignment]:
        """Return the ranges as they will be when the moves in progress have ended."""
        targets = [target for key, target in self.targets.items() if key[0] == pool]
        for target in targets:
            held = [rest for each in held for rest in each.without(target.first, target.last)]
        return [*held, *targets]

    def _is_assembled(self) -> bool:
        wait = ASSEMBLE_PERIODS * self.settings.heartbeat
        return self.clock.now() - self.led_since >= wait

    def _knows_loads(self) -> bool:
        return self.clock.now() - self.led_since >= LOADS_AFTER

    def _servers(self, pool: str) -> list[PlannerServer]:
        notices = [
            member.notice
            for member in self.fleet.directory.usable(pool)
            if not self.fleet.directory.is_replaced(member) and not self._is_silent(member)
        ]
        factors = self.fleet.speeds.factors([notice.identity for notice in notices])
        return [
            PlannerServer(notice.identity, notice.life, notice.slots * factor)
            for notice, factor in zip(notices, factors, strict=True)
        ]

    def _is_silent(self, member: FleetMember) -> bool:
        silence = self.clock.now() - member.seen_at
        return (
            silence > self.settings.silent_after * self.settings.heartbeat
            or member.notice.identity in self.failing
        )

    def _free_keys(self, pool: str, held: list[RangeAssignment]) -> list[tuple[int, int]]:
        """Return the keys that no server can hold any more."""
        free = uncovered(held)
        for each in held:
            if each.fence in self.pending:
                # Its first grant waits for another call to the same server.
                continue
            if self._has_ended(each):
                self._lost(each, "ended")
                self._free_released(each)
            elif not self.book.is_over(each.fence):
                continue
            else:
                self._lost(each, "hold over")
            for part in self.fleet.parts_at_rest(each):
                free.append((part.first, part.last))
        free.extend(key[1:] for key in self._released_keys(pool))
        return sorted(free)

    def _free_released(self, assignment: RangeAssignment) -> None:
        """Let keys in a move of a server that has ended wait for its hold no longer."""
        now = self.clock.now()
        for key, until in self.released.items():
            if key[0] == assignment.pool and assignment.overlaps(key[1], key[2]):
                self.released[key] = min(until, now)

    def _released_keys(self, pool: str) -> list[tuple[str, int, int]]:
        now = self.clock.now()
        return [key for key, until in self.released.items() if key[0] == pool and until <= now]

    def _has_ended(self, assignment: RangeAssignment) -> bool:
        return self.fleet.directory.has_ended(assignment.identity, assignment.life)

    def _lost(self, assignment: RangeAssignment, reason: str) -> None:
        if assignment.fence in self.ended:
            return
        self.book.end(assignment.fence)
        self.ended.add(assignment.fence)
        self.fleet.confirmed.discard(assignment.fence)
        events.RANGE_LOST.log(
            pool=assignment.pool,
            first=assignment.first,
            last=assignment.last,
            server=assignment.identity,
            fence=assignment.fence,
            reason=reason,
        )

    async def _assign(
        self, assignments: list[RangeAssignment], handover: str = "", stays: bool = False
    ) -> None:
        """Write assignments to the log and grant them.

        :param stays: whether the keys stay at their holders and only the fence changes
        """
        if not assignments:
            return
        command = control_pb2.Command(
            assign_ranges=control_pb2.AssignRanges(
                assignments=[each.to_proto() for each in assignments]
            )
        )
        result = await self.log.propose(command)
        if not self.has_lease:
            return
        granted = [RangeAssignment.from_proto(each) for each in result.ranges.assignments]
        events.RANGES_ASSIGNED.log(
            term=self.term,
            ranges=[[each.first, each.last, each.identity, each.fence] for each in granted],
        )
        if stays:
            for old, new in zip(assignments, granted, strict=True):
                self.book.carry(old.fence, new.fence)
                self.fleet.confirmed.add(new.fence)
        self.fleet.ranges_changed()
        for each in granted:
            self.pending.add(each.fence)
            self._spawn(self._grant_first(each, handover))

    async def _grant_first(self, assignment: RangeAssignment, handover: str) -> None:
        try:
            if await self._grant(assignment, handover):
                self.book.settle(assignment.fence)
        finally:
            self.pending.discard(assignment.fence)

    def _renew(self) -> None:
        due = self.clock.now() - self.settings.hold / RENEWALS
        for assignment in self.fleet.state.ranges.all():
            member = self.fleet.directory.members.get(assignment.identity)
            if member is None or member.notice.life != assignment.life:
                continue
            if assignment.fence in self.pending:
                continue
            for part in self.fleet.parts_at_rest(assignment):
                if self.renewed_at.get((part.fence, part.first), 0.0) <= due:
                    self._spawn(self._renew_grant(part))

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _renew_grant(self, assignment: RangeAssignment) -> None:
        await self._grant(assignment)

    async def _grant(self, assignment: RangeAssignment, handover: str = "") -> bool:
        """Send a grant and return whether the server took it."""
        key = (assignment.fence, assignment.first)
        self.renewed_at[key] = self.clock.now()
        member = self.fleet.directory.members.get(assignment.identity)
        if member is None or member.notice.life != assignment.life:
            return False
        async with self.locks.setdefault(assignment.identity, asyncio.Lock()):
            if not self.has_lease or not self._is_in_force(assignment):
                return False
            before = self.book.held_until.get(assignment.fence, 0.0)
            self.book.sending(assignment.fence, GRANT_TIMEOUT)
            try:
                await self.calls.grant(
                    member.notice, assignment, self.settings.hold, handover, GRANT_TIMEOUT
                )
            except ServerNotReachedError as error:
                self.book.held_until[assignment.fence] = before
                self._grant_failed(assignment, error)
            except HigherFenceError as error:
                self.book.answered(assignment.fence)
                self._grant_failed(assignment, error)
                self._spawn(self._assign([assignment]))
            except ServerCallError as error:
                self.book.unanswered(assignment.fence)
                self._grant_failed(assignment, error)
            else:
                self.book.answered(assignment.fence)
                self._grant_succeeded(assignment)
                return True
        return False

    def _is_in_force(self, assignment: RangeAssignment) -> bool:
        """Return whether the log still has the whole assignment and none of it is moving."""
        if assignment.fence in self.ended:
            return False
        if self.fleet.overlaps_moving(assignment.pool, assignment.first, assignment.last):
            return False
        return any(
            each.fence == assignment.fence
            and each.first <= assignment.first
            and assignment.last <= each.last
            for each in self.fleet.state.ranges.pools.get(assignment.pool, ())
        )

    def _grant_succeeded(self, assignment: RangeAssignment) -> None:
        if assignment.identity in self.failing:
            self.failing.discard(assignment.identity)
            events.GRANT_RESTORED.log(server=assignment.identity, fence=assignment.fence)
        if assignment.fence not in self.fleet.confirmed:
            self.fleet.confirmed.add(assignment.fence)
            self.fleet.ranges_changed()

    def _grant_failed(self, assignment: RangeAssignment, error: ServerCallError) -> None:
        retry = self.settings.hold / RENEWALS - STEP * RENEWALS
        self.renewed_at[assignment.fence, assignment.first] = self.clock.now() - retry
        if assignment.identity in self.failing:
            return
        self.failing.add(assignment.identity)
        events.GRANT_FAILED.log(
            server=assignment.identity,
            fence=assignment.fence,
            code=error.code,
            held_for=self.book.held_until.get(assignment.fence, 0.0) - self.clock.now(),
        )

    def _leave_retired(
        self, pool: str, held: list[RangeAssignment], servers: list[PlannerServer]
    ) -> None:
        """Begin to move the keys of servers that leave."""
        leaving = [each for each in held if self._is_leaving(each)]
        parts = [rest for each in leaving for rest in self.fleet.parts_at_rest(each)]
        if not parts or not servers:
            return
        planner = RangePlanner(pool, self.fleet.loads_of(pool))
        rest = [each for each in held if each not in leaving]
        free = [(part.first, part.last) for part in parts]
        for target in planner.fill(free, rest, servers):
            self._begin_move(held, target)

    def _is_leaving(self, assignment: RangeAssignment) -> bool:
        member = self.fleet.directory.members.get(assignment.identity)
        return (
            member is not None
            and member.is_retired
            and member.notice.life == assignment.life
            and not self.book.is_over(assignment.fence)
        )

    def _begin_move(self, held: list[RangeAssignment], target: RangeAssignment) -> None:
        """Start to move keys, one task for each present holder."""
        for each in held:
            if not each.overlaps(target.first, target.last):
                continue
            first, last = max(each.first, target.first), min(each.last, target.last)
            if self.fleet.overlaps_moving(each.pool, first, last) or each.fence in self.pending:
                continue
            if not self.book.is_certain(each.fence) and each.identity not in self.failing:
                # A release would leave the keys without a holder until the late grant is over.
                self._refence(each)
                continue
            key = (each.pool, first, last)
            self.fleet.moving.setdefault(each.pool, set()).add((first, last))
            events.RANGE_MOVING.log(
                pool=each.pool, first=first, last=last, source=each.identity, target=target.identity
            )
            self.targets[key] = target.with_bounds(first, last)
            task = asyncio.create_task(self._move(each.with_bounds(first, last), self.targets[key]))
            self.moves[key] = task
            task.add_done_callback(partial(self._move_ended, key))
        self.fleet.ranges_changed()

    def _refence(self, assignment: RangeAssignment) -> None:
        """Grant keys under a higher fence to their holder, which ends the power of late grants."""
        self.pending.add(assignment.fence)
        self._spawn(self._refence_at_rest(assignment))

    async def _refence_at_rest(self, assignment: RangeAssignment) -> None:
        try:
            await self._assign(self.fleet.parts_at_rest(assignment), stays=True)
        except MedlarpassError as error:
            # The old fence stays in force; the next look at the balance tries again.
            events.REFENCE_FAILED.log(
                server=assignment.identity, fence=assignment.fence, code=error.code
            )
        finally:
            self.pending.discard(assignment.fence)

    async def _move(self, part: RangeAssignment, target: RangeAssignment) -> None:
        key = (part.pool, part.first, part.last)
        held_until = self.book.held_until.get(part.fence, 0.0)
        try:
            handover = await self._release(part)
            if not self.book.is_certain(part.fence):
                # A grant on its way may give the keys back to the server that released them.
                self.released[key] = max(self.book.uncertain_until[part.fence], held_until)
                return
            await self._assign([target], handover)
            # The grants begin after this step; until now a renewal could reach the old holder.
            self._end_moving(*key)
            events.RANGE_MOVED.log(
                pool=part.pool, first=part.first, last=part.last, target=target.identity
            )
        except ServerCallError as error:
            events.RELEASE_FAILED.log(
                server=part.identity, first=part.first, last=part.last, code=error.code
            )
            held_until = max(held_until, self.book.uncertain_until.get(part.fence, 0.0))
            self.released[key] = max(held_until, self.clock.now())
        except MedlarpassError as error:
            # The log did not take the assignment; the next leader renews the old one.
            events.RELEASE_FAILED.log(
                server=part.identity, first=part.first, last=part.last, code=error.code
            )
            self._end_moving(*key)

    async def _release(self, part: RangeAssignment) -> str:
        member = self.fleet.directory.members.get(part.identity)
        if member is None or member.notice.life != part.life:
            raise ServerNotReachedError(f"{part.identity} is not known any more")
        async with self.locks.setdefault(part.identity, asyncio.Lock()):
            # A renewal that was sent before must not arrive after the release; those that follow
            # leave out keys that move. The release itself waits for work and blocks no other call.
            pass
        return await self.calls.release(member.notice, part, RELEASE_TIMEOUT)

    def _move_ended(self, key: tuple[str, int, int], _: asyncio.Task[None]) -> None:
        self.moves.pop(key, None)

    def _end_moving(self, pool: str, first: int, last: int) -> None:
        self.fleet.moving.get(pool, set()).discard((first, last))
        self.targets.pop((pool, first, last), None)


def _covers(free: list[tuple[int, int]], assignment: RangeAssignment) -> bool:
    return any(first <= assignment.first and assignment.last <= last for first, last in free)
