"""Guards against routes that starve others, long downloads above all."""

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


def fill(subject: FairShare, route: str) -> int:
    started = 0
    while subject.try_start(route):
        started += 1
    return started


@pytest.mark.parametrize(("route", "most"), [("artwork", 5), ("dispatch", 16), ("stock", 15)])
def test_route_alone_borrows_by_its_class(route: str, most: int) -> None:
    assert fill(FairShare(20, SHARES), route) == most


def test_flood_of_downloads_leaves_the_orders_their_share() -> None:
    subject = FairShare(20, SHARES)
    fill(subject, "artwork")
    assert fill(subject, "dispatch") >= subject.guaranteed("dispatch")


def test_every_route_gets_a_place_in_the_smallest_capacity() -> None:
    subject = FairShare(3, SHARES)
    assert all(subject.guaranteed(share.route) >= 1 for share in SHARES)


def test_places_come_back() -> None:
    subject = FairShare(4, SHARES)
    before = fill(subject, "dispatch")
    for _ in range(before):
        subject.finished("dispatch")
    assert fill(subject, "dispatch") == before


def test_waiting_route_with_least_use_per_weight_is_next() -> None:
    subject = FairShare(20, SHARES)
    for route in ["artwork", "dispatch", "dispatch", "stock", "stock"]:
        assert subject.try_start(route)
    assert subject.next_route(["stock", "dispatch"]) == "dispatch"
    assert subject.next_route(["stock"]) == "stock"
    assert subject.next_route([]) is None


def test_route_without_share_is_an_error() -> None:
    with pytest.raises(UnknownRouteError):
        FairShare(4, SHARES).try_start("other")


def test_capacity_holds_under_any_order_of_starts_and_ends() -> None:
    rng = random.Random(3)
    subject = FairShare(7, SHARES)
    for _ in range(5000):
        route = rng.choice(SHARES).route
        if rng.random() < 0.6:
            subject.try_start(route)
        elif subject.in_flight[route]:
            subject.finished(route)
        assert 0 <= sum(subject.in_flight.values()) <= 7
