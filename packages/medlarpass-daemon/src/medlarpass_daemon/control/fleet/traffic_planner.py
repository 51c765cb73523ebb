"""Builds the plan for the traffic of pools without owners while this replica leads."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.capacity.server_admission import COLD_LIMIT_RATIO
from medlarpass.dispatch import DomainCapacity
from medlarpass.dispatch import plan_shares
from medlarpass.dispatch import rounded_shares
from medlarpass.rpc import fleet_pb2
from medlarpass_daemon.control.fleet.share_log import ShareLog

if TYPE_CHECKING:
    from collections.abc import Iterable

    from medlarpass import Clock
    from medlarpass.dispatch import DomainShares
    from medlarpass.fleet import FleetMember
    from medlarpass.publication import PublishedPool
    from medlarpass_daemon.control.fleet.fleet_state import FleetState
    from medlarpass_daemon.observability import Metrics
    from medlarpass_daemon.settings import FleetSettings

#: Time for which a new leader collects reports before it makes decisions.
REPORTS_WAIT_SECONDS = 2.0


class TrafficPlanner:
    """Decides once per report period which requests leave their failure domain.

    :param fleet: servers, demand and the plan in force
    :param settings: settings of discovery through control
    :param clock: source of time; counts suspended time
    :param metrics: metrics of the process
    """

    __slots__ = ("clock", "exact", "fleet", "log", "metrics", "sent", "settings")

    def __init__(
        self,
        fleet: FleetState,
        settings: FleetSettings,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.fleet = fleet
        self.settings = settings
        self.clock = clock
        self.metrics = metrics
        self.log = ShareLog(clock)
        #: Shares before rounding, by pool.
        self.exact: dict[str, DomainShares] = {}
        #: Shares in the plan that entries have, by pool.
        self.sent: dict[str, DomainShares] = {}

    def start_term(self) -> None:
        """Start without limits: the state of an earlier leadership may be outdated."""
        self.exact, self.sent = {}, {}
        self.log.clear()
        self.metrics.domain_share_leaving.clear()

    def end_term(self) -> None:
        """Remove the metrics of the leader."""
        self.metrics.domain_share_leaving.clear()

    def update(self) -> None:
        """Build the plan and mark the feed as outdated if the plan has changed.

        The admissions are those that ``PoolAdmissionPlanner`` has decided in this period.
        """
        plan = fleet_pb2.TrafficPlan(
            shares=self._shares(), admissions=self.fleet.traffic_plan.admissions
        )
        if plan != self.fleet.traffic_plan:
            self.fleet.traffic_plan = plan
            self.fleet.notify()

    def _shares(self) -> list[fleet_pb2.DomainShare]:
        if not self.settings.domain_routing or not self._has_reports():
            return []
        publication = self.fleet.publication
        pools = publication.pools if publication is not None else {}
        names = {name for name, pool in pools.items() if not pool.owned}
        if deleted := self.exact.keys() - names:
            for name in deleted:
                del self.exact[name], self.sent[name]
            self.metrics.domain_share_leaving.clear()
            self.log.retain(names)
        for name in names:
            self._plan_pool(pools[name])
        return [
            fleet_pb2.DomainShare(
                pool=pool, entry_domain=source, server_domain=target, share=round(share * 1000)
            )
            for pool, shares in sorted(self.sent.items())
            for source, targets in sorted(shares.items())
            for target, share in sorted(targets.items())
        ]

    def _plan_pool(self, pool: PublishedPool) -> None:
        demand = self.fleet.demands.rates_by_domain(pool.name)
        servers = self._capacity_of(pool)
        capacity = servers.by_domain()
        exact = plan_shares(
            demand, capacity, self.exact.get(pool.name, {}), has_rates=servers.has_rates
        )
        previous = self.sent.get(pool.name, {})
        sent: DomainShares = {}
        for domain in sorted({*demand, *capacity, *previous}):
            shares = rounded_shares(exact.get(domain, {}), previous.get(domain, {}))
            if shares:
                sent[domain] = shares
            self.metrics.domain_share_leaving.labels(pool.name, domain).set(sum(shares.values()))
            self.log.record(
                pool.name, domain, shares, demand.get(domain, 0.0), capacity.get(domain, 0.0)
            )
        self.exact[pool.name], self.sent[pool.name] = exact, sent

    def _capacity_of(self, pool: PublishedPool) -> DomainCapacity:
        members = list(self.fleet.directory.members.values())
        capacity = DomainCapacity(
            member.heartbeat.domain for member in members if member.heartbeat.pool == pool.name
        )
        max_cold_rate = None if pool.warmup_rate is None else COLD_LIMIT_RATIO * pool.warmup_rate
        for member in self._available(pool.name):
            heartbeat = member.heartbeat
            capacity.add(
                heartbeat.domain,
                heartbeat.slots,
                self.fleet.capacity.rate_of(heartbeat.identity, heartbeat.slots),
                max_cold_rate if member.cold.is_cold else None,
            )
        return capacity

    def _available(self, pool: str) -> Iterable[FleetMember]:
        """Yield the servers that get new work and have sent a heartbeat recently."""
        max_silence = self.settings.silent_after * self.settings.heartbeat
        for member in self.fleet.assignable(pool):
            is_silent = self.clock.now() - member.seen_at > max_silence
            if not is_silent and not self.fleet.directory.is_replaced(member):
                yield member

    def _has_reports(self) -> bool:
        return self.clock.now() - self.fleet.led_at >= REPORTS_WAIT_SECONDS
