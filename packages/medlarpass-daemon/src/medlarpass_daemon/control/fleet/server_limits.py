"""Limits of cold and overloaded servers that the leader sends to entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.capacity import DemandRates
from medlarpass.capacity import PoolTraffic
from medlarpass.capacity import ServerAdmission
from medlarpass.capacity import ServerTraffic
from medlarpass.capacity import counted_seconds
from medlarpass.ranges import server_loads
from medlarpass_daemon.control.fleet import events

if TYPE_CHECKING:
    from collections.abc import Sequence

    from medlarpass.fleet import FleetMember
    from medlarpass.publication import PublishedPool
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
        "fleet",
        "limits_overload",
        "requested",
    )

    def __init__(self, fleet: FleetState) -> None:
        self.fleet = fleet
        #: Whether overloaded warm servers are limited too.
        self.limits_overload = False
        self.start_term()

    def start_term(self) -> None:
        """Start as a new leader, without figures."""
        self.admission = ServerAdmission()
        #: Requests by pool, as counted by entries when they arrive.
        self.requested = DemandRates()
        #: Responses of the servers of each pool; entries of older versions count no requests.
        self.answered = DemandRates()
        self.decayed_at = self.fleet.clock.now()

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

    def update(self) -> None:
        """Decide the limits of all servers, and have entries told if one has changed."""
        now = self.fleet.clock.now()
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

    def window(self) -> float:
        """Return the seconds that the recent counts are worth now."""
        return counted_seconds(self.fleet.clock.now() - self.decayed_at)

    def _update_pool(self, pool: PublishedPool) -> bool:
        if pool.warmup_rate is None and not (pool.owned and self.limits_overload):
            return self._remove_limits(pool)
        members = [
            member
            for member in self.fleet.directory.current()
            if member.heartbeat.pool == pool.name and not member.is_retired
        ]
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
        window = self.window()
        since_decay = self.fleet.clock.now() - self.decayed_at
        is_known = self.fleet.clock.now() - self.fleet.led_at >= FIGURES_WAIT_SECONDS
        servers = (
            self._owning_servers(pool.name, members, window)
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
        return PoolTraffic(
            pool.name, pool.owned, pool.warmup_rate, servers, window, demand, is_known
        )

    def _owning_servers(
        self, pool: str, members: Sequence[FleetMember], window: float
    ) -> list[ServerTraffic]:
        loads = self.fleet.loads_of(pool)
        identities = [member.heartbeat.identity for member in members]
        assigned = self.fleet.state.ranges.pools.get(pool, [])
        recent = server_loads(loads.recent, assigned, identities)
        steady = server_loads(loads.steady, assigned, identities)
        return [
            ServerTraffic(
                member.heartbeat.identity,
                member.heartbeat.slots,
                member.cold.is_cold,
                self.fleet.capacity.rate_of(member.heartbeat.identity, member.heartbeat.slots),
                recent[member.heartbeat.identity] / window,
                steady[member.heartbeat.identity] / STEADY_SECONDS,
            )
            for member in members
        ]
