"""Turns placements into grants and releases."""

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
    from medlarpass_daemon.entry.domain_measures import DomainMeasures
    from medlarpass_daemon.entry.load_reports import LoadReports

#: Seconds between two plans of a pool in which nothing waits for an owner.
BALANCE_INTERVAL = 1.0
#: Pools that favour balance accept more moves for a smaller difference between servers.
HYSTERESIS = {"balance": 0.08, "availability": 0.1}


class GrantPlanner:
    """Plans the grants of a domain.

    :param coordinator: sessions and grants
    :param registry: servers of the domain
    :param loads: load of shards and hot keys
    :param measures: imbalance, churn and time without an owner
    :param clock: clock of this process
    """

    __slots__ = (
        "balanced_at",
        "clock",
        "coordinator",
        "hot_keys",
        "loads",
        "measures",
        "merging",
        "placements",
        "registry",
    )

    def __init__(
        self,
        coordinator: Coordinator,
        registry: ServerRegistry,
        loads: LoadReports,
        measures: DomainMeasures,
        clock: Clock,
    ) -> None:
        self.coordinator = coordinator
        self.measures = measures
        self.registry = registry
        self.loads = loads
        self.clock = clock
        self.placements: dict[str, Placement] = {}
        self.hot_keys: dict[str, HotKeyPolicy] = {}
        #: Isolated keys that are on their way back to their shards; they get no new owner.
        self.merging: set[Assignment] = set()
        self.balanced_at: dict[str, float] = {}

    def reset(self) -> None:
        """Forget the placements of an earlier term of office."""
        self.placements.clear()
        self.measures.reset()
        self.hot_keys.clear()
        self.merging.clear()
        self.balanced_at.clear()

    def plan(self, pools: Mapping[str, Pool]) -> bool:
        """Grant what has no owner and start the moves that are due.

        :param pools: pools in force
        :returns: whether a release was started, which changes no version but has to be told
        """
        grantable: dict[str, list[Assignment]] = {}
        free = list(self.coordinator.grants.grantable_assignments())
        self.measures.without_owner(free)
        for assignment in free:
            grantable.setdefault(assignment.pool, []).append(assignment)
        owned = [pool for pool in pools.values() if pool.owned]
        released = [self._plan_pool(pool, grantable.get(pool.name, [])) for pool in owned]
        return any(released)

    def pool_loads(self, pools: Mapping[str, Pool]) -> list[control_pb2.PoolLoad]:
        """Return the capacity of the domain for each pool.

        :param pools: pools in force
        """
        return [self._pool_load(pool) for pool in pools.values() if pool.owned]

    def _pool_load(self, pool: Pool) -> control_pb2.PoolLoad:
        ready = [each for each in self._candidates(pool.name) if not each.draining]
        return control_pb2.PoolLoad(
            pool=pool.name,
            ready_servers=len(ready),
            ready_slots=sum(each.slots for each in ready),
            requests_per_second=sum(self._own_loads(pool.name).values()),
        )

    def _plan_pool(self, pool: Pool, grantable: list[Assignment]) -> bool:
        candidates = self._candidates(pool.name)
        draining = {each.server for each in candidates if each.draining}
        owners = self._owners(pool.name)
        due = self.clock.now() >= self.balanced_at.get(pool.name, 0.0) + BALANCE_INTERVAL
        if not grantable and not due and draining.isdisjoint(owners.values()):
            return False
        self.balanced_at[pool.name] = self.clock.now()
        started = self._plan_hot_keys(pool, len(candidates)) if due else False
        free = [assignment for assignment in grantable if assignment not in self.merging]
        known: dict[Assignment, str | None] = {**owners, **dict.fromkeys(free)}
        loads = self._assignment_loads(pool)
        self.measures.loads(pool.name, owners, loads, candidates)
        plan = self._placement(pool).plan(known, candidates, loads)
        for assignment, server in plan.items():
            if assignment in owners:
                self.coordinator.grants.start_release(assignment)
                self.measures.release_started(assignment)
            else:
                self._grant(assignment, server)
        return started or not owners.keys().isdisjoint(plan)

    def _plan_hot_keys(self, pool: Pool, servers: int) -> bool:
        isolated = self._isolated(pool.name)
        mean_load = sum(self._own_loads(pool.name).values()) / max(1, servers)
        plan = self._hot_key_policy(pool).plan(
            self.loads.hot_keys(pool.name), isolated.keys(), mean_load
        )
        grants = self.coordinator.grants
        for key in plan.isolate:
            shard = shard_of(pool.name, key, pool.shards)
            if (pool.name, shard) in grants.delegations and not grants.epochs_pending:
                self._isolate(pool.name, shard, key)
        self.merging.update(isolated[key] for key in plan.merge)
        released = [self._merge(each) for each in list(self.merging)]
        return any(released) or bool(plan.isolate)

    def _isolate(self, pool: str, shard: int, key: str) -> None:
        try:
            self.coordinator.grants.isolate(pool, shard, key)
        except GrantError:
            # The shard is on its way to another domain, where the key will be found hot again.
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

    def _isolated(self, pool: str) -> dict[str, Assignment]:
        grants = self.coordinator.grants
        return {
            each.key: each
            for each in (*grants.grants, *grants.isolating_keys)
            if each.pool == pool and each.key is not None and each not in self.merging
        }

    def _assignment_loads(self, pool: Pool) -> dict[Assignment, float]:
        """Return the load of each assignment, with isolated keys apart from their shards."""
        loads = self._own_loads(pool.name)
        rates = self.loads.hot_keys(pool.name)
        for key, assignment in self._isolated(pool.name).items():
            rate = rates.get(key, 0.0)
            loads[assignment] = rate
            if assignment.shard_assignment in loads:
                loads[assignment.shard_assignment] = max(
                    0.0, loads[assignment.shard_assignment] - rate
                )
        return loads

    def _own_loads(self, pool: str) -> dict[Assignment, float]:
        """Return the load of the domain's own shards; its entries also pass on other requests."""
        delegations = self.coordinator.grants.delegations
        return {
            each: load
            for each, load in self.loads.of_pool(pool).items()
            if (pool, each.shard) in delegations
        }

    def _hot_key_policy(self, pool: Pool) -> HotKeyPolicy:
        policy = self.hot_keys.get(pool.name)
        if policy is None:
            policy = HotKeyPolicy(HotKeySettings(), self.clock)
            self.hot_keys[pool.name] = policy
        return policy

    def _grant(self, assignment: Assignment, server: str) -> None:
        presence = self.registry.registered_servers[server]
        self.coordinator.grants.grant(assignment, server, presence.server.incarnation)
        self.measures.granted(assignment)

    def _owners(self, pool: str) -> dict[Assignment, str]:
        """Return the settled owners; what is being released is left alone until it is free."""
        return {
            grant.assignment: grant.server
            for grant in self.coordinator.grants.grants.values()
            if grant.assignment.pool == pool and grant.is_live and not grant.releasing
        }

    def _candidates(self, pool: str) -> list[Candidate]:
        return [
            Candidate(each.server.identity, each.server.slots, self._is_draining(each))
            for each in self.registry.registered_servers.values()
            if pool in each.server.pools and self._may_own(each)
        ]

    def _may_own(self, presence: RegisteredServer) -> bool:
        server = presence.server
        sessions = self.coordinator.sessions
        return (
            presence.state is not ServerState.STARTING
            and sessions.is_newest(server.identity, server.incarnation)
            and sessions.live_session(server.identity, server.incarnation) is not None
        )

    def _is_draining(self, presence: RegisteredServer) -> bool:
        leaving = presence.state in (ServerState.DRAINING, ServerState.LEAVING)
        return leaving or presence.server.identity in self.registry.drained

    def _placement(self, pool: Pool) -> Placement:
        placement = self.placements.get(pool.name)
        if placement is None:
            settings = PlacementSettings(
                hysteresis=HYSTERESIS[pool.favours], moves_per_minute=pool.moves_per_minute
            )
            placement = Placement(self.clock, settings)
            self.placements[pool.name] = placement
        return placement
