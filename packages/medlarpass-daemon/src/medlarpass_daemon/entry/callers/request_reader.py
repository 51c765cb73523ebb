"""Determines the route, key and deadline of a received request."""

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
    from medlarpass_daemon.entry.callers.request_context import RequestContext


def read_request(web: web.BaseRequest, request_id: str, context: RequestContext) -> CallerRequest:
    """Return the request with its route, key and deadline.

    :raises CallerError: when the request is not valid
    :raises RouteNotFoundError: when no route matches
    :raises MissingKeyError: when the key of the route is missing
    """
    headers.check_headers(web.headers, web.version)
    target = _origin_form(web.raw_path)
    raw_path, _, query = target.partition("?")
    segments = _path_segments(raw_path)
    revision = context.routing.revision
    route = find_route(web, target, context.routing)
    pool = context.routing.pool_of(route)
    caller_deadline = context.dialect.deadline_of(web.headers)
    timeout = route.deadline if caller_deadline is None else min(route.deadline, caller_deadline)
    return REQUEST_TYPES[route.request_class](
        web,
        request_id,
        target,
        route,
        pool,
        (
            _extract_key(web, route, segments, query)
            if pool.owned or not route.is_key_optional
            else None
        ),
        context.clock.now() + timeout,
        CallerBody(web, _body_limit(web, route, context), context.body_budget),
        context.clock,
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
        _host_without_port(web.headers.get("Host", "")),
        _decoded_path(raw_path, _path_segments(raw_path)),
        web.method,
    )


def _body_limit(web: web.BaseRequest, route: Route, context: RequestContext) -> int:
    is_buffered = route.request_class is RequestClass.ORDER or (
        route.request_class is RequestClass.UPLOAD
        and context.dialect.idempotency_key_of(web.headers) is not None
    )
    if is_buffered:
        return min(route.body_bytes, context.settings.order_body)
    return route.body_bytes


def _origin_form(target: str) -> str:
    """Return path and query of a request target, which may be an absolute URL."""
    if not target.startswith("/"):
        _, separator, rest = target.partition("://")
        slash = rest.find("/")
        target = rest[slash:] if separator and slash >= 0 else "/"
    if "#" in target:
        raise CallerError("the request target must not contain a fragment")
    return target


def _path_segments(raw_path: str) -> list[str]:
    """Return the segments of a path, percent-encoded as received.

    Dot segments are rejected: a server that resolves them would run a request that belongs to
    a route other than the matched one.
    """
    segments = raw_path.split("/")[1:]
    if "/." not in raw_path and "%" not in raw_path:
        return segments
    if any(_percent_decoded(segment) in (".", "..") for segment in segments):
        raise CallerError("dot segments are not allowed in the path")
    return segments


def _decoded_path(raw_path: str, segments: list[str]) -> str:
    """Return the decoded path; encoded slashes stay encoded and separate no segments."""
    if "%" not in raw_path:
        return raw_path
    decoded = (_percent_decoded(segment).replace("/", "%2F") for segment in segments)
    return "/" + "/".join(decoded)


def _percent_decoded(text: str) -> str:
    if "%" not in text:
        return text
    try:
        return unquote(text, errors="strict")
    except UnicodeDecodeError as error:
        raise CallerError("the path is not UTF-8") from error


def _host_without_port(value: str) -> str:
    if value.startswith("["):
        return value.partition("]")[0] + "]"
    return value.partition(":")[0]


def _extract_key(web: web.BaseRequest, route: Route, segments: list[str], query: str) -> str | None:
    source = route.key
    if source is None:
        return None
    values = _key_values(web, route, source, segments, query)
    if len(values) != 1 or not values[0]:
        raise MissingKeyError(f"expected exactly one key in {source.location} {source.name}")
    return values[0]


def _key_values(
    web: web.BaseRequest, route: Route, source: KeySource, segments: list[str], query: str
) -> list[str]:
    if source.location == "header":
        return list(web.headers.getall(source.name, ()))
    if source.location == "path":
        return [_percent_decoded(segments[_segment_index(route.path, source.name)])]
    try:
        pairs = parse_qsl(query, keep_blank_values=True, errors="strict")
    except UnicodeDecodeError as error:
        raise CallerError("the query is not UTF-8") from error
    return [value for name, value in pairs if name == source.name]


@lru_cache
def _segment_index(pattern: str, name: str) -> int:
    """Return the index of the path segment that a pattern captures under a name."""
    return pattern.split("/")[1:].index(f"{{{name}}}")
