"""Enquiries reach the current owner of their key and no other server."""

from __future__ import annotations

import asyncio

from typing import Any

from yarl import URL


async def test_enquiry_reaches_owner_with_fence_and_deadline(harness: Any) -> None:
    """Guards against a request without the shard and fence that the server checks."""
    server = await harness.start_server()
    harness.owners.move("r1", harness.target(server.port, fence=9))
    await harness.start_entry()
    reply = await harness.send("/stock/r1?unit=m", headers={"Medlarpass-Fence": "99"})
    assert (reply.status, reply.body) == (200, b"done")
    seen = server.requests[0]
    assert seen.path == "/stock/r1?unit=m"
    assert seen.headers.getall("Medlarpass-Fence") == ["9"]
    assert seen.headers["Medlarpass-Shard"] == "7"
    assert 0 < int(seen.headers["Medlarpass-Deadline-Ms"]) <= 5000
    assert seen.headers["Medlarpass-Request-Id"] == reply.headers["Medlarpass-Request-Id"]


async def test_response_is_dropped_when_key_moved(harness: Any, builders: Any) -> None:
    """Guards against a response of a server that lost the key before it responded (G1, G3)."""
    new = await harness.start_server(builders.respond_with(builders.response_bytes(b"new")))
    target = harness.target(new.port, fence=2)

    async def move_then_answer(request: Any, reader: Any, writer: Any) -> None:
        harness.owners.move("r1", target)
        writer.write(builders.response_bytes(b"old"))

    old = await harness.start_server(move_then_answer)
    harness.owners.move("r1", harness.target(old.port, fence=1))
    await harness.start_entry()
    reply = await harness.send("/stock/r1")
    assert (reply.status, reply.body) == (200, b"new")
    assert (len(old.requests), len(new.requests)) == (1, 1)


async def test_enquiry_leaves_a_frozen_owner_when_the_key_moves(
    harness: Any, builders: Any
) -> None:
    """Guards against callers that wait for a lost server until their deadline."""
    asked = asyncio.Event()

    async def freeze(request: Any, reader: Any, writer: Any) -> None:
        asked.set()
        await reader.read()

    frozen = await harness.start_server(freeze)
    harness.owners.move("r1", harness.target(frozen.port, fence=1))
    entry = await harness.start_entry()
    waiting = asyncio.ensure_future(harness.send("/stock/r1"))
    await asked.wait()
    new = await harness.start_server(builders.respond_with(builders.response_bytes(b"new")))
    harness.owners.move("r1", harness.target(new.port, fence=2))
    reply = await asyncio.wait_for(waiting, 20)
    assert (reply.status, reply.body) == (200, b"new")
    assert entry.context.server_selector.limiters[f"s{frozen.port}"].in_flight == 0
    assert not entry.context.owner_watch.attempts


async def test_request_is_not_sent_to_former_owner(harness: Any) -> None:
    """Guards against a key that moves while the request waits for a connection."""
    former = await harness.start_server(slots=1)
    target = harness.target(former.port, slots=1, fence=1)
    harness.owners.move("r1", target)
    entry = await harness.start_entry()
    permit = entry.context.server_selector._try_acquire([target], frozenset())
    waiting = asyncio.ensure_future(harness.send("/stock/r1"))
    await harness.wait_until(lambda: entry.context.server_selector.waiting)
    present = await harness.start_server()
    harness.owners.move("r1", harness.target(present.port, fence=2))
    permit.cancelled()
    reply = await waiting
    assert reply.status == 200
    assert (len(former.requests), len(present.requests)) == (0, 1)


async def test_enquiry_waits_for_new_owner(harness: Any) -> None:
    """Guards against failures during a planned move, when a key briefly has no owner."""
    server = await harness.start_server()
    await harness.start_entry()
    waiting = asyncio.ensure_future(harness.send("/stock/r1"))
    await asyncio.sleep(0.05)
    harness.owners.move("r1", harness.target(server.port, fence=1))
    assert (await waiting).status == 200


async def test_enquiry_without_owner_ends_at_deadline(harness: Any) -> None:
    """Guards against an unbounded wait, and against a wrong outcome."""
    await harness.start_entry()
    reply = await harness.send("/stock/r1", headers={"Medlarpass-Deadline-Ms": "60"})
    assert reply.status == 504
    assert reply.document["code"] == "deadline_exceeded"
    assert reply.document["outcome"] == "not-run"


async def test_stale_fence_is_rerouted_without_budget(harness: Any, builders: Any) -> None:
    """Guards against failures in a planned move for a route with an empty retry budget.

    The budget of a route with few requests is empty.
    """
    refusal = builders.response_bytes(
        b"",
        "409 Conflict",
        "Medlarpass-Outcome: not-run\r\nMedlarpass-Refusal: not-owner\r\n",
    )
    server = await harness.start_server(
        builders.respond_with(refusal), builders.respond_with(builders.response_bytes())
    )
    harness.owners.move("r1", harness.target(server.port, fence=1))
    await harness.start_entry()
    assert (await harness.send("/stock/r1")).status == 200
    assert len(server.requests) == 2


async def test_lost_response_is_retried_within_budget(harness: Any, builders: Any) -> None:
    """Guards against a missing retry, and against a retry without budget."""
    server = await harness.start_server(
        builders.reset_connection,
        builders.respond_with(builders.response_bytes()),
        builders.reset_connection,
    )
    harness.owners.move("r1", harness.target(server.port, fence=1))
    await harness.start_entry()
    without = await harness.send("/stock/r1")
    assert (without.status, without.document["outcome"]) == (502, "unknown")
    assert len(server.requests) == 1
    harness.allow_retries("stock")
    server.behaviours = [
        builders.reset_connection,
        builders.reset_connection,
        builders.respond_with(builders.response_bytes()),
    ]
    assert (await harness.send("/stock/r1")).status == 200
    assert len(server.requests) == 3


async def test_outcome_of_earlier_attempt_is_kept(harness: Any, builders: Any) -> None:
    """Guards against "not run" for a request whose first attempt may have run."""
    server = await harness.start_server(builders.reset_connection)

    async def leave(request: Any, reader: Any, writer: Any) -> None:
        harness.owners.move("r1", None)
        writer.transport.abort()

    server.behaviours = [leave]
    harness.owners.move("r1", harness.target(server.port, fence=1))
    await harness.start_entry()
    harness.allow_retries("stock")
    reply = await harness.send("/stock/r1", headers={"Medlarpass-Deadline-Ms": "200"})
    assert (reply.status, reply.document["outcome"]) == (504, "unknown")


async def test_caller_gone_cancels_enquiry_at_server(harness: Any) -> None:
    """Guards against servers that process requests of callers that disconnected."""
    harness.routing.add(
        "slow",
        owned=True,
        path="/slow/{roll}",
        methods=["GET"],
        key={"from": "path", "name": "roll"},
        deadline_ms=3_600_000,
        **{"class": "enquiry"},
    )

    async def hang(request: Any, reader: Any, writer: Any) -> None:
        assert await reader.read(1) == b""
        raise ConnectionResetError

    server = await harness.start_server(hang)
    harness.owners.move("r1", harness.target(server.port, fence=1))
    entry = await harness.start_entry()
    _, writer = await harness.connect()
    writer.write(b"GET /slow/r1 HTTP/1.1\r\nHost: x\r\n\r\n")
    await harness.wait_until(lambda: server.requests)
    writer.close()
    await asyncio.wait_for(server.connection_lost.wait(), 20)
    await harness.wait_until(lambda: entry.in_flight == 0)


async def test_key_with_encoded_slash_is_one_segment(harness: Any) -> None:
    """Guards against a key truncated at an encoded slash, which would reach another owner."""
    server = await harness.start_server()
    harness.owners.move("a/b%", harness.target(server.port, fence=1))
    await harness.start_entry()
    entry = harness.entries[0]
    url = URL(f"http://127.0.0.1:{entry.port}/stock/a%2Fb%25", encoded=True)
    async with harness.callers.get(url) as response:
        assert response.status == 200
    assert server.requests[0].path == "/stock/a%2Fb%25"
