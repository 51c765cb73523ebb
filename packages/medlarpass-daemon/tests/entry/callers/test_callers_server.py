"""Start, planned stop, limits and figures of the callers' server."""

from __future__ import annotations

import asyncio

from typing import Any

import pytest

from medlarpass_daemon.entry.callers import places


async def test_planned_stop_finishes_long_answers(world: Any, kit: Any) -> None:
    """Guards against a download that a planned stop cuts off (G7)."""
    go_on = asyncio.Event()

    async def slow(request: Any, reader: Any, writer: Any) -> None:
        writer.write(kit.answer(b"x" * 100_000, length=200_000))
        await go_on.wait()
        writer.write(b"x" * 100_000)

    await world.server(slow)
    entry = await world.entry()
    download = asyncio.ensure_future(world.ask("/art/a"))
    await world.until(lambda: world.stand_ins[0].seen)
    stop = asyncio.ensure_future(entry.finish(3600))
    await asyncio.sleep(0.4)
    assert not stop.done()
    with pytest.raises(ConnectionError):
        await world.connect()
    go_on.set()
    assert len((await download).body) == 200_000
    assert await stop is True


async def test_upload_goes_on_in_planned_stop(world: Any) -> None:
    """Guards against a request body that is no longer read once the stop began (G7)."""
    server = await world.server()
    entry = await world.entry()
    reader, writer = await world.connect()
    writer.write(b"PUT /art/a HTTP/1.1\r\nHost: x\r\nContent-Length: 200000\r\n\r\n")
    writer.write(b"x" * 100_000)
    await world.until(lambda: server.seen)
    stop = asyncio.ensure_future(entry.finish(3600))
    await asyncio.sleep(0.3)
    writer.write(b"x" * 100_000)
    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 20)
    assert head.startswith(b"HTTP/1.1 200")
    assert b"Connection: close" in head
    assert len(server.seen[0].body) == 200_000
    assert await stop is True
    writer.close()


async def test_idle_connection_is_closed_and_drain_says_so(world: Any) -> None:
    """Guards against a stop that waits for idle connections, and callers that reuse them."""
    await world.server()
    entry = await world.entry()
    reader, writer = await world.connect()
    request = b"GET /art/a HTTP/1.1\r\nHost: x\r\n\r\n"
    writer.write(request)
    assert b"Connection: close" not in await reader.readuntil(b"done")
    entry.stop_accepting()
    writer.write(request)
    assert b"Connection: close" in await reader.readuntil(b"done")
    idle_reader, idle_writer = reader, writer
    assert await entry.finish(3600) is True
    assert await idle_reader.read() == b""
    idle_writer.close()


async def test_stop_closes_idle_connection_itself(world: Any) -> None:
    """Guards against a stop that lasts until callers close their idle connections."""
    await world.server()
    entry = await world.entry()
    reader, writer = await world.connect()
    writer.write(b"GET /art/a HTTP/1.1\r\nHost: x\r\n\r\n")
    await reader.readuntil(b"done")
    stop = asyncio.ensure_future(entry.finish(3600))
    assert await asyncio.wait_for(reader.read(), 20) == b""
    assert await asyncio.wait_for(stop, 20) is True
    writer.close()


async def test_stop_waits_for_record_of_order(world: Any, kit: Any) -> None:
    """Guards against an outcome that is lost because the process stopped."""
    await world.server()
    entry = await world.entry()
    world.claims.failing_completions = 5
    reply = await world.ask("/orders", "POST", data=b"x", headers={"Idempotency-Key": "k"})
    assert reply.status == 200
    assert await entry.finish(3600) is True
    assert world.claims.completions == 1


async def test_stop_is_bounded(world: Any) -> None:
    """Guards against a stop that never ends."""

    async def hang(request: Any, reader: Any, writer: Any) -> None:
        await asyncio.sleep(60)

    await world.server(hang)
    entry = await world.entry()
    asked = asyncio.ensure_future(world.ask("/art/a"))
    await world.until(lambda: entry.in_flight)
    assert await entry.finish(0.1) is False
    await asyncio.gather(asked, return_exceptions=True)


async def hold_servers(world: Any, kit: Any) -> tuple[Any, asyncio.Event]:
    go_on = asyncio.Event()

    async def wait(request: Any, reader: Any, writer: Any) -> None:
        await go_on.wait()
        writer.write(kit.answer())

    return await world.server(wait, slots=100), go_on


async def test_full_queue_refuses_early(world: Any, kit: Any) -> None:
    """Guards against a queue without bound, and against waiting for nothing."""
    limits = {"concurrency": 1, "queue": 1}
    world.routing.add(
        "tight", path="/tight", methods=["GET"], limits=limits, **{"class": "download"}
    )
    server, go_on = await hold_servers(world, kit)
    entry = await world.entry()
    first = asyncio.ensure_future(world.ask("/tight"))
    await world.until(lambda: server.seen)
    second = asyncio.ensure_future(world.ask("/tight"))
    await world.until(lambda: entry.path.admission.queued == 1)
    refused = await world.ask("/tight")
    assert (refused.status, refused.document["code"]) == (503, "queue_full")
    assert refused.document["outcome"] == "not-run"
    assert refused.headers["Retry-After"] == "1"
    assert len(server.seen) == 1
    go_on.set()
    assert [(await first).status, (await second).status] == [200, 200]
    assert entry.path.admission.queued == 0
    assert entry.metrics.refusals.labels("queue_full")._value.get() == 1


async def test_new_limits_of_a_route_are_in_force(world: Any, kit: Any) -> None:
    """Guards against limits that only hold until the configuration changes."""
    server, go_on = await hold_servers(world, kit)
    await world.entry()
    first = asyncio.ensure_future(world.ask("/art/a"))
    await world.until(lambda: server.seen)
    limits = {"concurrency": 1, "queue": 0}
    world.routing.add(
        "art", path="/art/**", methods=["GET"], limits=limits, **{"class": "download"}
    )
    assert (await world.ask("/art/a")).document["code"] == "queue_full"
    go_on.set()
    assert (await first).status == 200
    assert (await world.ask("/art/a")).status == 200


async def test_deadline_in_queue_is_not_run(world: Any, kit: Any) -> None:
    """Guards against "unknown" for a request that never left the queue, and a lost place."""
    limits = {"concurrency": 1, "queue": 5}
    world.routing.add(
        "tight", path="/tight", methods=["GET"], limits=limits, **{"class": "download"}
    )
    server, go_on = await hold_servers(world, kit)
    entry = await world.entry()
    first = asyncio.ensure_future(world.ask("/tight"))
    await world.until(lambda: server.seen)
    late = await world.ask("/tight", headers={"Medlarpass-Deadline-Ms": "50"})
    assert (late.status, late.document["outcome"]) == (504, "not-run")
    assert entry.path.admission.queued == 0
    go_on.set()
    assert (await first).status == 200
    assert (await world.ask("/tight")).status == 200
    assert len(server.seen) == 2


async def test_caller_gone_in_queue_leaves_it(world: Any, kit: Any) -> None:
    """Guards against places of the queue kept by callers that are gone."""
    limits = {"concurrency": 1, "queue": 5}
    world.routing.add(
        "tight", path="/tight", methods=["GET"], limits=limits, **{"class": "download"}
    )
    server, go_on = await hold_servers(world, kit)
    entry = await world.entry()
    first = asyncio.ensure_future(world.ask("/tight"))
    await world.until(lambda: server.seen)
    _, writer = await world.connect()
    writer.write(b"GET /tight HTTP/1.1\r\nHost: x\r\n\r\n")
    await world.until(lambda: entry.path.admission.queued == 1)
    writer.close()
    await world.until(lambda: entry.path.admission.queued == 0)
    go_on.set()
    assert (await first).status == 200
    assert (await world.ask("/tight")).status == 200
    assert len(server.seen) == 2


async def test_busy_route_leaves_room_for_others(world: Any, kit: Any) -> None:
    """Guards against a route whose downloads take the whole entry."""
    world.routing.add("quick", path="/quick", methods=["GET"], **{"class": "download"})
    server, go_on = await hold_servers(world, kit)
    entry = await world.entry(concurrency=8)
    for name in ("quick", "art"):
        entry.path.admission.state_of(world.routing.routes[name])
    many = [asyncio.ensure_future(world.ask("/art/a")) for _ in range(20)]
    await world.until(lambda: entry.path.admission.queued)
    seen = len(server.seen)
    other = asyncio.ensure_future(world.ask("/quick"))
    await world.until(lambda: any(request.path == "/quick" for request in server.seen))
    assert seen < 8
    go_on.set()
    assert {reply.status for reply in await asyncio.gather(other, *many)} == {200}


async def test_server_gets_no_more_than_its_slots(
    world: Any, kit: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against one entry that overloads a server, and against lost waiters."""
    monkeypatch.setattr(places, "LOOK_AGAIN", 3600.0)
    present, most = 0, 0

    async def count(request: Any, reader: Any, writer: Any) -> None:
        nonlocal present, most
        present += 1
        most = max(most, present)
        await asyncio.sleep(0.01)
        present -= 1
        writer.write(kit.answer())

    await world.server(count, slots=2)
    entry = await world.entry()
    replies = await asyncio.gather(*(world.ask("/art/a") for _ in range(30)))
    assert {reply.status for reply in replies} == {200}
    assert most <= 2
    assert not entry.path.places.waiting
    assert entry.path.places.balancer.own_report() == {}


async def test_orders_go_to_the_less_loaded_server(world: Any, kit: Any) -> None:
    """Guards against a choice that ignores what peers have in flight."""
    busy = await world.server(slots=4)
    idle = await world.server(slots=4)
    world.peer_loads.update("e2", {f"s{busy.port}": 4}, world.clock.now() + 60)
    await world.entry()
    for _ in range(20):
        await world.ask("/orders", "POST", data=b"x")
    assert (len(idle.seen), len(busy.seen)) == (20, 0)


async def test_no_server_is_refused_at_once(world: Any) -> None:
    """Guards against waiting for a pool that has no server."""
    await world.entry()
    reply = await world.ask("/orders", "POST", data=b"x")
    assert (reply.status, reply.document["code"]) == (503, "no_server")
    assert reply.document["outcome"] == "not-run"


async def test_failing_server_is_ejected(world: Any, kit: Any) -> None:
    """Guards against a broken server that keeps its share of requests."""
    broken = await world.server(kit.resetting)
    for _ in range(2):
        await world.server()
    await world.entry()
    for _ in range(60):
        await world.ask("/orders", "POST", data=b"x")
    assert len(broken.seen) <= 8


async def test_retried_request_counts_as_run(world: Any, kit: Any) -> None:
    """Guards against answered requests that are counted as unknown."""
    await world.server(kit.resetting, kit.replying(kit.answer()))
    entry = await world.entry()
    world.allow_retries("art")
    assert (await world.ask("/art/a")).status == 200
    assert entry.metrics.requests.labels("art", "run")._value.get() == 1
    assert entry.metrics.requests.labels("art", "unknown")._value.get() == 0
    assert entry.metrics.retries.labels("art")._value.get() == 1


async def test_figures_are_counted(world: Any) -> None:
    """Guards against metrics that miss requests."""
    await world.server()
    entry = await world.entry()
    await world.ask("/art/a")
    await world.ask("/nothing")
    count = entry.metrics.requests.labels
    assert count("art", "run")._value.get() == 1
    assert count("-", "not-run")._value.get() == 1
    assert entry.metrics.latency.labels("art")._sum.get() > 0
    assert entry.metrics.in_flight._value.get() == 0


@pytest.mark.parametrize("turns", range(5))
async def test_a_stop_answers_a_request_that_was_just_read(world: Any, turns: int) -> None:
    """Guards against a stop that closes a connection whose request has no handler yet.

    :param turns: turns of the event loop between the arrival of the request and the stop
    """
    await world.server()
    entry = await world.entry()
    reader, writer = await world.connect()
    await world.until(entry._connections)
    entry.stop_accepting()
    idle = entry._close_idle(set())
    (connection,) = entry._connections()
    connection.data_received(b"GET /art/a HTTP/1.1\r\nHost: x\r\n\r\n")
    for _ in range(turns):
        await asyncio.sleep(0)
    entry._close_idle(idle)
    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 20)
    assert head.startswith(b"HTTP/1.1 200")
    writer.close()


async def test_answers_end_their_connections_before_the_listener_closes(world: Any) -> None:
    """Guards against callers that stay until the last moment of a planned stop."""
    await world.server()
    entry = await world.entry()
    entry.announce_stop()
    reader, writer = await world.connect()
    writer.write(b"GET /art/a HTTP/1.1\r\nHost: x\r\n\r\n")
    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 20)
    assert b"Connection: close" in head
    writer.close()
