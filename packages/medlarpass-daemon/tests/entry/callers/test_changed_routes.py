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

#: Method and path of a request of each class that uses pools without key owners.
REQUESTS = {"orders": ("POST", "/orders"), "art": ("GET", "/art/7"), "spots": ("POST", "/spots")}


async def change_while_waiting(harness: Any, name: str, change: Callable[[], None]) -> Any:
    """Let a request wait for a permit, change the routes and return the response."""
    former_server = await harness.start_server(slots=1)
    entry = await harness.start_entry()
    permit = entry.context.server_selector._try_acquire([harness.servers.targets[0]], frozenset())
    method, path = REQUESTS[name]
    waiting = asyncio.ensure_future(harness.send(path, method))
    await harness.wait_until(lambda: entry.context.server_selector.waiting)
    change()
    permit.cancelled()
    return former_server, await waiting


@pytest.mark.parametrize("name", REQUESTS)
async def test_a_waiting_request_of_a_dropped_route_is_not_sent(harness: Any, name: str) -> None:
    """Guards against a server that runs a request of a route dropped while the request waited."""

    def drop() -> None:
        del harness.routing.routes[name]
        harness.routing.matcher = RouteMatcher(harness.routing.routes.values())
        harness.routing.revision += 1

    former_server, reply = await change_while_waiting(harness, name, drop)
    assert former_server.requests == []
    assert (reply.status, reply.document["outcome"]) == (404, "not-run")


@pytest.mark.parametrize("name", REQUESTS)
async def test_a_waiting_request_goes_to_the_new_pool_of_its_route(harness: Any, name: str) -> None:
    """Guards against the former pool running a request that waited while its route moved."""
    new_server = await harness.start_server()
    moved_to = harness.servers.targets.pop()
    pools = {f"{name}-pool": harness.servers.targets, "present": [moved_to]}
    harness.servers.available_servers = lambda pool: list(pools[pool])

    def move() -> None:
        document = {**harness.routing.routes[name].to_document(), "pool": "present"}
        harness.routing.pools["present"] = Pool.from_document("present", {"owned": False})
        harness.routing.routes[name] = Route.from_document(name, document)
        harness.routing.matcher = RouteMatcher(harness.routing.routes.values())
        harness.routing.revision += 1

    former_server, reply = await change_while_waiting(harness, name, move)
    assert (reply.status, len(new_server.requests), former_server.requests) == (200, 1, [])


async def test_a_waiting_request_whose_class_changes_is_refused(harness: Any) -> None:
    """Guards against an order that is handled as an enquiry, or the reverse."""

    def change() -> None:
        document = {**harness.routing.routes["art"].to_document(), "class": "order"}
        harness.routing.routes["art"] = Route.from_document("art", document)
        harness.routing.matcher = RouteMatcher(harness.routing.routes.values())
        harness.routing.revision += 1

    former_server, reply = await change_while_waiting(harness, "art", change)
    assert former_server.requests == []
    assert (reply.status, reply.document["code"]) == (503, "route_changed")
    assert reply.document["outcome"] == "not-run"


async def test_a_request_that_waits_for_a_connection_goes_to_the_new_pool(
    harness: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a route that moves between the choice of a server and the first byte sent."""
    former_server, new_server = await harness.start_server(), await harness.start_server()
    targets = list(harness.servers.targets)
    pools = {"orders-pool": targets[:1], "present": targets[1:]}
    harness.servers.available_servers = lambda pool: list(pools[pool])
    entry = await harness.start_entry()
    build_exchange = attempts._build_exchange

    def move_route_then_build(context: Any, request: Any, target: Any, pool: str) -> Any:
        if pool == "orders-pool":
            document = {**harness.routing.routes["orders"].to_document(), "pool": "present"}
            harness.routing.pools["present"] = Pool.from_document("present", {"owned": False})
            harness.routing.routes["orders"] = Route.from_document("orders", document)
            harness.routing.matcher = RouteMatcher(harness.routing.routes.values())
            harness.routing.revision += 1
        return build_exchange(context, request, target, pool)

    monkeypatch.setattr(attempts, "_build_exchange", move_route_then_build)
    reply = await harness.send("/orders", "POST")
    assert (reply.status, len(former_server.requests), len(new_server.requests)) == (200, 0, 1)
    assert not entry.context.server_selector.limiters[targets[0].identity].in_flight


async def test_a_request_that_waits_for_a_connection_leaves_an_evacuated_server(
    harness: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a request sent to a domain that was evacuated after its server was chosen."""
    servers = [await harness.start_server(), await harness.start_server()]
    targets = list(harness.servers.targets)
    await harness.start_entry()
    build_exchange = attempts._build_exchange
    evacuated: list[Any] = []

    def evacuate_then_build(context: Any, request: Any, target: Any, pool: str) -> Any:
        if not evacuated:
            evacuated.append(target)
            harness.servers.evacuated.add(target.identity)
            harness.servers.targets = [other for other in targets if other != target]
        return build_exchange(context, request, target, pool)

    monkeypatch.setattr(attempts, "_build_exchange", evacuate_then_build)
    reply = await harness.send("/orders", "POST")
    requests = {
        target.identity: len(server.requests)
        for target, server in zip(targets, servers, strict=True)
    }
    assert reply.status == 200
    assert requests.pop(evacuated[0].identity) == 0
    assert list(requests.values()) == [1]
