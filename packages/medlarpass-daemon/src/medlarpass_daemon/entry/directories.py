"""Servers and owners of keys as the request path sees them."""

from __future__ import annotations

import asyncio

from operator import attrgetter
from operator import is_
from typing import TYPE_CHECKING

from medlarpass.ownership import OwnershipView
from medlarpass.ownership import shard_of
from medlarpass_daemon.entry.callers import NoOwnerError
from medlarpass_daemon.entry.callers.interfaces import Target

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from medlarpass import Clock
    from medlarpass.ownership import Assignment
    from medlarpass.ownership import Owner
    from medlarpass.registry import Server
    from medlarpass.registry import ServerRegistry
    from medlarpass.tables import Pool
    from medlarpass_daemon.entry.own_loads import OwnLoads

GRANTS = attrgetter("owners")
NO_GRANTS: list[tuple[OwnershipView, Owner]] = []


class TargetFactory:
    """Makes targets of servers, with the address that this entry reaches them by.

    :param translation: addresses that are reached by another one
    """

    __slots__ = ("translation",)

    def __init__(self, translation: Mapping[str, str]) -> None:
        self.translation = translation

    def build(self, server: Server, owner: Owner | None = None) -> Target:
        """Return the target of a server.

        :param server: server that a request may be sent to
        :param owner: ownership that the request relies on, for owned keys
        """
        ip, port = server.ip, server.port
        translated = self.translation.get(f"{ip}:{port}") if self.translation else None
        if translated:
            ip, _, number = translated.rpartition(":")
            port = int(number)
        return Target(
            server.identity,
            server.incarnation,
            ip,
            port,
            server.slots,
            server.connections,
            owner.assignment.shard if owner else None,
            owner.fence.to_int() if owner else None,
        )


class GrantIndex:
    """Grants of all failure domains by shard and by isolated key.

    A view replaces its grants as a whole when they change, so the index is valid as long as each
    view has the same ones. Sessions change all the time and are looked up in the views.

    :param views: views of the domains
    :param clock: clock of this process
    """

    __slots__ = ("clock", "isolated", "known", "shards", "views")

    def __init__(self, views: Iterable[OwnershipView], clock: Clock) -> None:
        self.clock = clock
        self.views = tuple(views)
        #: The grants that the index was built from, for each view.
        self.known: list[object] = []
        self.shards: dict[tuple[str, int], list[tuple[OwnershipView, Owner]]] = {}
        self.isolated: dict[tuple[str, int, str], list[tuple[OwnershipView, Owner]]] = {}

    def find(self, pool: str, shard: int, key: str) -> Owner | None:
        """Return the owner with a valid session, if there is one.

        While a shard moves between domains an entry may see both; the newer grant has the higher
        fence.

        :param pool: name of the pool
        :param shard: shard of the key
        :param key: key of the request
        """
        self._refresh()
        found = None
        now = self.clock.now()
        for view, owner in self._granted(pool, shard, key):
            until = view.sessions.get((owner.server, owner.incarnation))
            if until is None or now >= until:
                continue
            if found is None or found.fence < owner.fence:
                found = owner
        return found

    def _granted(self, pool: str, shard: int, key: str) -> list[tuple[OwnershipView, Owner]]:
        """Return one grant per view at most; that of an isolated key hides that of its shard."""
        whole = self.shards.get((pool, shard), NO_GRANTS)
        apart = self.isolated.get((pool, shard, key)) if self.isolated else None
        if not apart:
            return whole
        hidden = [view for view, _ in apart]
        return apart + [each for each in whole if each[0] not in hidden]

    def _refresh(self) -> None:
        if self.known and all(map(is_, map(GRANTS, self.views), self.known)):
            return
        self.known = [view.owners for view in self.views]
        self.shards.clear()
        self.isolated.clear()
        for view in self.views:
            for assignment, owner in view.owners.items():
                self._add(view, assignment, owner)

    def _add(self, view: OwnershipView, assignment: Assignment, owner: Owner) -> None:
        pool, shard, key = assignment.pool, assignment.shard, assignment.key
        if key is None:
            self.shards.setdefault((pool, shard), []).append((view, owner))
        else:
            self.isolated.setdefault((pool, shard, key), []).append((view, owner))


class OwnerDirectory:
    """Owners of keys in all failure domains.

    :param domains: names of the failure domains
    :param registry: servers known to this entry
    :param targets: makes targets of servers
    :param loads: counts the requests of each shard
    :param clock: clock of this process
    """

    __slots__ = ("change", "grants", "loads", "registry", "targets", "views")
    #: A server that lost its session may answer with what another owner has changed since.
    cancels_attempts_on_owner_change = True

    def __init__(
        self,
        domains: Iterable[str],
        registry: ServerRegistry,
        targets: TargetFactory,
        loads: OwnLoads,
        clock: Clock,
    ) -> None:
        self.loads = loads
        self.registry = registry
        self.targets = targets
        self.views = {domain: OwnershipView(clock) for domain in domains}
        self.grants = GrantIndex(self.views.values(), clock)
        self.change = asyncio.Event()

    def owner_of(self, pool: Pool, key: str) -> Target:
        """Return the server that owns a key.

        :raises NoOwnerError: no server owns the key at present
        """
        shard = shard_of(pool.name, key, pool.shards)
        self.loads.count(pool.name, shard, key)
        owner = self.grants.find(pool.name, shard, key)
        if owner is None:
            raise NoOwnerError(f"no server of pool {pool.name} owns the key at present")
        presence = self.registry.registered_servers.get(owner.server)
        if presence is None or presence.server.incarnation != owner.incarnation:
            raise NoOwnerError(f"the address of {owner.server} is not known yet")
        return self.targets.build(presence.server, owner)

    def is_current(self, pool: Pool, key: str, target: Target) -> bool:
        """Tell whether the target still owns the key under the same fence."""
        # The target was found for this key, so its shard is that of the key.
        shard = target.shard
        owner = None if shard is None else self.grants.find(pool.name, shard, key)
        if owner is None:
            return False
        return (
            owner.server == target.identity
            and owner.incarnation == target.incarnation
            and owner.fence.to_int() == target.fence
        )

    async def wait_for_change(self, timeout: float) -> None:
        """Return after the next change of grants, or after ``timeout`` seconds."""
        change = self.change
        try:
            async with asyncio.timeout(timeout):
                await change.wait()
        except TimeoutError:
            return

    def changed(self) -> None:
        """Wake those who wait for a change."""
        self.change.set()
        self.change = asyncio.Event()


class ServerDirectory:
    """Servers of the pools.

    :param registry: servers known to this entry
    :param targets: makes targets of servers
    """

    __slots__ = ("registry", "targets")

    def __init__(self, registry: ServerRegistry, targets: TargetFactory) -> None:
        self.registry = registry
        self.targets = targets

    def usable(self, pool_name: str) -> Sequence[Target]:
        """Return the servers of a pool that may get new work."""
        return [self.targets.build(server) for server in self.registry.usable(pool_name)]
