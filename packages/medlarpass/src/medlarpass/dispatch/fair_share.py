"""Fair sharing of an entry's concurrency among its routes."""

from __future__ import annotations

from math import ceil
from typing import TYPE_CHECKING

from medlarpass.base import Value
from medlarpass.dispatch.exceptions import UnknownRouteError
from medlarpass.tables import RequestClass

if TYPE_CHECKING:
    from collections.abc import Iterable

# Share of the other routes' unused guarantees that a borrowing route must leave free. A download
# or upload occupies its capacity too long to return it in time; an enquiry or order returns it
# within milliseconds.
RESERVED_RATIO_BY_CLASS = {
    RequestClass.ENQUIRY: 0.25,
    RequestClass.ORDER: 0.25,
    RequestClass.DOWNLOAD: 1.0,
    RequestClass.UPLOAD: 1.0,
}


class RouteShare(Value):
    """Capacity share of one route.

    :param route: name of the route
    :param request_class: request class of the route
    :param weight: weight of the route relative to the other routes
    """

    __slots__ = ("request_class", "route", "weight")

    def __init__(self, route: str, request_class: RequestClass, weight: float = 1.0) -> None:
        self.route = route
        self.request_class = request_class
        self.weight = weight


class FairShare:
    """Guarantees each route its share and lends unused capacity to other routes.

    :param capacity: limit of concurrent requests of all routes together
    :param shares: shares of the routes
    """

    __slots__ = ("capacity", "guarantees", "in_flight", "shares", "total_in_flight")

    def __init__(self, capacity: int, shares: Iterable[RouteShare]) -> None:
        self.capacity = capacity
        self.shares = {share.route: share for share in shares}
        self.in_flight = dict.fromkeys(self.shares, 0)
        #: Requests in flight of all routes; kept as a running total because each request reads it.
        self.total_in_flight = 0
        total = sum(share.weight for share in self.shares.values())
        self.guarantees = {
            route: max(int(capacity * share.weight / total), 1)
            for route, share in self.shares.items()
        }

    def guaranteed(self, route: str) -> int:
        """Return the number of concurrent requests guaranteed to a route, at least one.

        :raises UnknownRouteError: if the route has no share
        """
        return self.guarantees[self._share(route).route]

    def can_start(self, route: str) -> bool:
        """Return whether a request of the route may start now.

        :raises UnknownRouteError: if the route has no share
        """
        share = self._share(route)
        free = self.capacity - self.total_in_flight
        if free <= 0:
            return False
        if self.in_flight[route] < self.guarantees[route]:
            return True
        reserved_ratio = RESERVED_RATIO_BY_CLASS[share.request_class]
        reserved_count = sum(
            max(ceil(self.guarantees[other] * reserved_ratio) - self.in_flight[other], 0)
            for other in self.shares
            if other != route
        )
        return free > reserved_count

    def try_start(self, route: str) -> bool:
        """Start a request of the route if it may start now."""
        if not self.can_start(route):
            return False
        self.in_flight[route] += 1
        self.total_in_flight += 1
        return True

    def finished(self, route: str) -> None:
        """Record the end of a request of the route."""
        self.in_flight[route] -= 1
        self.total_in_flight -= 1

    def carry_over(self, previous: FairShare) -> None:
        """Copy the in-flight counts of routes that still have a share.

        :param previous: instance that this one replaces
        """
        for route, count in previous.in_flight.items():
            if route in self.in_flight:
                self.total_in_flight += count - self.in_flight[route]
                self.in_flight[route] = count

    def next_route(self, waiting: Iterable[str]) -> str | None:
        """Return the waiting route with the least use per weight that may start, if any."""
        ready = [route for route in waiting if self.can_start(route)]
        return min(ready, key=self._use_per_weight, default=None)

    def _share(self, route: str) -> RouteShare:
        if route not in self.shares:
            raise UnknownRouteError(f"route {route!r} has no share")
        return self.shares[route]

    def _use_per_weight(self, route: str) -> float:
        return self.in_flight[route] / self.shares[route].weight
