"""Assigns all keys to servers while this replica leads."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING

from medlarpass.capacity import limit_cold_weights
from medlarpass.ranges import CapacityPlanner
from medlarpass.ranges import KeyIntervals
from medlarpass.ranges import PlannerServer
from medlarpass.ranges import RangeAssignment
from medlarpass.ranges import RangePlanner
from medlarpass.ranges import plan_rebalancing
from medlarpass.ranges.range_planner import unassigned_ranges
from medlarpass.replication import NotLeaderError
from medlarpass_daemon.control.fleet import events
from medlarpass_daemon.control.fleet.evacuation_moves import EvacuationMoves
from medlarpass_daemon.control.fleet.leader_lease import LeaderLease
from medlarpass_daemon.control.fleet.pool_admission_planner import PoolAdmissionPlanner
from medlarpass_daemon.control.fleet.range_grants import RangeGrants
from medlarpass_daemon.control.fleet.range_moves import RangeMoves
from medlarpass_daemon.supervision import end_tasks
from medlarpass_daemon.supervision import supervise

if TYPE_CHECKING:
    from medlarpass import Clock
    from medlarpass.fleet import FleetMember
    from medlarpass.fleet import ServerHeartbeat
    from medlarpass_daemon.control.fleet.fleet_state import FleetState
    from medlarpass_daemon.control.fleet.server_calls import ServerCalls
    from medlarpass_daemon.control.fleet.traffic_planner import TrafficPlanner
    from medlarpass_daemon.control.replica_log import ReplicaLog
    from medlarpass_daemon.settings import FleetSettings

#: Interval at which the leader checks which keys have to be granted.
STEP_SECONDS = 0.1
#: Heartbeat periods without a new server after which a leader distributes the keys of a pool that
#: has no owners yet. If it started earlier, keys would soon have to move to the later servers.
JOIN_QUIET_HEARTBEAT_PERIODS = 1.5
#: Heartbeat periods after which it distributes the keys in any case.
MAX_JOIN_WAIT_HEARTBEAT_PERIODS = 5.0
#: Interval at which the load balance is checked.
BALANCE_PERIOD_SECONDS = 0.25
#: Length of a report period, after which the load counts decay.
LOAD_PERIOD_SECONDS = 0.5
#: Time for which a new leader collects reports before it checks the balance. Without reports all
#: keys seem equally loaded, and busy servers would get more keys.
LOAD_REPORTS_WAIT_SECONDS = 2.0
#: Ratio of the servers of a pool that must be warm for cold ones to get no keys. With fewer, the
#: keys of many servers that were lost together would overload the rest.
MIN_WARM_RATIO = 0.5
#: Ratio of its regular weight that a server has while it reports that it is warming up.
WARMUP_WEIGHT_RATIO = 0.5


class RangeKeeper:
    """Assigns free keys, moves keys away from servers that leave, and balances the load.

    Only a leader that holds the leader lease sends grants.

    :param log: replicated log
    :param fleet: servers and ranges
    :param calls: calls to servers
    :param settings: settings for discovery through control
    :param lease: seconds for which a confirmation of the leadership is valid
    :param clock: source of time; counts suspended time
    """

    __slots__ = (
        "admission",
        "balanced_at",
        "clock",
        "evacuations",
        "fleet",
        "grants",
        "is_balance_due",
        "join_progress",
        "leading_since",
        "lease",
        "log",
        "moves",
        "settings",
        "traffic_planner",
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
        fleet.limits.limits_overload = settings.owner_limits
        self.grants = RangeGrants(log, fleet, calls, settings, self.lease, clock)
        self.moves = RangeMoves(fleet, self.grants, clock)
        self.admission = PoolAdmissionPlanner(fleet, settings)
        #: Decides on the traffic of all pools; set by the role.
        self.traffic_planner: TrafficPlanner | None = None
        self.evacuations = EvacuationMoves(fleet, self.grants, self.moves, clock)
        fleet.limits.ranges_after_moves = self.moves.ranges_after_moves
        self.leading_since = 0.0
        #: Highest number of servers seen in a pool without owners, and when it was reached.
        self.join_progress: dict[str, tuple[int, float]] = {}
        self.balanced_at = 0.0
        self.is_balance_due = False

    async def run(self) -> None:
        """Keep the ranges assigned whenever this replica leads."""
        while True:
            try:
                index = await self.log.replica.read_index()
            except NotLeaderError:
                await asyncio.sleep(STEP_SECONDS)
                continue
            # A table without the newest assignments would show owned keys as free.
            await self.log.replica.wait_applied(index)
            await self._lead()

    def start_term(self) -> None:
        """Start a term as the leader."""
        self.leading_since = self.clock.now()
        self.join_progress.clear()
        self.lease.start_term()
        self.fleet.start_term(self.lease.term)
        self.grants.start_term()
        if self.traffic_planner is not None:
            self.traffic_planner.start_term()
        self.evacuations.start_term()

    async def step(self) -> None:
        """Check once which keys have to be granted, moved or renewed."""
        for name in self.fleet.directory.remove_expired():
            events.SERVER_FORGOTTEN.log(server=name)
            self.fleet.servers_changed()
        self.grants.retain({assignment.fence for assignment in self.fleet.state.ranges.all()})
        now = self.clock.now()
        self.is_balance_due = now - self.balanced_at >= BALANCE_PERIOD_SECONDS
        if self.is_balance_due:
            self.balanced_at = now
            self.fleet.limits.update()
        self.grants.check_claims()
        self.evacuations.begin_step()
        for pool in self.fleet.owned_pools():
            await self._reconcile_pool(pool)
        self.grants.renew()

    async def _lead(self) -> None:
        self.start_term()
        ranges = len(self.grants.expiry.expires_at)
        events.KEEPER_STARTED.log(term=self.lease.term, ranges=ranges)
        running = [
            asyncio.create_task(supervise("leadership confirmation", self.lease.confirm)),
            asyncio.create_task(supervise("load periods", self._decay_loads)),
        ]
        try:
            while self.lease.is_current_term:
                if self.lease.is_held:
                    await self.step()
                await asyncio.sleep(STEP_SECONDS)
        finally:
            self.fleet.end_term()
            if self.traffic_planner is not None:
                self.traffic_planner.end_term()
            # No task may write to the state of the next term. Moves start grants and end first.
            await end_tasks(running)
            await self.moves.stop()
            await self.grants.stop()
            events.KEEPER_STOPPED.log(term=self.lease.term)

    async def _decay_loads(self) -> None:
        while True:
            await asyncio.sleep(LOAD_PERIOD_SECONDS)
            for loads in self.fleet.loads.values():
                loads.apply_decay()
            self.fleet.speeds.apply_decay()
            self.fleet.demands.apply_decay()
            self.fleet.capacity.apply_decay()
            self.fleet.limits.apply_decay()
            self.fleet.update_weights()
            if self.settings.pool_admission:
                self.admission.apply()
            if self.traffic_planner is not None:
                self.traffic_planner.update()

    async def _reconcile_pool(self, pool: str) -> None:
        assigned = self.fleet.state.ranges.pools.get(pool, [])
        servers = self._assignable_servers(pool)
        if not assigned and not self._have_servers_joined(pool, len(servers)):
            return
        self._move_from_leaving(pool, assigned, servers)
        self.evacuations.start(pool, assigned, servers)
        free = self._free_keys(pool, assigned)
        if free.firsts and servers:
            rest = [
                assignment
                for assignment in assigned
                if not free.covers(assignment.first, assignment.last)
            ]
            planner = RangePlanner(pool, self.fleet.loads_of(pool).steady)
            from_moves = self.moves.free_keys(pool)
            await self.grants.assign(planner.assign_free(free.all(), rest, servers))
            # Until the log has the new owner, a renewal could reach the old one.
            self.moves.finish(from_moves)
            return
        if self.is_balance_due and self._has_load_reports():
            loads = self.fleet.loads_of(pool)
            planned = self.moves.ranges_after_moves(pool, assigned)
            if self.settings.capacity_planning:
                moves = CapacityPlanner(pool, self.fleet.limits.density_of(pool)).plan_moves(
                    planned, servers
                )
            else:
                moves = plan_rebalancing(pool, loads, planned, servers)
            for part in moves:
                self.moves.start(assigned, part)

    def _have_servers_joined(self, pool: str, servers: int) -> bool:
        """Return whether no further servers are expected soon in a pool without owners."""
        now = self.clock.now()
        count, since = self.join_progress.get(pool, (0, now))
        if servers > count or pool not in self.join_progress:
            since = now
            self.join_progress[pool] = (servers, now)
        period = self.settings.heartbeat
        return (
            now - since >= JOIN_QUIET_HEARTBEAT_PERIODS * period
            or now - self.leading_since >= MAX_JOIN_WAIT_HEARTBEAT_PERIODS * period
        )

    def _has_load_reports(self) -> bool:
        return self.clock.now() - self.leading_since >= LOAD_REPORTS_WAIT_SECONDS

    def _assignable_servers(self, pool: str) -> list[PlannerServer]:
        heartbeats = [
            member.heartbeat
            for member in self.fleet.assignable(pool)
            if not self.fleet.directory.is_replaced(member) and not self._is_unavailable(member)
        ]
        heartbeats = self._without_cold(pool, heartbeats)
        weights = self._limit_cold(pool, heartbeats, self._weights(heartbeats))
        return [
            PlannerServer(heartbeat.identity, heartbeat.incarnation, weight)
            for heartbeat, weight in zip(heartbeats, weights, strict=True)
        ]

    def _weights(self, heartbeats: list[ServerHeartbeat]) -> list[float]:
        if self.settings.capacity_planning:
            slots = {heartbeat.identity: heartbeat.slots for heartbeat in heartbeats}
            factors = self.fleet.limits.weights.weights(slots)
            return [
                factor * _warmup_ratio(heartbeat)
                for heartbeat, factor in zip(heartbeats, factors, strict=True)
            ]
        factors = self.fleet.speeds.weight_factors([heartbeat.identity for heartbeat in heartbeats])
        return [
            heartbeat.slots * _warmup_ratio(heartbeat) * factor
            for heartbeat, factor in zip(heartbeats, factors, strict=True)
        ]

    def _without_cold(self, pool: str, heartbeats: list[ServerHeartbeat]) -> list[ServerHeartbeat]:
        """Return the servers without the cold ones that own no keys, if enough are warm.

        A server is warm some seconds after its start without any requests. A key that becomes hot
        at a cold server brings it over its rate before entries know the limit. A cold owner stays,
        so that its keys move away as far as they exceed its limit.
        """
        if self._warmup_rate(pool) is None:
            return heartbeats
        warm_count = sum(heartbeat.warmup_seconds <= 0 for heartbeat in heartbeats)
        if warm_count < MIN_WARM_RATIO * len(heartbeats):
            return heartbeats
        owners = {assignment.identity for assignment in self.fleet.state.ranges.pools.get(pool, ())}
        return [
            heartbeat
            for heartbeat in heartbeats
            if heartbeat.warmup_seconds <= 0 or heartbeat.identity in owners
        ]

    def _warmup_rate(self, pool: str) -> float | None:
        publication = self.fleet.publication
        published = publication.pools.get(pool) if publication is not None else None
        return published.warmup_rate if published is not None else None

    def _limit_cold(
        self, pool: str, heartbeats: list[ServerHeartbeat], weights: list[float]
    ) -> list[float]:
        """Return the weights with those of cold servers reduced to the published rate."""
        warmup_rate = self._warmup_rate(pool)
        is_cold = [heartbeat.warmup_seconds > 0 for heartbeat in heartbeats]
        if warmup_rate is None or not any(is_cold):
            return weights
        demand = self.fleet.limits.steady_demand(pool)
        return limit_cold_weights(weights, is_cold, warmup_rate, demand)

    def _is_unavailable(self, member: FleetMember) -> bool:
        since_heartbeat = self.clock.now() - member.seen_at
        return (
            since_heartbeat > self.settings.silent_after * self.settings.heartbeat
            or self.grants.is_failing(member.heartbeat.identity, member.heartbeat.incarnation)
        )

    def _free_keys(self, pool: str, assigned: list[RangeAssignment]) -> KeyIntervals:
        """Return the keys that certainly have no owner.

        Neighbouring keys are one interval, so that the number of ranges does not grow each time
        that many servers lose theirs.
        """
        free = unassigned_ranges(assigned)
        for assignment in assigned:
            if self.grants.is_pending(assignment.fence):
                # For example, its first grant waits for another call to the same server.
                continue
            if self.fleet.directory.has_ended(assignment.identity, assignment.incarnation):
                self.grants.record_loss(assignment, "ended")
                self.moves.free_now(assignment)
            elif self.grants.expiry.is_expired(assignment.fence):
                self.grants.record_loss(assignment, "hold over")
            else:
                continue
            free.extend((part.first, part.last) for part in self.fleet.parts_not_moving(assignment))
        free.extend(key[1:] for key in self.moves.free_keys(pool))
        return KeyIntervals.merged(free)

    def _move_from_leaving(
        self, pool: str, assigned: list[RangeAssignment], servers: list[PlannerServer]
    ) -> None:
        """Start to move keys away from servers that leave or have restarted.

        A restarted server may have accepted a renewal that was meant for its previous incarnation,
        so its keys are released like those of a running server.
        """
        restarted = [assignment for assignment in assigned if self._has_restarted(assignment)]
        for assignment in restarted:
            self.moves.abandon_after_restart(assignment)
        leaving = restarted + [
            assignment for assignment in assigned if self._is_leaving(assignment)
        ]
        parts = [part for assignment in leaving for part in self.fleet.parts_not_moving(assignment)]
        if not parts or not servers:
            return
        planner = RangePlanner(pool, self.fleet.loads_of(pool).steady)
        leaving_fences = {assignment.fence for assignment in leaving}
        rest = [assignment for assignment in assigned if assignment.fence not in leaving_fences]
        free = [(part.first, part.last) for part in parts]
        for target in planner.assign_free(free, rest, servers):
            self.moves.start(assigned, target)

    def _has_restarted(self, assignment: RangeAssignment) -> bool:
        return self.fleet.directory.has_restarted(
            assignment.identity, assignment.incarnation
        ) and not self.grants.expiry.is_expired(assignment.fence)

    def _is_leaving(self, assignment: RangeAssignment) -> bool:
        member = self.fleet.directory.members.get(assignment.identity)
        return (
            member is not None
            and member.is_retired
            and member.heartbeat.incarnation == assignment.incarnation
            and not self.grants.expiry.is_expired(assignment.fence)
        )


def _warmup_ratio(heartbeat: ServerHeartbeat) -> float:
    return WARMUP_WEIGHT_RATIO if heartbeat.warmup_seconds else 1.0
