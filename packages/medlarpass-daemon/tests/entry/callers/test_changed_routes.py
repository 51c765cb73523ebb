"""Requests that wait in an entry while the routes change."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING
from typing import Any

import pytest

from medlarpass.tables import Pool
from medlarpass.tables import Route
from medlarpass.tables import RouteMatcher
from medlarpass_daemon.entry.callers import attempts

if TYPE_CHECKING:
    from collections.abc import Callable

#: Method and path of a request of each class that goes to a pool without owners.
REQUESTS = {"orders": ("POST", "/orders"), "art": ("GET", "/art/7"), "spots": ("POST", "/spots")}


async def change_while_waiting(world: Any, name: str, change: Callable[[], None]) -> Any:
    """Let a request wait for a place, change the routes and return its answer."""
    former = await world.server(slots=1)
    entry = await world.entry()
    place = entry.path.places._try([world.servers.targets[0]], frozenset())
    method, path = REQUESTS[name]
    waiting = asyncio.ensure_future(world.ask(path, method))
    await world.until(lambda: entry.path.places.waiting)
    change()
    place.dropped()
    return former, await waiting


@pytest.mark.parametrize("name", REQUESTS)
async def test_a_waiting_request_of_a_dropped_route_is_not_sent(world: Any, name: str) -> None:
    """Guards against a server that runs a request of a route dropped while the request waited."""

    def drop() -> None:
        del world.routing.routes[name]
        world.routing.matcher = RouteMatcher(world.routing.routes.values())
        world.routing.revision += 1

    former, reply = await change_while_waiting(world, name, drop)
    assert former.seen == []
    assert (reply.status, reply.document["outcome"]) == (404, "not-run")


@pytest.mark.parametrize("name", REQUESTS)
async def test_a_waiting_request_goes_to_the_new_pool_of_its_route(world: Any, name: str) -> None:
    """Guards against the former pool running a request that waited while its route moved."""
    present = await world.server()
    moved_to = world.servers.targets.pop()
    pools = {f"{name}-pool": world.servers.targets, "present": [moved_to]}
    world.servers.usable = lambda pool: list(pools[pool])

    def move() -> None:
        document = {**world.routing.routes[name].to_document(), "pool": "present"}
        world.routing.pools["present"] = Pool.from_document("present", {"owned": False})
        world.routing.routes[name] = Route.from_document(name, document)
        world.routing.matcher = RouteMatcher(world.routing.routes.values())
        world.routing.revision += 1

    former, reply = await change_while_waiting(world, name, move)
    assert (reply.status, len(present.seen), former.seen) == (200, 1, [])


async def test_a_waiting_request_whose_class_changes_is_refused(world: Any) -> None:
    """Guards against an order that is treated as an enquiry, or the other way round."""

    def change() -> None:
        document = {**world.routing.routes["art"].to_document(), "class": "order"}
        world.routing.routes["art"] = Route.from_document("art", document)
        world.routing.matcher = RouteMatcher(world.routing.routes.values())
        world.routing.revision += 1

    former, reply = await change_while_waiting(world, "art", change)
    assert former.seen == []
    assert (reply.status, reply.document["code"]) == (503, "route_changed")
    assert reply.document["outcome"] == "not-run"


async def test_a_request_that_waits_for_a_connection_goes_to_the_new_pool(
    world: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a route that moves between the choice of a server and the first byte."""
    former, present = await world.server(), await world.server()
    targets = list(world.servers.targets)
    pools = {"orders-pool": targets[:1], "present": targets[1:]}
    world.servers.usable = lambda pool: list(pools[pool])
    entry = await world.entry()
    exchange = attempts._exchange

    def moving(path: Any, request: Any, target: Any, pool: str) -> Any:
        if pool == "orders-pool":
            document = {**world.routing.routes["orders"].to_document(), "pool": "present"}
            world.routing.pools["present"] = Pool.from_document("present", {"owned": False})
            world.routing.routes["orders"] = Route.from_document("orders", document)
            world.routing.matcher = RouteMatcher(world.routing.routes.values())
            world.routing.revision += 1
        return exchange(path, request, target, pool)

    monkeypatch.setattr(attempts, "_exchange", moving)
    reply = await world.ask("/orders", "POST")
    assert (reply.status, len(former.seen), len(present.seen)) == (200, 0, 1)
    assert not entry.path.places.limiters[targets[0].identity].in_flight
