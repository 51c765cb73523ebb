"""Servers and owners of keys as the request path looks them up."""

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

get_view_owners = attrgetter("owners")
NO_GRANTS: list[tuple[OwnershipView, Owner]] = []


class TargetFactory:
    """Builds targets for servers, with the address at which this entry reaches them.

    :param translation: replacement for addresses that are not reachable directly
    """

    __slots__ = ("translation",)

    def __init__(self, translation: Mapping[str, str]) -> None:
        self.translation = translation

    def build(self, server: Server, owner: Owner | None = None) -> Target:
        """Return the target of a server.

        :param server: server that a request may be sent to
        :param owner: grant that the request depends on, for owned keys
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

    A view replaces its mapping of grants when they change, so the index is valid while each view
    still has the same mapping. Sessions change frequently and are looked up in the views.

    :param views: views of the domains
    :param clock: clock of this process
    """

    __slots__ = ("clock", "indexed_owners", "isolated_keys", "shards", "views")

    def __init__(self, views: Iterable[OwnershipView], clock: Clock) -> None:
        self.clock = clock
        self.views = tuple(views)
        #: Mapping of grants of each view from which the index was built.
        self.indexed_owners: list[object] = []
        self.shards: dict[tuple[str, int], list[tuple[OwnershipView, Owner]]] = {}
        self.isolated_keys: dict[tuple[str, int, str], list[tuple[OwnershipView, Owner]]] = {}

    def find(self, pool: str, shard: int, key: str) -> Owner | None:
        """Return the owner with a valid session, if there is one.

        While a shard moves between domains an entry may know the grants of both; the newer grant
        has the higher fence.

        :param pool: name of the pool
        :param shard: shard of the key
        :param key: key of the request
        """
        self._refresh()
        newest_owner = None
        now = self.clock.now()
        for view, owner in self._grants_of(pool, shard, key):
            session_expiry = view.sessions.get((owner.server, owner.incarnation))
            if session_expiry is None or now >= session_expiry:
                continue
            if newest_owner is None or newest_owner.fence < owner.fence:
                newest_owner = owner
        return newest_owner

    def _grants_of(self, pool: str, shard: int, key: str) -> list[tuple[OwnershipView, Owner]]:
        """Return at most one grant per view; an isolated key overrides its shard."""
        shard_grants = self.shards.get((pool, shard), NO_GRANTS)
        key_grants = self.isolated_keys.get((pool, shard, key)) if self.isolated_keys else None
        if not key_grants:
            return shard_grants
        overridden_views = [view for view, _ in key_grants]
        return key_grants + [grant for grant in shard_grants if grant[0] not in overridden_views]

    def _refresh(self) -> None:
        if self.indexed_owners and all(
            map(is_, map(get_view_owners, self.views), self.indexed_owners)
        ):
            return
        self.indexed_owners = [view.owners for view in self.views]
        self.shards.clear()
        self.isolated_keys.clear()
        for view in self.views:
            for assignment, owner in view.owners.items():
                self._add(view, assignment, owner)

    def _add(self, view: OwnershipView, assignment: Assignment, owner: Owner) -> None:
        pool, shard, key = assignment.pool, assignment.shard, assignment.key
        if key is None:
            self.shards.setdefault((pool, shard), []).append((view, owner))
        else:
            self.isolated_keys.setdefault((pool, shard, key), []).append((view, owner))


class OwnerDirectory:
    """Owners of keys in all failure domains.

    :param domains: names of the failure domains
    :param registry: servers known to this entry
    :param targets: builds targets for servers
    :param loads: counts the requests of each shard
    :param clock: clock of this process
    """

    __slots__ = ("change_event", "grants", "loads", "registry", "targets", "views")
    #: A server that lost its session may respond with data that a newer owner has changed since.
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
        self.change_event = asyncio.Event()

    def owner_of(self, pool: Pool, key: str) -> Target:
        """Return the server that owns a key.

        :raises NoOwnerError: no server currently owns the key
        """
        shard = shard_of(pool.name, key, pool.shards)
        self.loads.count_request(pool.name, shard, key)
        owner = self.grants.find(pool.name, shard, key)
        if owner is None:
            raise NoOwnerError(f"no server of pool {pool.name} currently owns the key")
        registered = self.registry.registered_servers.get(owner.server)
        if registered is None or registered.server.incarnation != owner.incarnation:
            raise NoOwnerError(f"the address of {owner.server} is not known yet")
        return self.targets.build(registered.server, owner)

    def is_current(self, pool: Pool, key: str, target: Target) -> bool:
        """Return whether the target still owns the key under the same fence."""
        # The target was looked up for this key, so its shard is the shard of the key.
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
        change_event = self.change_event
        try:
            async with asyncio.timeout(timeout):
                await change_event.wait()
        except TimeoutError:
            return

    def notify_change(self) -> None:
        """Wake all tasks that wait for a change."""
        self.change_event.set()
        self.change_event = asyncio.Event()


class ServerDirectory:
    """Servers of the pools.

    :param registry: servers known to this entry
    :param targets: builds targets for servers
    """

    __slots__ = ("registry", "targets")

    def __init__(self, registry: ServerRegistry, targets: TargetFactory) -> None:
        self.registry = registry
        self.targets = targets

    def available_servers(self, pool_name: str) -> Sequence[Target]:
        """Return the servers of a pool that may get new requests."""
        return [self.targets.build(server) for server in self.registry.available_servers(pool_name)]

    def may_send_to(self, target: Target) -> bool:
        """Return whether a request that is not sent yet may go to a chosen server.

        Only control evacuates failure domains, and only where it knows all servers.
        """
        return True
