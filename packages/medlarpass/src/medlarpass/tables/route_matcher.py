"""Route lookup by host, path and method."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.tables.exceptions import AmbiguousRouteError
from medlarpass.tables.exceptions import RouteNotFoundError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from medlarpass.tables.route import Route

WILDCARD = "**"


class RouteMatch:
    """A matching route and its captured path segments.

    :param route: the matching route
    :param segments: captured path segments by name
    """

    __slots__ = ("route", "segments")

    def __init__(self, route: Route, segments: dict[str, str]) -> None:
        self.route = route
        self.segments = segments


class _Node:
    __slots__ = ("capture", "literals", "routes", "wildcard_routes")

    def __init__(self) -> None:
        self.literals: dict[str, _Node] = {}
        self.capture: _Node | None = None
        self.routes: dict[str, Route] = {}
        self.wildcard_routes: dict[str, Route] = {}


class RouteMatcher:
    """Prefix tree of path segments, one per host.

    A literal segment takes precedence over a captured one, and both over a trailing ``**``. A
    named host takes precedence over ``*``.

    :param routes: all routes of the table
    :raises AmbiguousRouteError: when two routes match the same requests with equal precedence
    """

    __slots__ = ("roots",)

    def __init__(self, routes: Iterable[Route]) -> None:
        self.roots: dict[str, _Node] = {}
        for route in routes:
            self._add(route)

    def match(self, host: str, path: str, method: str) -> RouteMatch:
        """Find the most specific route and its captured path segments.

        :param host: host name of the request, without port
        :param path: decoded path
        :param method: HTTP method
        :raises RouteNotFoundError: when no route matches
        """
        route = self.find(host, path, method)
        return RouteMatch(route, _captured_segments(route, _segments(path)))

    def find(self, host: str, path: str, method: str) -> Route:
        """Find the most specific route.

        :param host: host name of the request, without port
        :param path: decoded path
        :param method: HTTP method
        :raises RouteNotFoundError: when no route matches
        """
        segments = _segments(path)
        for name in (host.lower(), "*"):
            root = self.roots.get(name)
            route = _find(root, segments, 0, method) if root else None
            if route is not None:
                return route
        raise RouteNotFoundError(f"no route for {method} {host}{path}")

    def _add(self, route: Route) -> None:
        node = self.roots.setdefault(route.host, _Node())
        segments = _segments(route.path)
        has_wildcard = bool(segments) and segments[-1] == WILDCARD
        for segment in segments[:-1] if has_wildcard else segments:
            node = _get_or_add_child(node, segment)
        routes_by_method = node.wildcard_routes if has_wildcard else node.routes
        for method in route.methods:
            existing = routes_by_method.setdefault(method, route)
            if existing is not route:
                raise AmbiguousRouteError(
                    f"routes {existing.name} and {route.name} match the same requests ({method})"
                )


def _segments(path: str) -> list[str]:
    return [] if path == "/" else path.split("/")[1:]


def _is_capture(segment: str) -> bool:
    return segment.startswith("{")


def _get_or_add_child(node: _Node, segment: str) -> _Node:
    if not _is_capture(segment):
        return node.literals.setdefault(segment, _Node())
    if node.capture is None:
        node.capture = _Node()
    return node.capture


def _find(node: _Node, segments: list[str], depth: int, method: str) -> Route | None:
    if depth == len(segments):
        route = node.routes.get(method)
        return node.wildcard_routes.get(method) if route is None else route
    segment = segments[depth]
    for child in (node.literals.get(segment), node.capture if segment else None):
        route = _find(child, segments, depth + 1, method) if child is not None else None
        if route is not None:
            return route
    return node.wildcard_routes.get(method)


def _captured_segments(route: Route, segments: list[str]) -> dict[str, str]:
    pattern = _segments(route.path)
    return {
        part[1:-1]: value
        for part, value in zip(pattern, segments, strict=False)
        if _is_capture(part)
    }
