"""Turns a received request into a request with route, key and deadline."""

from __future__ import annotations

from functools import lru_cache
from typing import TYPE_CHECKING
from urllib.parse import parse_qsl
from urllib.parse import unquote

from medlarpass.tables import RequestClass
from medlarpass.tables.exceptions import MissingKeyError
from medlarpass_daemon.entry.callers import headers
from medlarpass_daemon.entry.callers.caller_body import CallerBody
from medlarpass_daemon.entry.callers.caller_request import REQUEST_TYPES
from medlarpass_daemon.entry.callers.exceptions import CallerError

if TYPE_CHECKING:
    from aiohttp import web

    from medlarpass.tables import KeySource
    from medlarpass.tables import Route
    from medlarpass_daemon.entry.callers.caller_request import CallerRequest
    from medlarpass_daemon.entry.callers.interfaces import RoutingTable
    from medlarpass_daemon.entry.callers.request_path import RequestPath


def read_request(web: web.BaseRequest, request_id: str, path: RequestPath) -> CallerRequest:
    """Find the route, key and deadline of a request.

    :raises CallerError: when the request is not valid
    :raises RouteNotFoundError: when no route matches
    :raises MissingKeyError: when the key of the route is missing
    """
    headers.check_headers(web.headers, web.version)
    target = _origin_form(web.raw_path)
    raw_path, _, query = target.partition("?")
    segments = _segments(raw_path)
    revision = path.routing.revision
    route = find_route(web, target, path.routing)
    pool = path.routing.pool_of(route)
    own = path.dialect.deadline_of(web.headers)
    allowed = route.deadline if own is None else min(route.deadline, own)
    return REQUEST_TYPES[route.request_class](
        web,
        request_id,
        target,
        route,
        pool,
        _key(web, route, segments, query) if pool.owned or not route.is_key_optional else None,
        path.clock.now() + allowed,
        CallerBody(web, _limit(web, route, path)),
        path.clock,
        revision,
    )


def find_route(web: web.BaseRequest, target: str, routing: RoutingTable) -> Route:
    """Find the route of a request.

    :param target: path with query, as the caller sent it
    :raises CallerError: when the path is not valid
    :raises RouteNotFoundError: when no route matches
    """
    raw_path = target.partition("?")[0]
    return routing.matcher.find(
        _host(web.headers.get("Host", "")), _joined(raw_path, _segments(raw_path)), web.method
    )


def _limit(web: web.BaseRequest, route: Route, path: RequestPath) -> int:
    is_held = route.request_class is RequestClass.ORDER or (
        route.request_class is RequestClass.UPLOAD
        and path.dialect.idempotency_key_of(web.headers) is not None
    )
    if is_held:
        return min(route.body_bytes, path.settings.order_body)
    return route.body_bytes


def _origin_form(target: str) -> str:
    """Return path and query; a request target may be a whole URL."""
    if not target.startswith("/"):
        _, separator, rest = target.partition("://")
        slash = rest.find("/")
        target = rest[slash:] if separator and slash >= 0 else "/"
    if "#" in target:
        raise CallerError("a request target has no fragment")
    return target


def _segments(raw_path: str) -> list[str]:
    """Return the segments of a path, still encoded.

    A server that resolves dot segments would run a request of another route than the one matched.
    """
    segments = raw_path.split("/")[1:]
    if "/." not in raw_path and "%" not in raw_path:
        return segments
    if any(_decoded(segment) in (".", "..") for segment in segments):
        raise CallerError("dot segments are not allowed in the path")
    return segments


def _joined(raw_path: str, segments: list[str]) -> str:
    """Return the decoded path, in which an encoded slash does not separate segments."""
    if "%" not in raw_path:
        return raw_path
    decoded = (_decoded(segment).replace("/", "%2F") for segment in segments)
    return "/" + "/".join(decoded)


def _decoded(text: str) -> str:
    if "%" not in text:
        return text
    try:
        return unquote(text, errors="strict")
    except UnicodeDecodeError as error:
        raise CallerError("the path is not UTF-8") from error


def _host(value: str) -> str:
    if value.startswith("["):
        return value.partition("]")[0] + "]"
    return value.partition(":")[0]


def _key(web: web.BaseRequest, route: Route, segments: list[str], query: str) -> str | None:
    source = route.key
    if source is None:
        return None
    values = _values(web, route, source, segments, query)
    if len(values) != 1 or not values[0]:
        raise MissingKeyError(f"expected one key in {source.location} {source.name}")
    return values[0]


def _values(
    web: web.BaseRequest, route: Route, source: KeySource, segments: list[str], query: str
) -> list[str]:
    if source.location == "header":
        return list(web.headers.getall(source.name, ()))
    if source.location == "path":
        return [_decoded(segments[_index(route.path, source.name)])]
    try:
        pairs = parse_qsl(query, keep_blank_values=True, errors="strict")
    except UnicodeDecodeError as error:
        raise CallerError("the query is not UTF-8") from error
    return [value for name, value in pairs if name == source.name]


@lru_cache
def _index(pattern: str, name: str) -> int:
    """Return the number of the segment that a pattern captures under a name."""
    return pattern.split("/")[1:].index(f"{{{name}}}")
