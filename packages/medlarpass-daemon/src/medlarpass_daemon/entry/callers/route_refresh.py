"""Applies the routes currently in force to a request that has waited."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass_daemon.entry.callers.exceptions import RouteChangedError
from medlarpass_daemon.entry.callers.request_reader import find_route

if TYPE_CHECKING:
    from medlarpass_daemon.entry.callers.caller_request import CallerRequest
    from medlarpass_daemon.entry.callers.request_context import RequestContext


def refresh_route(context: RequestContext, request: CallerRequest) -> None:
    """Update a request to the route and the pool that are currently in force.

    The pool is kept while the route still uses it, so that traffic splits keep their shares.

    :raises RouteNotFoundError: the route was deleted
    :raises RouteChangedError: the request class or the kind of the pool changed
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
        raise RouteChangedError(f"route {route.name} changed while the request waited")
    request.route, request.pool, request.revision = route, pool, revision
