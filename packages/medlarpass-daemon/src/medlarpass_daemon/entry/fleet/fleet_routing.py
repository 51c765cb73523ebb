"""Routes and pools in force at an entry that follows control."""

from __future__ import annotations

import asyncio
import random

from typing import TYPE_CHECKING

from medlarpass.capacity import DemandCounts
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


class UnpublishedMatcher:
    """Matcher before the first publication, when routes exist that this entry does not know."""

    __slots__ = ()

    def find(self, host: str, path: str, method: str) -> PublishedRoute:
        """Refuse the request until a publication is in force.

        :raises RoutesUnknownError: always
        """
        raise RoutesUnknownError("no publication of routes has reached this entry yet")


class AgeCheckedMatcher:
    """Matcher that denies routes only if the publication is recent enough.

    :param routes: routes in force
    :param age: age of the publication with these routes
    """

    __slots__ = ("age", "routes")

    def __init__(self, routes: PrefixMatcher, age: PublicationAge) -> None:
        self.routes = routes
        self.age = age

    def find(self, host: str, path: str, method: str) -> PublishedRoute:
        """Find the route of a request.

        :raises RouteNotFoundError: when no route matches
        :raises RoutesUnknownError: when a newer publication may have changed the result
        """
        if self.age.is_overdue:
            raise RoutesUnknownError("a newer publication is in force and has not arrived here")
        try:
            return self.routes.find(host, path, method)
        except RouteNotFoundError as error:
            if self.age.is_known_newest:
                raise
            # Callers do not retry after status 404.
            raise RoutesUnknownError("a newer publication may have the route") from error


class FleetRouting:
    """Newest publication that this entry has received; an older one never replaces it.

    :param age: age of the publication in force
    :param domain: failure domain of this entry
    """

    __slots__ = (
        "age",
        "changed",
        "choices",
        "demands",
        "domain",
        "matcher",
        "pools",
        "publication",
    )

    def __init__(self, age: PublicationAge, domain: str = "") -> None:
        self.age = age
        self.domain = domain
        #: Requests of callers that control has not been told yet.
        self.demands = DemandCounts()
        self.publication: Publication | None = None
        self.matcher: AgeCheckedMatcher | UnpublishedMatcher = UnpublishedMatcher()
        self.pools: dict[str, PublishedPool] = {}
        self.choices: dict[str, WeightedChoice] = {}
        #: Set once a publication is in force.
        self.changed = asyncio.Event()

    @property
    def revision(self) -> int:
        """Version in force, 0 before the first publication."""
        return self.publication.version if self.publication is not None else 0

    def pool_of(self, route: Route) -> Pool:
        """Return the pool for the next request of a route, and count the request."""
        choice = self.choices.get(route.name)
        pool = self.pools[choice.next() if choice is not None else route.pool]
        priority = route.priority if isinstance(route, PublishedRoute) else 0
        self.demands.count(pool.name, self.domain, priority)
        return pool

    def apply_part(
        self, part: fleet_pb2.PackedPublication, assembler: PublicationAssembler
    ) -> bool:
        """Add a part of a newer publication and return whether the publication is now in force.

        :param assembler: collects the parts received on the same stream
        :raises PublicationGapError: the part does not match the previous parts or the
            publication in force
        """
        if part.version <= self.revision:
            return False
        current_document = self.publication.document if self.publication is not None else None
        document = assembler.add_part(part, current_document)
        if document is None:
            return False
        self._apply(document)
        return True

    def _apply(self, document: dict[str, Any]) -> None:
        publication = Publication(document, self.publication)
        self.publication = publication
        self.pools = publication.pools
        self.matcher = AgeCheckedMatcher(publication.matcher, self.age)
        self.age.record_in_force(publication.version)
        self.choices = self._choices(publication)
        PUBLICATION_IN_FORCE.log(version=publication.version, routes=len(publication.routes))
        self.changed.set()

    def _choices(self, publication: Publication) -> dict[str, WeightedChoice]:
        """Return the weighted choices of split routes; unchanged shares keep their credits."""
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
