"""Keeps all keys held by servers while this replica leads."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING

from medlarpass.ranges import PlannerServer
from medlarpass.ranges import RangeAssignment
from medlarpass.ranges import RangePlanner
from medlarpass.ranges import planned_moves
from medlarpass.ranges.range_planner import uncovered
from medlarpass.replication import NotLeaderError
from medlarpass_daemon.control.fleet import events
from medlarpass_daemon.control.fleet.leader_lease import LeaderLease
from medlarpass_daemon.control.fleet.range_grants import RangeGrants
from medlarpass_daemon.control.fleet.range_moves import RangeMoves
from medlarpass_daemon.supervision import supervise

if TYPE_CHECKING:
    from medlarpass import Clock
    from medlarpass.fleet import FleetMember
    from medlarpass.fleet import ServerNotice
    from medlarpass_daemon.control.fleet.fleet_state import FleetState
    from medlarpass_daemon.control.fleet.server_calls import ServerCalls
    from medlarpass_daemon.control.replica_log import ReplicaLog
    from medlarpass_daemon.settings import FleetSettings

#: Seconds between two looks at what has to be granted.
STEP = 0.1
#: Heartbeat periods without a new server after which a leader spreads the keys of a pool that no
#: server holds; keys that go to the first ones have to move again.
ASSEMBLE_PERIODS = 1.5
#: Heartbeat periods after which it does so in any case.
MOST_ASSEMBLE_PERIODS = 5.0
#: Seconds between two looks at the balance of the load.
BALANCE_PERIOD = 0.25
#: Seconds for which loads are counted together.
LOAD_PERIOD = 0.5
#: Seconds for which a new leader takes reports before it judges the balance; without them all keys
#: look alike and busy servers would get more.
LOADS_AFTER = 2.0
#: Part of its load that a server gets while it says that it is still slow after its start.
WARMING_WEIGHT = 0.5


class RangeKeeper:
    """Spreads free keys over the servers, empties those that leave, and balances the load.

    Only a leader whose leadership was confirmed a moment ago sends grants.

    :param log: replicated log
    :param fleet: servers and ranges
    :param calls: calls to servers
    :param settings: settings of the fleet
    :param lease: seconds for which a confirmed leadership lasts
    :param clock: source of time; counts suspended time
    """

    __slots__ = (
        "balanced_at",
        "clock",
        "fleet",
        "grants",
        "is_balance_due",
        "joined",
        "lease",
        "led_since",
        "log",
        "moves",
        "settings",
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
        self.settings = settings
        self.clock = clock
        self.lease = LeaderLease(log.replica, lease, clock)
        fleet.lease = self.lease
        self.grants = RangeGrants(log, fleet, calls, settings, self.lease, clock)
        self.moves = RangeMoves(fleet, self.grants, clock)
        self.led_since = 0.0
        #: Most servers seen in a pool that holds nothing yet, and since when.
        self.joined: dict[str, tuple[int, float]] = {}
        self.balanced_at = 0.0
        self.is_balance_due = False

    async def run(self) -> None:
        """Keep the ranges whenever this replica leads."""
        while True:
            try:
                index = await self.log.replica.read_index()
            except NotLeaderError:
                await asyncio.sleep(STEP)
                continue
            # A table that lacks the newest assignments would show held keys as free.
            await self.log.replica.wait_applied(index)
            await self._lead()

    def begin(self) -> None:
        """Begin a term as the leader."""
        self.led_since = self.clock.now()
        self.joined.clear()
        self.lease.begin()
        self.fleet.begin(self.lease.term)
        self.grants.begin()

    async def step(self) -> None:
        """Look once at what has to be granted."""
        for name in self.fleet.directory.forget_silent():
            events.SERVER_FORGOTTEN.log(server=name)
            self.fleet.servers_changed()
        self.grants.retain({each.fence for each in self.fleet.state.ranges.all()})
        now = self.clock.now()
        self.is_balance_due = now - self.balanced_at >= BALANCE_PERIOD
        if self.is_balance_due:
            self.balanced_at = now
        for pool in self.fleet.owned_pools():
            await self._keep_pool(pool)
        self.grants.renew()

    async def _lead(self) -> None:
        self.begin()
        ranges = len(self.grants.book.held_until)
        events.KEEPER_STARTED.log(term=self.lease.term, ranges=ranges)
        running = [
            asyncio.create_task(supervise("leadership confirmation", self.lease.confirm)),
            asyncio.create_task(supervise("load periods", self._age_loads)),
        ]
        try:
            while self.lease.is_of_term:
                if self.lease.is_held:
                    await self.step()
                await asyncio.sleep(STEP)
        finally:
            for task in running:
                task.cancel()
            self.fleet.end()
            self.moves.end()
            self.grants.end()
            events.KEEPER_STOPPED.log(term=self.lease.term)

    async def _age_loads(self) -> None:
        while True:
            await asyncio.sleep(LOAD_PERIOD)
            for loads in self.fleet.loads.values():
                loads.age()
            self.fleet.speeds.apply_decay()
            self.fleet.weigh_servers()

    async def _keep_pool(self, pool: str) -> None:
        held = self.fleet.state.ranges.pools.get(pool, [])
        servers = self._servers(pool)
        if not held and not self._is_assembled(pool, len(servers)):
            return
        self._leave_retired(pool, held, servers)
        free = self._free_keys(pool, held)
        if free and servers:
            rest = [each for each in held if not _covers(free, each)]
            planner = RangePlanner(pool, self.fleet.loads_of(pool).steady)
            from_moves = self.moves.free_keys(pool)
            await self.grants.assign(planner.fill(free, rest, servers))
            # Only now: until the log has the new holder, a renewal could reach the old one.
            self.moves.settle(from_moves)
            return
        if self.is_balance_due and self._knows_loads():
            loads = self.fleet.loads_of(pool)
            for part in planned_moves(pool, loads, self.moves.planned(pool, held), servers):
                self.moves.begin(held, part)

    def _is_assembled(self, pool: str, servers: int) -> bool:
        """Return whether no more servers are about to join a pool that holds nothing yet."""
        now = self.clock.now()
        count, since = self.joined.get(pool, (0, now))
        if servers > count or pool not in self.joined:
            since = now
            self.joined[pool] = (servers, now)
        period = self.settings.heartbeat
        return (
            now - since >= ASSEMBLE_PERIODS * period
            or now - self.led_since >= MOST_ASSEMBLE_PERIODS * period
        )

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
            PlannerServer(notice.identity, notice.life, _weight(notice) * factor)
            for notice, factor in zip(notices, factors, strict=True)
        ]

    def _is_silent(self, member: FleetMember) -> bool:
        silence = self.clock.now() - member.seen_at
        return (
            silence > self.settings.silent_after * self.settings.heartbeat
            or self.grants.is_failing(member.notice.identity, member.notice.life)
        )

    def _free_keys(self, pool: str, held: list[RangeAssignment]) -> list[tuple[int, int]]:
        """Return the keys that no server can hold any more."""
        free = uncovered(held)
        for each in held:
            if self.grants.is_pending(each.fence):
                # Its first grant waits for another call to the same server, for example.
                continue
            if self.fleet.directory.has_ended(each.identity, each.life):
                self.grants.lost(each, "ended")
                self.moves.free(each)
            elif self.grants.book.is_over(each.fence):
                self.grants.lost(each, "hold over")
            else:
                continue
            free.extend((part.first, part.last) for part in self.fleet.parts_at_rest(each))
        free.extend(key[1:] for key in self.moves.free_keys(pool))
        return sorted(free)

    def _leave_retired(
        self, pool: str, held: list[RangeAssignment], servers: list[PlannerServer]
    ) -> None:
        """Begin to move the keys of servers that leave."""
        leaving = [each for each in held if self._is_leaving(each)]
        parts = [rest for each in leaving for rest in self.fleet.parts_at_rest(each)]
        if not parts or not servers:
            return
        planner = RangePlanner(pool, self.fleet.loads_of(pool).steady)
        rest = [each for each in held if each not in leaving]
        free = [(part.first, part.last) for part in parts]
        for target in planner.fill(free, rest, servers):
            self.moves.begin(held, target)

    def _is_leaving(self, assignment: RangeAssignment) -> bool:
        member = self.fleet.directory.members.get(assignment.identity)
        return (
            member is not None
            and member.is_retired
            and member.notice.life == assignment.life
            and not self.grants.book.is_over(assignment.fence)
        )


def _weight(notice: ServerNotice) -> float:
    return notice.slots * (WARMING_WEIGHT if notice.warming else 1.0)


def _covers(free: list[tuple[int, int]], assignment: RangeAssignment) -> bool:
    return any(first <= assignment.first and assignment.last <= last for first, last in free)
