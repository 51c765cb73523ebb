"""Routes and pools in force at an entry that follows control."""

from __future__ import annotations

import asyncio
import random

from typing import TYPE_CHECKING

from medlarpass.publication import PrefixMatcher
from medlarpass.publication import Publication
from medlarpass.publication import PublishedRoute
from medlarpass.tables import RouteNotFoundError
from medlarpass_daemon.entry.callers.exceptions import RoutesUnknownError
from medlarpass_daemon.entry.fleet.events import PUBLICATION_IN_FORCE
from medlarpass_daemon.entry.fleet.weighted_choice import WeightedChoice

if TYPE_CHECKING:
    from typing import Any

    from medlarpass.publication import PublishedPool
    from medlarpass.rpc import fleet_pb2
    from medlarpass.tables import Pool
    from medlarpass.tables import Route
    from medlarpass_daemon.entry.fleet.publication_age import PublicationAge
    from medlarpass_daemon.publication_parts import PublicationAssembler


class NothingPublished:
    """Matcher of an entry that knows no routes yet; an unknown route is not a wrong one."""

    __slots__ = ()

    def find(self, host: str, path: str, method: str) -> PublishedRoute:
        """Refuse the request for now.

        :raises RoutesUnknownError: always
        """
        raise RoutesUnknownError("this entry knows no routes yet")


class AgedRoutes:
    """Matcher that says no more than the age of the routes allows.

    :param routes: routes in force
    :param age: how old they may be
    """

    __slots__ = ("age", "routes")

    def __init__(self, routes: PrefixMatcher, age: PublicationAge) -> None:
        self.routes = routes
        self.age = age

    def find(self, host: str, path: str, method: str) -> PublishedRoute:
        """Find the route of a request.

        :raises RouteNotFoundError: when no route matches
        :raises RoutesUnknownError: when a newer publication may say something else
        """
        if self.age.is_overdue:
            raise RoutesUnknownError("a newer publication is in force and has not arrived here")
        try:
            return self.routes.find(host, path, method)
        except RouteNotFoundError as error:
            if self.age.is_certain:
                raise
            # Callers take 404 for final.
            raise RoutesUnknownError("a newer publication may have the route") from error


class FleetRouting:
    """Newest publication this entry has seen; an older one never replaces it.

    :param age: how old it may be
    """

    __slots__ = ("age", "changed", "choices", "matcher", "pools", "publication")

    def __init__(self, age: PublicationAge) -> None:
        self.age = age
        self.publication: Publication | None = None
        self.matcher: AgedRoutes | NothingPublished = NothingPublished()
        self.pools: dict[str, PublishedPool] = {}
        self.choices: dict[str, WeightedChoice] = {}
        #: Set when a publication is in force.
        self.changed = asyncio.Event()

    @property
    def revision(self) -> int:
        """Version in force; 0 before the first publication."""
        return self.publication.version if self.publication is not None else 0

    def pool_of(self, route: Route) -> Pool:
        """Return the pool that gets the next request of a route."""
        choice = self.choices.get(route.name)
        return self.pools[choice.next() if choice is not None else route.pool]

    def take(self, part: fleet_pb2.PackedPublication, parts: PublicationAssembler) -> bool:
        """Take a part of a newer publication, and return whether that is in force now.

        :param parts: parts that the same stream has brought
        :raises PublicationGapError: the part does not fit the parts or the routes held here
        """
        if part.version <= self.revision:
            return False
        held = self.publication.document if self.publication is not None else None
        document = parts.add_part(part, held)
        if document is None:
            return False
        self._put(document)
        return True

    def _put(self, document: dict[str, Any]) -> None:
        publication = Publication(document, self.publication)
        self.publication = publication
        self.pools = publication.pools
        self.matcher = AgedRoutes(publication.matcher, self.age)
        self.age.put_in_force(publication.version)
        self.choices = self._choices(publication)
        PUBLICATION_IN_FORCE.log(version=publication.version, routes=len(publication.routes))
        self.changed.set()

    def _choices(self, publication: Publication) -> dict[str, WeightedChoice]:
        """Return the choices of split routes; one whose shares stay keeps its credits."""
        choices: dict[str, WeightedChoice] = {}
        for route in publication.routes:
            if len(route.shares) < 2:
                continue
            known = self.choices.get(route.name)
            if known is not None and known.route.shares == route.shares:
                choices[route.name] = known
            else:
                choices[route.name] = WeightedChoice(route, random.random())
        return choices
