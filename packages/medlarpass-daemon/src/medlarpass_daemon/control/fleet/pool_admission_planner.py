"""Limits the requests for pools that are asked for more than they can serve."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.capacity import PeakRate
from medlarpass.capacity import PoolAdmission
from medlarpass.capacity.server_admission import COLD_LIMIT_RATIO
from medlarpass.dispatch.pool_demands import DECAY_RATIO
from medlarpass.rpc import fleet_pb2
from medlarpass_daemon.control.fleet import events

if TYPE_CHECKING:
    from collections.abc import Iterable

    from medlarpass.capacity import PriorityLimit
    from medlarpass.publication import Publication
    from medlarpass.publication import PublishedRoute
    from medlarpass_daemon.control.fleet.fleet_state import FleetState
    from medlarpass_daemon.settings import FleetSettings

#: Length of a report period of the demand in seconds.
PERIOD_SECONDS = 0.5
#: Time for which a new leader collects reports before it limits anything. Until then it knows
#: neither the demand nor the capacity, and the entries keep no limit of an earlier leader.
REPORTS_WAIT_SECONDS = 2.0
#: Share of a pool's usable slots whose capacity must be known. The rest counts as average.
MIN_KNOWN_RATIO = 0.5


class PoolAdmissionPlanner:
    """Compares the demand for each pool with its capacity while this replica leads.

    :param fleet: servers, demands and the plan sent to entries
    :param settings: settings for discovery through control
    """

    __slots__ = (
        "admissions",
        "fleet",
        "peaks",
        "planned_at",
        "publication",
        "rates",
        "settings",
        "targets",
        "term",
    )

    def __init__(self, fleet: FleetState, settings: FleetSettings) -> None:
        self.fleet = fleet
        self.settings = settings
        self.admissions: dict[str, PoolAdmission] = {}
        #: Smoothed demand at the end of the last period, by pool and priority.
        self.rates: dict[str, dict[int, float]] = {}
        #: Highest recent capacity of a slot, by pool.
        self.peaks: dict[str, PeakRate] = {}
        #: Publication in force, and its target latencies in seconds by pool and priority.
        self.publication: Publication | None = None
        self.targets: dict[str, dict[int, float]] = {}
        #: Clock reading of the last plan.
        self.planned_at = 0.0
        #: Term of the figures kept here.
        self.term = 0

    def apply(self) -> None:
        """Plan, and replace the admissions in the plan that is sent to the entries."""
        admissions = self.plan()
        if admissions != list(self.fleet.traffic_plan.admissions):
            # The feed compares plans, so the one that it has must not be changed.
            self.fleet.traffic_plan = fleet_pb2.TrafficPlan(
                shares=self.fleet.traffic_plan.shares, admissions=admissions
            )
            self.fleet.notify()

    def plan(self) -> list[fleet_pb2.PoolAdmission]:
        """End a period of the demand and return the limits of all pools.

        Called right after the decay of the demand.
        """
        now = self.fleet.clock.now()
        if self.term != self.fleet.led_term:
            self.term = self.fleet.led_term
            self.admissions.clear()
            self.rates.clear()
            self.peaks.clear()
            self.planned_at = now - PERIOD_SECONDS
        seconds = max(now - self.planned_at, PERIOD_SECONDS / 2)
        self.planned_at = now
        self._update_targets()
        if self.publication is None:
            return []
        is_new = now - self.fleet.led_at < REPORTS_WAIT_SECONDS
        limits = []
        for pool in self.publication.pools:
            requests = self._take_requests(pool)
            capacity = None if is_new else self.capacity_of(pool)
            limits += self._plan_pool(pool, requests, capacity, seconds)
        return limits

    def capacity_of(self, pool: str) -> float | None:
        """Return the requests per second that the usable servers of a pool can serve.

        A cold server counts with the rate that entries send to it. Called once in each period.

        :returns: None unless the capacity of most warm servers is known
        """
        oldest = self.fleet.clock.now() - self.settings.silent_after * self.settings.heartbeat
        publication = self.fleet.publication
        published = publication.pools.get(pool) if publication is not None else None
        warmup_rate = published.warmup_rate if published is not None else None
        known_rate, cold_rate, known_slots, slots = 0.0, 0.0, 0, 0
        for member in self.fleet.assignable(pool):
            if member.seen_at < oldest or self.fleet.directory.is_replaced(member):
                continue
            heartbeat = member.heartbeat
            if member.cold.is_cold and warmup_rate is not None:
                cold_rate += COLD_LIMIT_RATIO * warmup_rate
                continue
            slots += heartbeat.slots
            rate = self.fleet.capacity.rate_of(heartbeat.identity, heartbeat.slots)
            if rate is not None:
                known_rate += rate
                known_slots += heartbeat.slots
        if not slots:
            return cold_rate or None
        if not known_slots or known_slots < MIN_KNOWN_RATIO * slots:
            return None
        peak = self.peaks.setdefault(pool, PeakRate())
        return peak.update(known_rate / known_slots) * slots + cold_rate

    def _update_targets(self) -> None:
        publication = self.fleet.publication
        if publication is None or publication is self.publication:
            return
        self.publication = publication
        self.targets = _targets_by_pool(publication.routes)
        for pool in self.admissions.keys() - publication.pools.keys():
            del self.admissions[pool]

    def _take_requests(self, pool: str) -> dict[int, float]:
        """Return the requests of the period that has just ended, by priority.

        The smoothed demand lags behind a burst by almost two seconds, in which the queue grows; the
        requests of the period are the part of it that the decay has not touched yet.
        """
        previous = self.rates.get(pool, {})
        rates = self.rates[pool] = self.fleet.demands.rates_by_priority(pool)
        requests = {}
        for priority, rate in rates.items():
            latest = (rate - DECAY_RATIO * previous.get(priority, 0.0)) / (1.0 - DECAY_RATIO)
            requests[priority] = max(latest, 0.0) * PERIOD_SECONDS
        return requests

    def _plan_pool(
        self,
        pool: str,
        requests: dict[int, float],
        capacity: float | None,
        seconds: float,
    ) -> list[fleet_pb2.PoolAdmission]:
        admission = self.admissions.get(pool)
        if admission is None:
            if not requests:
                return []
            admission = self.admissions[pool] = PoolAdmission()
        was_limiting = admission.is_limiting
        limits = admission.update(requests, capacity, self.targets.get(pool, {}), seconds)
        if admission.is_limiting and not was_limiting:
            events.POOL_LIMITED.log(
                pool=pool,
                demand=round(sum(admission.demands.values()), 1),
                capacity=round(capacity or 0.0, 1),
                queue=round(admission.backlog, 1),
            )
        elif was_limiting and not admission.is_limiting:
            events.POOL_LIMIT_ENDED.log(pool=pool)
        return [_to_proto(pool, priority, limit) for priority, limit in sorted(limits.items())]


def _targets_by_pool(routes: Iterable[PublishedRoute]) -> dict[str, dict[int, float]]:
    """Return the shortest target latency in seconds by pool and priority of the routes."""
    targets: dict[str, dict[int, float]] = {}
    for route in routes:
        for pool in route.pool_names:
            by_priority = targets.setdefault(pool, {})
            known = by_priority.get(route.priority, route.target_latency)
            by_priority[route.priority] = min(known, route.target_latency)
    return targets


def _to_proto(pool: str, priority: int, limit: PriorityLimit) -> fleet_pb2.PoolAdmission:
    return fleet_pb2.PoolAdmission(
        pool=pool,
        priority=priority,
        # A share of 0 would admit none of the route's requests.
        admitted=max(round(limit.share * 1000), 1),
        retry_after_ms=round(limit.retry_after * 1000),
    )
