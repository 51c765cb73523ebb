"""Servers and owners of keys at an entry that follows control."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING

from medlarpass.publication import PublishedPool
from medlarpass.ranges import PoolRanges
from medlarpass.rpc import fleet_pb2
from medlarpass_daemon.entry.callers import NoOwnerError
from medlarpass_daemon.entry.callers.exceptions import InvalidHeaderError
from medlarpass_daemon.entry.callers.exceptions import ServersEvacuatedError
from medlarpass_daemon.entry.callers.interfaces import Target
from medlarpass_daemon.entry.fleet.evacuated_domains import EvacuatedDomains
from medlarpass_daemon.entry.fleet.events import RANGES_LEARNED
from medlarpass_daemon.entry.fleet.events import SERVER_COLD
from medlarpass_daemon.entry.fleet.events import SERVER_DROPPED
from medlarpass_daemon.entry.fleet.events import SERVER_RETIRED
from medlarpass_daemon.entry.fleet.events import SERVERS_LEARNED
from medlarpass_daemon.waiting import wait_until_set

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from medlarpass import Clock
    from medlarpass.ranges import KeyLoads
    from medlarpass.tables import Pool
    from medlarpass_daemon.entry.fleet.fleet_routing import FleetRouting

MAX_KEY = 65_535
#: Time for which a leaving server still gets requests for the keys it holds, so that most keys move
#: without an interruption. The platform allows 2 s from its confirmation on.
LEAVING_GRACE_SECONDS = 0.4
RETIRED = fleet_pb2.SERVER_PHASE_RETIRED
EVACUATED = fleet_pb2.SERVER_PHASE_EVACUATED
HELD = fleet_pb2.RANGE_PHASE_HELD


class FleetServers:
    """Servers and ranges according to the updates of the leader.

    A retired incarnation of a server stays retired, even if another leader reports it as ready. A
    server of an evacuated domain may become ready again.

    :param routing: routes and pools in force
    :param loads: counts the requests of keys
    :param clock: clock of this process
    """

    __slots__ = (
        "change_event",
        "clock",
        "cold_until",
        "evacuations",
        "is_complete",
        "last_update_at",
        "loads",
        "ranges",
        "retired_at",
        "routing",
        "servers",
        "servers_in_view",
        "targets",
    )
    #: A server only returns results of requests that it ran while it held the key.
    cancels_attempts_on_owner_change = False

    def __init__(self, routing: FleetRouting, loads: KeyLoads, clock: Clock) -> None:
        self.clock = clock
        self.routing = routing
        self.loads = loads
        self.servers: dict[str, fleet_pb2.FleetServer] = {}
        #: Whether all parts of a view have been received at least once.
        self.is_complete = False
        #: Servers in the parts of the newest whole view that have arrived so far.
        self.servers_in_view: set[str] = set()
        #: Clock reading when this entry learned that a server is leaving, by identity.
        self.retired_at: dict[str, float] = {}
        self.evacuations = EvacuatedDomains(clock)
        #: Clock reading at which the cold time of a server ends, by identity.
        self.cold_until: dict[str, float] = {}
        self.ranges: dict[str, PoolRanges] = {}
        #: Servers that may get new requests by pool, built on first use after a change.
        self.targets: dict[str, list[Target]] = {}
        #: Clock reading at the last update, None before the first.
        self.last_update_at: float | None = None
        #: Set and then replaced on each change.
        self.change_event = asyncio.Event()

    def view_age(self) -> float | None:
        """Return the seconds since the last update; the leader sends two per second."""
        return (
            None
            if self.last_update_at is None
            else round(self.clock.now() - self.last_update_at, 3)
        )

    def apply(self, update: fleet_pb2.FleetUpdate) -> None:
        """Apply an update of the leader."""
        self.last_update_at = self.clock.now()
        self.evacuations.record_update(update)
        if update.is_whole:
            self._remove(self.servers.keys() - {server.identity for server in update.servers})
        if update.begins_whole:
            self.servers_in_view.clear()
        self._remove(update.gone)
        for server in update.servers:
            self._apply_server(server)
        self.servers_in_view.update(server.identity for server in update.servers)
        if update.ends_whole:
            self._remove(self.servers.keys() - self.servers_in_view)
        self.is_complete = self.is_complete or update.is_whole or update.ends_whole
        if update.HasField("ranges"):
            self.ranges = {}
            self._apply_ranges(update.ranges.ranges, is_whole=True)
        elif update.range_changes:
            self._apply_ranges(update.range_changes, is_whole=False)
        has_servers = update.is_whole or update.ends_whole or update.servers or update.gone
        if has_servers:
            self.targets.clear()
            SERVERS_LEARNED.log(
                is_whole=update.is_whole or update.ends_whole,
                servers=len(update.servers),
                gone=len(update.gone),
                known=len(self.servers),
            )
        if has_servers or update.HasField("ranges") or update.range_changes:
            self.change_event.set()
            self.change_event = asyncio.Event()

    def available_servers(self, pool_name: str) -> Sequence[Target]:
        """Return the servers that may get new requests.

        :raises ServersEvacuatedError: the only servers of the pool are in evacuated domains
        """
        targets = self.targets.get(pool_name)
        if targets is None:
            targets = [
                self._target(server)
                for server in self.servers.values()
                if server.pool == pool_name and server.phase not in (RETIRED, EVACUATED)
            ]
            self.targets[pool_name] = targets
        if not targets and any(
            server.pool == pool_name and server.phase == EVACUATED
            for server in self.servers.values()
        ):
            raise ServersEvacuatedError(f"the servers of pool {pool_name} are evacuated")
        return targets

    def may_send_to(self, target: Target) -> bool:
        """Return whether a request that is not sent yet may go to a chosen server."""
        server = self.servers.get(target.identity)
        return server is None or server.phase != EVACUATED

    def count_cold(self) -> int:
        """Return the number of servers that are limited because they are cold."""
        now = self.clock.now()
        return sum(self._target(server).cold_until > now for server in self.servers.values())

    def count_overloaded(self) -> int:
        """Return the number of servers that are limited because of overload."""
        return sum(bool(server.admitted) and not server.cold_ms for server in self.servers.values())

    def least_admitted_share(self) -> float:
        """Return the least share that is sent to an owner of keys; 1 without a limit."""
        shares = [
            server.admitted / 1_000_000
            for server in self.servers.values()
            if server.admitted
            and (pool := self.routing.pools.get(server.pool)) is not None
            and pool.owned
        ]
        return min(shares, default=1.0)

    def owner_of(self, pool: Pool, key: str) -> Target:
        """Return the server that holds a key.

        :raises NoOwnerError: no server currently holds the key
        :raises ServersEvacuatedError: its owner is evacuated and has not been relieved in time
        :raises InvalidHeaderError: the key is not a number in the valid range
        """
        number = _number(key)
        self.loads.count(pool.name, number)
        fleet_range = self._range_of(pool, number)
        if fleet_range is None or fleet_range.phase != HELD:
            raise NoOwnerError(f"no server of pool {pool.name} currently holds the key")
        server = self.servers.get(fleet_range.assignment.identity)
        if server is None or server.life != fleet_range.assignment.life:
            raise NoOwnerError(f"the address of {fleet_range.assignment.identity} is not known yet")
        if server.phase == EVACUATED and self._is_grace_over(server):
            raise ServersEvacuatedError(f"{server.identity} is evacuated and still holds the key")
        if self._is_grace_over(server):
            raise NoOwnerError(f"{server.identity} is leaving and its keys have not been moved yet")
        return self._target(server, fleet_range.assignment.fence)

    def is_current(self, pool: Pool, key: str, target: Target) -> bool:
        """Return whether the target still holds the key under the same fence."""
        fleet_range = self._range_of(pool, _number(key))
        return (
            fleet_range is not None
            and fleet_range.phase == HELD
            and fleet_range.assignment.fence == target.fence
            and fleet_range.assignment.identity == target.identity
            and not self._is_grace_over(self.servers[target.identity])
        )

    def _is_grace_over(self, server: fleet_pb2.FleetServer) -> bool:
        """Return whether a server gets no more requests for the keys it holds.

        That is so some time after a server has begun to leave, or its domain to be evacuated.
        """
        if server.phase == EVACUATED:
            return not self.evacuations.grace_left(server.domain)
        if server.phase != RETIRED:
            return False
        return self.clock.now() >= self.retired_at.get(server.identity, 0.0) + LEAVING_GRACE_SECONDS

    async def wait_for_change(self, timeout: float) -> None:
        """Return after the next change, or after ``timeout`` seconds."""
        await wait_until_set(self.change_event, timeout)

    def _range_of(self, pool: Pool, key: int) -> fleet_pb2.FleetRange | None:
        ranges = self.ranges.get(pool.name)
        return ranges.find(key) if ranges is not None else None

    def _target(self, server: fleet_pb2.FleetServer, fence: int | None = None) -> Target:
        pool = self.routing.pools.get(server.pool)
        return Target(
            server.identity,
            server.life,
            server.ip,
            server.port,
            server.slots,
            pool.connections if pool is not None else server.slots,
            None,
            fence,
            server.domain,
            server.weight / 1000 if server.weight else 1.0,
            (
                self.cold_until.get(server.identity, 0.0)
                if isinstance(pool, PublishedPool) and pool.warmup_rate is not None
                else 0.0
            ),
            server.admitted / 1_000_000 if server.admitted else None,
        )

    def _apply_server(self, server: fleet_pb2.FleetServer) -> None:
        known = self.servers.get(server.identity)
        if known is not None:
            if known.life > server.life:
                return
            if known.life == server.life and known.phase == RETIRED:
                return
        self.servers[server.identity] = server
        self._apply_cold_time(server, known)
        if server.phase == RETIRED:
            self.retired_at[server.identity] = self.clock.now()
            SERVER_RETIRED.log(server=server.identity, life=server.life, pool=server.pool)
        elif server.phase == EVACUATED:
            self.evacuations.record_evacuated(server.domain)
        else:
            self.evacuations.record_ready(server.domain)

    def _apply_cold_time(
        self, server: fleet_pb2.FleetServer, known: fleet_pb2.FleetServer | None
    ) -> None:
        """Start or end the cold time of a server.

        The message repeats the time when another field changes; the end stays the same then.
        """
        if not server.cold_ms:
            self.cold_until.pop(server.identity, None)
            return
        if (
            known is not None
            and (known.life, known.cold_ms) == (server.life, server.cold_ms)
            and server.identity in self.cold_until
        ):
            return
        seconds = server.cold_ms / 1000
        self.cold_until[server.identity] = self.clock.now() + seconds
        SERVER_COLD.log(server=server.identity, pool=server.pool, seconds=seconds)

    def _remove(self, gone: Iterable[str]) -> None:
        for identity in list(gone):
            self.retired_at.pop(identity, None)
            self.cold_until.pop(identity, None)
            if self.servers.pop(identity, None) is not None:
                SERVER_DROPPED.log(server=identity)

    def _apply_ranges(self, fleet_ranges: Sequence[fleet_pb2.FleetRange], is_whole: bool) -> None:
        for fleet_range in fleet_ranges:
            self.ranges.setdefault(fleet_range.assignment.pool, PoolRanges()).put(fleet_range)
        RANGES_LEARNED.log(
            is_whole=is_whole,
            ranges=len(fleet_ranges),
            moving=sum(fleet_range.phase != HELD for fleet_range in fleet_ranges),
            newest_fence=max(
                (fleet_range.assignment.fence for fleet_range in fleet_ranges), default=0
            ),
        )


def _number(key: str) -> int:
    if not key.isdecimal() or int(key) > MAX_KEY:
        raise InvalidHeaderError(f"expected a key from 0 to {MAX_KEY}")
    return int(key)
