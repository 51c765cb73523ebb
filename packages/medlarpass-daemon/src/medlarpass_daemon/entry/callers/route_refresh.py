"""Holds a request that waits against the routes in force when it leaves."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass_daemon.entry.callers.exceptions import RouteChangedError
from medlarpass_daemon.entry.callers.request_reader import find_route

if TYPE_CHECKING:
    from medlarpass_daemon.entry.callers.caller_request import CallerRequest
    from medlarpass_daemon.entry.callers.request_context import RequestContext


def refresh_route(context: RequestContext, request: CallerRequest) -> None:
    """Give a request the route and the pool that are in force now.

    The pool stays while the route allows it, so that a request keeps its share of a split.

    :raises RouteNotFoundError: the route was dropped
    :raises RouteChangedError: the request would have to be read and treated in another way
    """
    revision = context.routing.revision
    if revision == request.revision:
        return
    route = find_route(request.web, request.path, context.routing)
    if request.pool.name in route.pool_names:
        pool = context.routing.pools[request.pool.name]
    else:
        pool = context.routing.pool_of(route)
    if route.request_class is not request.route.request_class or pool.owned != request.pool.owned:
        raise RouteChangedError(f"route {route.name} has changed while the request waited")
    request.route, request.pool, request.revision = route, pool, revision
