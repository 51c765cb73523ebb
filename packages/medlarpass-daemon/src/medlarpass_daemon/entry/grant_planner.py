"""Converts placements into grants and releases."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.ownership import Assignment
from medlarpass.ownership import Candidate
from medlarpass.ownership import Placement
from medlarpass.ownership import PlacementSettings
from medlarpass.ownership import shard_of
from medlarpass.ownership.exceptions import GrantError
from medlarpass.ownership.hot_key_policy import HotKeyPolicy
from medlarpass.ownership.hot_key_policy import HotKeySettings
from medlarpass.registry import ServerState
from medlarpass.rpc import control_pb2

if TYPE_CHECKING:
    from collections.abc import Mapping

    from medlarpass import Clock
    from medlarpass.ownership import Coordinator
    from medlarpass.registry import RegisteredServer
    from medlarpass.registry import ServerRegistry
    from medlarpass.tables import Pool
    from medlarpass_daemon.entry.domain_metrics import DomainMetrics
    from medlarpass_daemon.entry.load_reports import LoadReports

#: Interval of planning for a pool in which every assignment has an owner.
BALANCE_INTERVAL_SECONDS = 1.0
#: Utilisation above the mean, as a fraction of the mean, up to which nothing is moved. Pools that
#: favour balance accept more moves in return for a smaller difference between servers.
HYSTERESIS_RATIOS = {"balance": 0.08, "availability": 0.1}


class GrantPlanner:
    """Plans the grants of a domain.

    :param coordinator: sessions and grants
    :param registry: servers of the domain
    :param loads: load of shards and hot keys
    :param domain_metrics: imbalance, ownership changes and time without an owner
    :param clock: clock of this process
    """

    __slots__ = (
        "clock",
        "coordinator",
        "domain_metrics",
        "hot_keys",
        "last_planned_at",
        "loads",
        "merging",
        "placements",
        "registry",
    )

    def __init__(
        self,
        coordinator: Coordinator,
        registry: ServerRegistry,
        loads: LoadReports,
        domain_metrics: DomainMetrics,
        clock: Clock,
    ) -> None:
        self.coordinator = coordinator
        self.domain_metrics = domain_metrics
        self.registry = registry
        self.loads = loads
        self.clock = clock
        self.placements: dict[str, Placement] = {}
        self.hot_keys: dict[str, HotKeyPolicy] = {}
        #: Isolated keys that are being merged into their shards; they get no new owner.
        self.merging: set[Assignment] = set()
        self.last_planned_at: dict[str, float] = {}

    def reset(self) -> None:
        """Discard the placements of an earlier tenure."""
        self.placements.clear()
        self.domain_metrics.reset()
        self.hot_keys.clear()
        self.merging.clear()
        self.last_planned_at.clear()

    def plan(self, pools: Mapping[str, Pool]) -> bool:
        """Grant assignments without an owner and start the moves that are due.

        :param pools: pools in force
        :returns: whether a release was started, which changes no version but has to be
            sent to the servers
        """
        grantable: dict[str, list[Assignment]] = {}
        unowned = list(self.coordinator.grants.grantable_assignments())
        self.domain_metrics.set_unowned(unowned)
        for assignment in unowned:
            grantable.setdefault(assignment.pool, []).append(assignment)
        owned = [pool for pool in pools.values() if pool.owned]
        released = [self._plan_pool(pool, grantable.get(pool.name, [])) for pool in owned]
        return any(released)

    def pool_loads(self, pools: Mapping[str, Pool]) -> list[control_pb2.PoolLoad]:
        """Return the capacity and load of the domain for each pool.

        :param pools: pools in force
        """
        return [self._pool_load(pool) for pool in pools.values() if pool.owned]

    def _pool_load(self, pool: Pool) -> control_pb2.PoolLoad:
        ready = [candidate for candidate in self._candidates(pool.name) if not candidate.draining]
        return control_pb2.PoolLoad(
            pool=pool.name,
            ready_servers=len(ready),
            ready_slots=sum(candidate.slots for candidate in ready),
            requests_per_second=sum(self._delegated_loads(pool.name).values()),
        )

    def _plan_pool(self, pool: Pool, grantable: list[Assignment]) -> bool:
        candidates = self._candidates(pool.name)
        draining = {candidate.server for candidate in candidates if candidate.draining}
        owners = self._owners(pool.name)
        is_balance_due = (
            self.clock.now() >= self.last_planned_at.get(pool.name, 0.0) + BALANCE_INTERVAL_SECONDS
        )
        if not grantable and not is_balance_due and draining.isdisjoint(owners.values()):
            return False
        self.last_planned_at[pool.name] = self.clock.now()
        is_release_started = self._plan_hot_keys(pool, len(candidates)) if is_balance_due else False
        unowned = [assignment for assignment in grantable if assignment not in self.merging]
        current_owners: dict[Assignment, str | None] = {**owners, **dict.fromkeys(unowned)}
        loads = self._assignment_loads(pool)
        self.domain_metrics.set_loads(pool.name, owners, loads, candidates)
        plan = self._placement(pool).plan(current_owners, candidates, loads)
        for assignment, server in plan.items():
            if assignment in owners:
                self.coordinator.grants.start_release(assignment)
                self.domain_metrics.record_release(assignment)
            else:
                self._grant(assignment, server)
        return is_release_started or not owners.keys().isdisjoint(plan)

    def _plan_hot_keys(self, pool: Pool, servers: int) -> bool:
        isolated = self._isolated_keys(pool.name)
        mean_load = sum(self._delegated_loads(pool.name).values()) / max(1, servers)
        plan = self._hot_key_policy(pool).plan(
            self.loads.hot_keys(pool.name), isolated.keys(), mean_load
        )
        grants = self.coordinator.grants
        for key in plan.isolate:
            shard = shard_of(pool.name, key, pool.shards)
            if (pool.name, shard) in grants.delegations and not grants.epochs_pending:
                self._isolate(pool.name, shard, key)
        self.merging.update(isolated[key] for key in plan.merge)
        released = [self._merge(assignment) for assignment in list(self.merging)]
        return any(released) or bool(plan.isolate)

    def _isolate(self, pool: str, shard: int, key: str) -> None:
        try:
            self.coordinator.grants.isolate(pool, shard, key)
        except GrantError:
            # The shard is moving to another domain, where the hot key will be detected again.
            return

    def _merge(self, assignment: Assignment) -> bool:
        grant = self.coordinator.grants.grants.get(assignment)
        if grant is not None and grant.is_live:
            if grant.releasing:
                return False
            self.coordinator.grants.start_release(assignment)
            return True
        if grant is not None:
            self.coordinator.grants.merge(assignment)
        self.merging.discard(assignment)
        return False

    def _isolated_keys(self, pool: str) -> dict[str, Assignment]:
        grants = self.coordinator.grants
        return {
            assignment.key: assignment
            for assignment in (*grants.grants, *grants.isolating_keys)
            if assignment.pool == pool
            and assignment.key is not None
            and assignment not in self.merging
        }

    def _assignment_loads(self, pool: Pool) -> dict[Assignment, float]:
        """Return the load of each assignment, with isolated keys separate from their shards."""
        loads = self._delegated_loads(pool.name)
        rates = self.loads.hot_keys(pool.name)
        for key, assignment in self._isolated_keys(pool.name).items():
            rate = rates.get(key, 0.0)
            loads[assignment] = rate
            if assignment.shard_assignment in loads:
                loads[assignment.shard_assignment] = max(
                    0.0, loads[assignment.shard_assignment] - rate
                )
        return loads

    def _delegated_loads(self, pool: str) -> dict[Assignment, float]:
        """Return the load of the shards delegated to this domain.

        Entries of the domain also forward requests for shards of other domains.
        """
        delegations = self.coordinator.grants.delegations
        return {
            assignment: load
            for assignment, load in self.loads.request_rates(pool).items()
            if (pool, assignment.shard) in delegations
        }

    def _hot_key_policy(self, pool: Pool) -> HotKeyPolicy:
        policy = self.hot_keys.get(pool.name)
        if policy is None:
            policy = HotKeyPolicy(HotKeySettings(), self.clock)
            self.hot_keys[pool.name] = policy
        return policy

    def _grant(self, assignment: Assignment, server: str) -> None:
        registered = self.registry.registered_servers[server]
        self.coordinator.grants.grant(assignment, server, registered.server.incarnation)
        self.domain_metrics.record_grant(assignment)

    def _owners(self, pool: str) -> dict[Assignment, str]:
        """Return the owners of live grants, without those that are being released."""
        return {
            grant.assignment: grant.server
            for grant in self.coordinator.grants.grants.values()
            if grant.assignment.pool == pool and grant.is_live and not grant.releasing
        }

    def _candidates(self, pool: str) -> list[Candidate]:
        return [
            Candidate(
                registered.server.identity,
                registered.server.slots,
                self._is_draining(registered),
            )
            for registered in self.registry.registered_servers.values()
            if pool in registered.server.pools and self._may_own(registered)
        ]

    def _may_own(self, registered: RegisteredServer) -> bool:
        server = registered.server
        sessions = self.coordinator.sessions
        return (
            registered.state is not ServerState.STARTING
            and sessions.is_newest(server.identity, server.incarnation)
            and sessions.live_session(server.identity, server.incarnation) is not None
        )

    def _is_draining(self, registered: RegisteredServer) -> bool:
        leaving = registered.state in (ServerState.DRAINING, ServerState.LEAVING)
        return leaving or registered.server.identity in self.registry.drained

    def _placement(self, pool: Pool) -> Placement:
        placement = self.placements.get(pool.name)
        if placement is None:
            settings = PlacementSettings(
                hysteresis=HYSTERESIS_RATIOS[pool.favours], moves_per_minute=pool.moves_per_minute
            )
            placement = Placement(self.clock, settings)
            self.placements[pool.name] = placement
        return placement
