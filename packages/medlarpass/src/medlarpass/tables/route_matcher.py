"""Finds the route of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.tables.exceptions import AmbiguousRouteError
from medlarpass.tables.exceptions import RouteNotFoundError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from medlarpass.tables.route import Route

WILDCARD = "**"


class RouteMatch:
    """A route and the path segments it captured.

    :param route: the matching route
    :param segments: captured path segments by name
    """

    __slots__ = ("route", "segments")

    def __init__(self, route: Route, segments: dict[str, str]) -> None:
        self.route = route
        self.segments = segments


class _Node:
    __slots__ = ("capture", "literals", "routes", "wildcard")

    def __init__(self) -> None:
        self.literals: dict[str, _Node] = {}
        self.capture: _Node | None = None
        self.routes: dict[str, Route] = {}
        self.wildcard: dict[str, Route] = {}


class RouteMatcher:
    """Prefix tree over path segments, one for each host.

    A literal segment wins over a captured one, and both over a trailing ``**``; a named host wins
    over ``*``.

    :param routes: all routes of the table
    :raises AmbiguousRouteError: when two routes match the same requests equally well
    """

    __slots__ = ("hosts",)

    def __init__(self, routes: Iterable[Route]) -> None:
        self.hosts: dict[str, _Node] = {}
        for route in routes:
            self._add(route)

    def match(self, host: str, path: str, method: str) -> RouteMatch:
        """Find the most specific route and the segments that it captures.

        :param host: host name of the request, without port
        :param path: decoded path
        :param method: HTTP method
        :raises RouteNotFoundError: when no route matches
        """
        route = self.find(host, path, method)
        return RouteMatch(route, _named(route, _segments(path)))

    def find(self, host: str, path: str, method: str) -> Route:
        """Find the most specific route.

        :param host: host name of the request, without port
        :param path: decoded path
        :param method: HTTP method
        :raises RouteNotFoundError: when no route matches
        """
        segments = _segments(path)
        for name in (host.lower(), "*"):
            root = self.hosts.get(name)
            route = _find(root, segments, 0, method) if root else None
            if route is not None:
                return route
        raise RouteNotFoundError(f"no route for {method} {host}{path}")

    def _add(self, route: Route) -> None:
        node = self.hosts.setdefault(route.host, _Node())
        segments = _segments(route.path)
        wildcard = bool(segments) and segments[-1] == WILDCARD
        for segment in segments[:-1] if wildcard else segments:
            node = _child(node, segment)
        target = node.wildcard if wildcard else node.routes
        for method in route.methods:
            other = target.setdefault(method, route)
            if other is not route:
                raise AmbiguousRouteError(
                    f"routes {other.name} and {route.name} match the same requests ({method})"
                )


def _segments(path: str) -> list[str]:
    return [] if path == "/" else path.split("/")[1:]


def _is_capture(segment: str) -> bool:
    return segment.startswith("{")


def _child(node: _Node, segment: str) -> _Node:
    if not _is_capture(segment):
        return node.literals.setdefault(segment, _Node())
    if node.capture is None:
        node.capture = _Node()
    return node.capture


def _find(node: _Node, segments: list[str], depth: int, method: str) -> Route | None:
    if depth == len(segments):
        route = node.routes.get(method)
        return node.wildcard.get(method) if route is None else route
    segment = segments[depth]
    for child in (node.literals.get(segment), node.capture if segment else None):
        route = _find(child, segments, depth + 1, method) if child is not None else None
        if route is not None:
            return route
    return node.wildcard.get(method)


def _named(route: Route, segments: list[str]) -> dict[str, str]:
    pattern = _segments(route.path)
    return {
        part[1:-1]: value
        for part, value in zip(pattern, segments, strict=False)
        if _is_capture(part)
    }
