"""Selects the route with the longest matching path prefix."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.publication.exceptions import InvalidPublicationError
from medlarpass.tables import RouteNotFoundError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from medlarpass.publication.published_route import PublishedRoute


class PrefixMatcher:
    """Routes by host and prefix; every prefix starts and ends with a slash.

    The work of a look-up grows with the different lengths of the prefixes and not with the path,
    whose length and slashes a caller chooses.

    :param routes: all routes
    :raises InvalidPublicationError: when two routes share host and prefix
    """

    __slots__ = ("hosts", "lengths")

    def __init__(self, routes: Iterable[PublishedRoute]) -> None:
        self.hosts: dict[str, dict[str, PublishedRoute]] = {}
        for route in routes:
            existing = self.hosts.setdefault(route.host, {}).setdefault(route.prefix, route)
            if existing is not route:
                raise InvalidPublicationError(
                    f"routes {existing.name} and {route.name} share host and prefix"
                )
        #: Lengths of the prefixes of each host, longest first.
        self.lengths = {
            host: sorted({len(prefix) for prefix in prefixes}, reverse=True)
            for host, prefixes in self.hosts.items()
        }

    def find(self, host: str, path: str, method: str) -> PublishedRoute:
        """Find the route of a request.

        :param host: host name without port
        :param path: path as sent by the caller
        :param method: HTTP method; not used for the selection
        :raises RouteNotFoundError: when no route matches
        """
        name = host.lower()
        for length in self.lengths.get(name, ()):
            if path[length - 1 : length] != "/":
                continue
            route = self.hosts[name].get(path[:length])
            if route is not None:
                return route
        raise RouteNotFoundError(f"no route for {method} {host}{path}")
