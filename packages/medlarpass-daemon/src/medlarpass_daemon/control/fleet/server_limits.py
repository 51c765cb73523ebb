"""Limits of cold and overloaded servers that the leader sends to entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.capacity import CapacityWeights
from medlarpass.capacity import DemandRates
from medlarpass.capacity import PoolTraffic
from medlarpass.capacity import ServerAdmission
from medlarpass.capacity import ServerTraffic
from medlarpass.capacity import counted_seconds
from medlarpass.ranges import KEY_COUNT
from medlarpass.ranges import DensityLoads
from medlarpass.ranges import server_loads
from medlarpass_daemon.control.fleet import events

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from medlarpass.fleet import FleetMember
    from medlarpass.publication import PublishedPool
    from medlarpass.ranges import RangeAssignment
    from medlarpass.rpc import fleet_pb2
    from medlarpass_daemon.control.fleet.fleet_state import FleetState

#: Time for which a new leader collects reports before its figures count.
FIGURES_WAIT_SECONDS = 2.0
#: Report periods of half a second that the steady count of a key is worth, at its decay of 0.95.
STEADY_SECONDS = 10.0


class ServerLimits:
    """Gathers the load of each pool and decides the limits of its servers.

    :param fleet: servers and ranges
    """

    __slots__ = (
        "admission",
        "answered",
        "decayed_at",
        "densities",
        "fleet",
        "limits_overload",
        "ranges_after_moves",
        "requested",
        "weights",
    )

    def __init__(self, fleet: FleetState) -> None:
        self.fleet = fleet
        #: Whether overloaded warm servers are limited too.
        self.limits_overload = False
        #: Returns the ranges of a pool as they will be after the moves in progress.
        self.ranges_after_moves: Callable[[str, list[RangeAssignment]], list[RangeAssignment]] = (
            lambda pool, assigned: assigned
        )
        self.start_term()

    def start_term(self) -> None:
        """Start as a new leader, without figures."""
        self.admission = ServerAdmission()
        #: Requests by pool, as counted by entries when they arrive.
        self.requested = DemandRates()
        #: Responses of the servers of each pool; entries of older versions count no requests.
        self.answered = DemandRates()
        self.decayed_at = self.fleet.clock.now()
        #: Load of the keys of each pool at the last decision.
        self.densities: dict[str, DensityLoads] = {}
        #: Capacities as weights for the planner.
        self.weights = CapacityWeights(self.fleet.capacity)

    def restore(self, member: FleetMember, sent: fleet_pb2.FleetServer | None) -> None:
        """Take over what the previous leader had sent about a server that was cold.

        :param member: the server, as far as the log knows it
        :param sent: newest message about the server, if there is one
        """
        if sent is None or sent.life != member.heartbeat.incarnation or not sent.cold_ms:
            return
        now = self.fleet.clock.now()
        member.cold.start(now + sent.cold_ms / 1000, sent.cold_ms)
        if sent.admitted:
            self.admission.sent[sent.identity] = sent.admitted / 1e6

    def add_report(self, report: fleet_pb2.EntryReport) -> None:
        """Add the requests and responses that an entry or a relay reports."""
        for demand in report.demands:
            self.requested.add(demand.pool, demand.requests)
        for reported in report.times:
            member = self.fleet.directory.members.get(reported.identity)
            if member is not None:
                self.answered.add(member.heartbeat.pool, reported.answers)

    def apply_decay(self) -> None:
        """End a report period."""
        self.requested.apply_decay()
        self.answered.apply_decay()
        self.decayed_at = self.fleet.clock.now()
        members = self.fleet.directory.members.values()
        self.weights.update(
            {member.heartbeat.identity: member.heartbeat.slots for member in members}
        )

    def update(self) -> None:
        """Decide the limits of all servers, and have entries told if one has changed."""
        now = self.fleet.clock.now()
        self.densities.clear()
        has_change = False
        for member in self.fleet.directory.members.values():
            if member.cold.expire(now):
                events.SERVER_WARM.log(server=member.heartbeat.identity, expired=True)
                has_change = True
        publication = self.fleet.publication
        for pool in publication.pools.values() if publication is not None else ():
            has_change |= self._update_pool(pool)
        self.admission.retain(set(self.fleet.directory.members))
        if has_change:
            self.fleet.servers_changed()

    def cold_changed(self, member: FleetMember) -> None:
        """Have entries told that a server has become cold or warm."""
        heartbeat = member.heartbeat
        if member.cold.is_cold:
            events.SERVER_COLD.log(
                server=heartbeat.identity, pool=heartbeat.pool, seconds=heartbeat.warmup_seconds
            )
        else:
            events.SERVER_WARM.log(server=heartbeat.identity, expired=False)
        publication = self.fleet.publication
        pool = publication.pools.get(heartbeat.pool) if publication is not None else None
        if pool is not None:
            self._update_pool(pool)
        self.fleet.servers_changed()

    def share_of(self, identity: str) -> float:
        """Return the share that entries may send to a server; 0 without a limit."""
        return self.admission.sent.get(identity, 0.0)

    def density_of(self, pool: str) -> DensityLoads:
        """Return the load of the keys of a pool as of the last decision."""
        density = self.densities.get(pool)
        if density is None:
            density = self.densities[pool] = DensityLoads(self.fleet.loads_of(pool))
        return density

    def steady_demand(self, pool: str) -> float:
        """Return the requests per second for the keys of a pool, over about 10 s."""
        return self.fleet.loads_of(pool).steady.load_between(0, KEY_COUNT - 1) / STEADY_SECONDS

    def _update_pool(self, pool: PublishedPool) -> bool:
        if pool.warmup_rate is None and not (pool.owned and self.limits_overload):
            return self._remove_limits(pool)
        members = [
            member
            for member in self.fleet.directory.current()
            if member.heartbeat.pool == pool.name and not member.is_retired
        ]
        if pool.owned and not self.limits_overload and not any(m.cold.is_cold for m in members):
            return self._remove_limits(pool)
        before = {
            member.heartbeat.identity: self.share_of(member.heartbeat.identity)
            for member in members
        }
        has_change = self.admission.update(self._traffic(pool, members), self.limits_overload)
        if has_change:
            self._log_changes(pool, before)
        return has_change

    def _remove_limits(self, pool: PublishedPool) -> bool:
        sent = self.admission.sent
        limited = [
            identity
            for identity in sent
            if self.fleet.directory.members[identity].heartbeat.pool == pool.name
        ]
        for identity in limited:
            del sent[identity]
        return bool(limited)

    def _log_changes(self, pool: PublishedPool, before: dict[str, float]) -> None:
        for identity, share in before.items():
            now = self.share_of(identity)
            if now and not share:
                events.SERVER_LIMITED.log(server=identity, pool=pool.name, share=round(now, 6))
            elif share and not now:
                events.SERVER_UNLIMITED.log(server=identity, pool=pool.name)

    def _traffic(self, pool: PublishedPool, members: Sequence[FleetMember]) -> PoolTraffic:
        since_decay = self.fleet.clock.now() - self.decayed_at
        is_known = self.fleet.clock.now() - self.fleet.led_at >= FIGURES_WAIT_SECONDS
        servers = (
            self._owning_servers(pool.name, members, counted_seconds(since_decay))
            if pool.owned
            else [
                ServerTraffic(
                    member.heartbeat.identity, member.heartbeat.slots, member.cold.is_cold
                )
                for member in members
            ]
        )
        demand = max(
            self.requested.rate_of(pool.name, since_decay),
            self.answered.rate_of(pool.name, since_decay),
        )
        return PoolTraffic(pool.name, pool.owned, pool.warmup_rate, servers, demand, is_known)

    def _owning_servers(
        self, pool: str, members: Sequence[FleetMember], window: float
    ) -> list[ServerTraffic]:
        loads, density = self.fleet.loads_of(pool), self.density_of(pool)
        identities = [member.heartbeat.identity for member in members]
        assigned = self.fleet.state.ranges.pools.get(pool, [])
        shares = server_loads(density, assigned, identities)
        # A limit has to be known to entries before the keys that it is for.
        planned = self.ranges_after_moves(pool, assigned)
        for identity, share in server_loads(density, planned, identities).items():
            shares[identity] = max(shares[identity], share)
        steady = server_loads(loads.steady, assigned, identities)
        # The density has the shares of the keys, and the recent counts the rate of the pool.
        last = KEY_COUNT - 1
        rate = loads.recent.load_between(0, last) / window / density.load_between(0, last)
        return [self._owning_server(member, shares, steady, rate) for member in members]

    def _owning_server(
        self,
        member: FleetMember,
        shares: dict[str, float],
        steady: dict[str, float],
        rate: float,
    ) -> ServerTraffic:
        identity, slots = member.heartbeat.identity, member.heartbeat.slots
        capacity = self.fleet.capacity
        return ServerTraffic(
            identity,
            slots,
            member.cold.is_cold,
            capacity.rate_of(identity, slots),
            shares[identity] * rate,
            steady[identity] / STEADY_SECONDS,
            capacity.is_queueing(identity, slots),
        )
