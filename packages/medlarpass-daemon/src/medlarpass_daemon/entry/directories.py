"""Servers and owners of keys as the request path sees them."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING

from medlarpass.ownership import OwnershipView
from medlarpass.ownership.exceptions import NoOwnerInDomainError
from medlarpass_daemon.entry.callers import NoOwnerError
from medlarpass_daemon.entry.callers.interfaces import Target

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from medlarpass import Clock
    from medlarpass.ownership import Owner
    from medlarpass.registry import Server
    from medlarpass.registry import ServerRegistry
    from medlarpass.tables import Pool
    from medlarpass_daemon.entry.own_loads import OwnLoads


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
        translated = self.translation.get(f"{ip}:{port}")
        if translated:
            ip, _, number = translated.rpartition(":")
            port = int(number)
        return Target(
            identity=server.identity,
            incarnation=server.incarnation,
            ip=ip,
            port=port,
            slots=server.slots,
            connections=server.connections,
            shard=owner.assignment.shard if owner else None,
            fence=owner.fence.to_int() if owner else None,
        )


class OwnerDirectory:
    """Owners of keys in all failure domains.

    :param domains: names of the failure domains
    :param registry: servers known to this entry
    :param targets: makes targets of servers
    :param loads: counts the requests of each shard
    :param clock: clock of this process
    """

    __slots__ = ("change", "loads", "registry", "targets", "views")

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
        self.change = asyncio.Event()

    def owner_of(self, pool: Pool, key: str) -> Target:
        """Return the server that owns a key.

        :raises NoOwnerError: no server owns the key at present
        """
        self.loads.count(pool.name, key)
        owner = self._owner(pool, key)
        presence = self.registry.presences.get(owner.server)
        if presence is None or presence.server.incarnation != owner.incarnation:
            raise NoOwnerError(f"the address of {owner.server} is not known yet")
        return self.targets.build(presence.server, owner)

    def is_current(self, pool: Pool, key: str, target: Target) -> bool:
        """Tell whether the target still owns the key under the same fence."""
        try:
            owner = self._owner(pool, key)
        except NoOwnerError:
            return False
        known = (owner.server, owner.incarnation, owner.fence.to_int())
        return known == (target.identity, target.incarnation, target.fence)

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

    def _owner(self, pool: Pool, key: str) -> Owner:
        owners = []
        for view in self.views.values():
            try:
                owners.append(view.owner_of(pool.name, key, pool.shards))
            except NoOwnerInDomainError:
                continue
        if not owners:
            raise NoOwnerError(f"no server of pool {pool.name} owns the key at present")
        # While a shard moves between domains an entry may see both; the newer grant has the
        # higher fence.
        return max(owners, key=lambda owner: owner.fence.to_int())


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
