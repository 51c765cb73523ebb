"""Configuration in force at an entry."""

from __future__ import annotations

import asyncio

from medlarpass.rpc import control_pb2
from medlarpass.tables import Pool
from medlarpass.tables import Route
from medlarpass.tables import RouteMatcher


class ConfigurationStore:
    """Newest configuration that this entry has received; an older one never replaces it."""

    __slots__ = ("change_event", "configuration", "drained", "matcher", "pools")

    def __init__(self) -> None:
        self.configuration = control_pb2.Configuration()
        self.matcher = RouteMatcher([])
        self.pools: dict[str, Pool] = {}
        self.drained: frozenset[str] = frozenset()
        #: Set and then replaced on each change.
        self.change_event = asyncio.Event()

    @property
    def revision(self) -> int:
        """Revision in force, 0 before the first configuration."""
        return self.configuration.revision

    def pool_of(self, route: Route) -> Pool:
        """Return the pool of a route."""
        return self.pools[route.pool]

    def apply_if_newer(self, configuration: control_pb2.Configuration) -> bool:
        """Put a configuration in force if it is newer.

        :param configuration: configuration from a control replica or a peer
        :returns: whether it was newer and is now in force
        :raises TableError: when the configuration is invalid; the previous one stays in force
        """
        if configuration.revision <= self.revision:
            return False
        matcher = RouteMatcher(_routes(configuration))
        self.pools = _pools(configuration)
        self.matcher = matcher
        self.drained = frozenset(configuration.drained_servers)
        self.configuration = configuration
        self.change_event.set()
        self.change_event = asyncio.Event()
        return True


def _routes(configuration: control_pb2.Configuration) -> list[Route]:
    return [
        Route.from_json(item.name, item.document)
        for item in configuration.items
        if item.kind == control_pb2.ITEM_KIND_ROUTE
    ]


def _pools(configuration: control_pb2.Configuration) -> dict[str, Pool]:
    return {
        item.name: Pool.from_json(item.name, item.document)
        for item in configuration.items
        if item.kind == control_pb2.ITEM_KIND_POOL
    }
