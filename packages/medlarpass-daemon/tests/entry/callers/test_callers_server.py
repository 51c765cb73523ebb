"""Start, graceful shutdown, limits and metrics of the callers' server."""

from __future__ import annotations

import asyncio

from typing import Any

import pytest

from medlarpass_daemon.entry.callers import server_selector


async def test_planned_stop_finishes_long_responses(harness: Any, builders: Any) -> None:
    """Guards against a download that a graceful shutdown truncates (G7)."""
    resume = asyncio.Event()

    async def slow(request: Any, reader: Any, writer: Any) -> None:
        writer.write(builders.response_bytes(b"x" * 100_000, length=200_000))
        await resume.wait()
        writer.write(b"x" * 100_000)

    await harness.start_server(slow)
    entry = await harness.start_entry()
    download = asyncio.ensure_future(harness.send("/art/a"))
    await harness.wait_until(lambda: harness.scripted_servers[0].requests)
    stop = asyncio.ensure_future(entry.finish(3600))
    await asyncio.sleep(0.4)
    assert not stop.done()
    with pytest.raises(ConnectionError):
        await harness.connect()
    resume.set()
    assert len((await download).body) == 200_000
    assert await stop is True


async def test_upload_goes_on_in_planned_stop(harness: Any) -> None:
    """Guards against a request body that is no longer read once the shutdown began (G7)."""
    server = await harness.start_server()
    entry = await harness.start_entry()
    reader, writer = await harness.connect()
    writer.write(b"PUT /art/a HTTP/1.1\r\nHost: x\r\nContent-Length: 200000\r\n\r\n")
    writer.write(b"x" * 100_000)
    await harness.wait_until(lambda: server.requests)
    stop = asyncio.ensure_future(entry.finish(3600))
    await asyncio.sleep(0.3)
    writer.write(b"x" * 100_000)
    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 20)
    assert head.startswith(b"HTTP/1.1 200")
    assert b"Connection: close" in head
    assert len(server.requests[0].body) == 200_000
    assert await stop is True
    writer.close()


async def test_idle_connection_is_closed_and_draining_ends_keepalive(harness: Any) -> None:
    """Guards against a shutdown that waits for idle connections, and callers that reuse them."""
    await harness.start_server()
    entry = await harness.start_entry()
    reader, writer = await harness.connect()
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


async def test_stop_closes_idle_connection_itself(harness: Any) -> None:
    """Guards against a shutdown that lasts until callers close their idle connections."""
    await harness.start_server()
    entry = await harness.start_entry()
    reader, writer = await harness.connect()
    writer.write(b"GET /art/a HTTP/1.1\r\nHost: x\r\n\r\n")
    await reader.readuntil(b"done")
    stop = asyncio.ensure_future(entry.finish(3600))
    assert await asyncio.wait_for(reader.read(), 20) == b""
    assert await asyncio.wait_for(stop, 20) is True
    writer.close()


async def test_stop_waits_for_record_of_order(harness: Any, builders: Any) -> None:
    """Guards against an outcome that is lost because the process stopped."""
    await harness.start_server()
    entry = await harness.start_entry()
    harness.claims.failing_completions = 5
    reply = await harness.send("/orders", "POST", data=b"x", headers={"Idempotency-Key": "k"})
    assert reply.status == 200
    assert await entry.finish(3600) is True
    assert harness.claims.completions == 1


async def test_stop_is_bounded(harness: Any) -> None:
    """Guards against a shutdown that never ends."""

    async def hang(request: Any, reader: Any, writer: Any) -> None:
        await asyncio.sleep(60)

    await harness.start_server(hang)
    entry = await harness.start_entry()
    pending = asyncio.ensure_future(harness.send("/art/a"))
    await harness.wait_until(lambda: entry.in_flight)
    assert await entry.finish(0.1) is False
    await asyncio.gather(pending, return_exceptions=True)


async def start_blocked_server(harness: Any, builders: Any) -> tuple[Any, asyncio.Event]:
    resume = asyncio.Event()

    async def wait(request: Any, reader: Any, writer: Any) -> None:
        await resume.wait()
        writer.write(builders.response_bytes())

    return await harness.start_server(wait, slots=100), resume


async def test_full_queue_refuses_early(harness: Any, builders: Any) -> None:
    """Guards against an unbounded queue, and against requests that wait but can't be served."""
    limits = {"concurrency": 1, "queue": 1}
    harness.routing.add(
        "tight", path="/tight", methods=["GET"], limits=limits, **{"class": "download"}
    )
    server, resume = await start_blocked_server(harness, builders)
    entry = await harness.start_entry()
    first = asyncio.ensure_future(harness.send("/tight"))
    await harness.wait_until(lambda: server.requests)
    second = asyncio.ensure_future(harness.send("/tight"))
    await harness.wait_until(lambda: entry.context.admission.queued == 1)
    refused = await harness.send("/tight")
    assert (refused.status, refused.document["code"]) == (503, "queue_full")
    assert refused.document["outcome"] == "not-run"
    assert refused.headers["Retry-After"] == "1"
    assert len(server.requests) == 1
    resume.set()
    assert [(await first).status, (await second).status] == [200, 200]
    assert entry.context.admission.queued == 0
    assert entry.metrics.refusals.labels("queue_full")._value.get() == 1


async def test_queued_requests_are_refused_before_a_stop_ends(harness: Any, builders: Any) -> None:
    """Guards against requests that a planned stop cuts off although no server has got them.

    Their callers could not know that another entry can run them, orders included.
    """
    limits = {"concurrency": 1, "queue": 5}
    harness.routing.add(
        "tight", path="/tight", methods=["POST"], limits=limits, **{"class": "order"}
    )
    server, resume = await start_blocked_server(harness, builders)
    entry = await harness.start_entry()
    first = asyncio.ensure_future(harness.send("/tight", "POST", data=b"x"))
    await harness.wait_until(lambda: server.requests)
    queued = [asyncio.ensure_future(harness.send("/tight", "POST", data=b"x")) for _ in range(3)]
    await harness.wait_until(lambda: entry.context.admission.queued == 3)
    stop = asyncio.ensure_future(entry.finish(0.5))
    refused = [await request for request in queued]
    assert [reply.status for reply in refused] == [503] * 3
    assert {reply.document["code"] for reply in refused} == {"entry_stopping"}
    assert {reply.document["outcome"] for reply in refused} == {"not-run"}
    assert not stop.done()
    resume.set()
    assert (await first).status == 200
    assert await stop is True
    assert len(server.requests) == 1


async def test_new_limits_of_a_route_are_in_force(harness: Any, builders: Any) -> None:
    """Guards against limits that ignore a change of the configuration."""
    server, resume = await start_blocked_server(harness, builders)
    await harness.start_entry()
    first = asyncio.ensure_future(harness.send("/art/a"))
    await harness.wait_until(lambda: server.requests)
    limits = {"concurrency": 1, "queue": 0}
    harness.routing.add(
        "art", path="/art/**", methods=["GET"], limits=limits, **{"class": "download"}
    )
    assert (await harness.send("/art/a")).document["code"] == "queue_full"
    resume.set()
    assert (await first).status == 200
    assert (await harness.send("/art/a")).status == 200


async def test_deadline_in_queue_is_not_run(harness: Any, builders: Any) -> None:
    """Guards against "unknown" for a request that never left the queue, and a lost queue slot."""
    limits = {"concurrency": 1, "queue": 5}
    harness.routing.add(
        "tight", path="/tight", methods=["GET"], limits=limits, **{"class": "download"}
    )
    server, resume = await start_blocked_server(harness, builders)
    entry = await harness.start_entry()
    first = asyncio.ensure_future(harness.send("/tight"))
    await harness.wait_until(lambda: server.requests)
    late = await harness.send("/tight", headers={"Medlarpass-Deadline-Ms": "50"})
    assert (late.status, late.document["outcome"]) == (504, "not-run")
    assert entry.context.admission.queued == 0
    resume.set()
    assert (await first).status == 200
    assert (await harness.send("/tight")).status == 200
    assert len(server.requests) == 2


async def test_caller_gone_in_queue_leaves_it(harness: Any, builders: Any) -> None:
    """Guards against queue slots kept by callers that disconnected."""
    limits = {"concurrency": 1, "queue": 5}
    harness.routing.add(
        "tight", path="/tight", methods=["GET"], limits=limits, **{"class": "download"}
    )
    server, resume = await start_blocked_server(harness, builders)
    entry = await harness.start_entry()
    first = asyncio.ensure_future(harness.send("/tight"))
    await harness.wait_until(lambda: server.requests)
    _, writer = await harness.connect()
    writer.write(b"GET /tight HTTP/1.1\r\nHost: x\r\n\r\n")
    await harness.wait_until(lambda: entry.context.admission.queued == 1)
    writer.close()
    await harness.wait_until(lambda: entry.context.admission.queued == 0)
    resume.set()
    assert (await first).status == 200
    assert (await harness.send("/tight")).status == 200
    assert len(server.requests) == 2


async def test_busy_route_leaves_room_for_others(harness: Any, builders: Any) -> None:
    """Guards against a route whose downloads use the whole capacity of the entry."""
    harness.routing.add("quick", path="/quick", methods=["GET"], **{"class": "download"})
    server, resume = await start_blocked_server(harness, builders)
    entry = await harness.start_entry(concurrency=8)
    for name in ("quick", "art"):
        entry.context.admission.state_of(harness.routing.routes[name])
    art_requests = [asyncio.ensure_future(harness.send("/art/a")) for _ in range(20)]
    await harness.wait_until(lambda: entry.context.admission.queued)
    art_count = len(server.requests)
    other = asyncio.ensure_future(harness.send("/quick"))
    await harness.wait_until(lambda: any(request.path == "/quick" for request in server.requests))
    assert art_count < 8
    resume.set()
    assert {reply.status for reply in await asyncio.gather(other, *art_requests)} == {200}


async def test_server_gets_no_more_than_its_slots(
    harness: Any, builders: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against one entry that overloads a server, and against waiters that never wake."""
    monkeypatch.setattr(server_selector, "RECHECK_INTERVAL_SECONDS", 3600.0)
    running, peak = 0, 0

    async def count(request: Any, reader: Any, writer: Any) -> None:
        nonlocal running, peak
        running += 1
        peak = max(peak, running)
        await asyncio.sleep(0.01)
        running -= 1
        writer.write(builders.response_bytes())

    await harness.start_server(count, slots=2)
    entry = await harness.start_entry()
    replies = await asyncio.gather(*(harness.send("/art/a") for _ in range(30)))
    assert {reply.status for reply in replies} == {200}
    assert peak <= 2
    assert not entry.context.server_selector.waiting
    assert entry.context.server_selector.balancer.own_report() == {}


async def test_orders_go_to_the_less_loaded_server(harness: Any, builders: Any) -> None:
    """Guards against a server selection that ignores the in-flight requests of peers."""
    busy = await harness.start_server(slots=4)
    idle = await harness.start_server(slots=4)
    harness.peer_loads.update("e2", {f"s{busy.port}": 4}, harness.clock.now() + 60)
    await harness.start_entry()
    for _ in range(20):
        await harness.send("/orders", "POST", data=b"x")
    assert (len(idle.requests), len(busy.requests)) == (20, 0)


async def test_no_server_is_refused_at_once(harness: Any) -> None:
    """Guards against requests that wait for a pool without servers."""
    await harness.start_entry()
    reply = await harness.send("/orders", "POST", data=b"x")
    assert (reply.status, reply.document["code"]) == (503, "no_server")
    assert reply.document["outcome"] == "not-run"


async def test_failing_server_is_ejected(harness: Any, builders: Any) -> None:
    """Guards against a failing server that keeps its share of requests."""
    broken = await harness.start_server(builders.reset_connection)
    for _ in range(2):
        await harness.start_server()
    await harness.start_entry()
    for _ in range(60):
        await harness.send("/orders", "POST", data=b"x")
    assert len(broken.requests) <= 8


async def test_retried_request_counts_as_run(harness: Any, builders: Any) -> None:
    """Guards against successful requests that are counted as unknown."""
    await harness.start_server(
        builders.reset_connection, builders.respond_with(builders.response_bytes())
    )
    entry = await harness.start_entry()
    harness.allow_retries("art")
    assert (await harness.send("/art/a")).status == 200
    assert entry.metrics.requests.labels("art", "run")._value.get() == 1
    assert entry.metrics.requests.labels("art", "unknown")._value.get() == 0
    assert entry.metrics.retries.labels("art")._value.get() == 1


async def test_metrics_are_counted(harness: Any) -> None:
    """Guards against metrics that miss requests."""
    await harness.start_server()
    entry = await harness.start_entry()
    await harness.send("/art/a")
    await harness.send("/nothing")
    count = entry.metrics.requests.labels
    assert count("art", "run")._value.get() == 1
    assert count("-", "not-run")._value.get() == 1
    assert entry.metrics.latency.labels("art")._sum.get() > 0
    assert entry.metrics.in_flight._value.get() == 0


@pytest.mark.parametrize("turns", range(5))
async def test_a_stop_answers_a_request_that_was_just_read(harness: Any, turns: int) -> None:
    """Guards against a shutdown that closes a connection whose request has no handler yet.

    :param turns: iterations of the event loop between the arrival of the request and the shutdown
    """
    await harness.start_server()
    entry = await harness.start_entry()
    reader, writer = await harness.connect()
    await harness.wait_until(entry._connections)
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


async def test_responses_end_their_connections_before_the_listener_closes(harness: Any) -> None:
    """Guards against callers that keep their connections until the end of a graceful shutdown."""
    await harness.start_server()
    entry = await harness.start_entry()
    entry.start_draining()
    reader, writer = await harness.connect()
    writer.write(b"GET /art/a HTTP/1.1\r\nHost: x\r\n\r\n")
    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 20)
    assert b"Connection: close" in head
    writer.close()
