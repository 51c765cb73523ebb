"""Guards against routes that starve others, in particular with long downloads."""

from __future__ import annotations

import random

import pytest

from medlarpass.dispatch import FairShare
from medlarpass.dispatch import RequestClass
from medlarpass.dispatch import RouteShare
from medlarpass.dispatch import UnknownRouteError

SHARES = [
    RouteShare("artwork", RequestClass.DOWNLOAD, 1.0),
    RouteShare("dispatch", RequestClass.ORDER, 2.0),
    RouteShare("stock", RequestClass.ENQUIRY, 1.0),
]


def start_until_refused(fair_share: FairShare, route: str) -> int:
    started = 0
    while fair_share.try_start(route):
        started += 1
    return started


@pytest.mark.parametrize(
    ("route", "max_in_flight"), [("artwork", 5), ("dispatch", 16), ("stock", 15)]
)
def test_single_route_borrows_as_its_class_allows(route: str, max_in_flight: int) -> None:
    assert start_until_refused(FairShare(20, SHARES), route) == max_in_flight


def test_many_downloads_leave_orders_their_share() -> None:
    fair_share = FairShare(20, SHARES)
    start_until_refused(fair_share, "artwork")
    assert start_until_refused(fair_share, "dispatch") >= fair_share.guaranteed("dispatch")


def test_every_route_is_guaranteed_one_request_at_the_smallest_capacity() -> None:
    fair_share = FairShare(3, SHARES)
    assert all(fair_share.guaranteed(share.route) >= 1 for share in SHARES)


def test_finished_requests_free_their_capacity() -> None:
    fair_share = FairShare(4, SHARES)
    started = start_until_refused(fair_share, "dispatch")
    for _ in range(started):
        fair_share.finished("dispatch")
    assert start_until_refused(fair_share, "dispatch") == started


def test_waiting_route_with_least_use_per_weight_is_next() -> None:
    fair_share = FairShare(20, SHARES)
    for route in ["artwork", "dispatch", "dispatch", "stock", "stock"]:
        assert fair_share.try_start(route)
    assert fair_share.next_route(["stock", "dispatch"]) == "dispatch"
    assert fair_share.next_route(["stock"]) == "stock"
    assert fair_share.next_route([]) is None


def test_route_without_share_is_an_error() -> None:
    with pytest.raises(UnknownRouteError):
        FairShare(4, SHARES).try_start("other")


def test_capacity_holds_under_any_order_of_starts_and_ends() -> None:
    rng = random.Random(3)
    fair_share = FairShare(7, SHARES)
    for _ in range(5000):
        route = rng.choice(SHARES).route
        if rng.random() < 0.6:
            fair_share.try_start(route)
        elif fair_share.in_flight[route]:
            fair_share.finished(route)
        assert 0 <= sum(fair_share.in_flight.values()) <= 7
