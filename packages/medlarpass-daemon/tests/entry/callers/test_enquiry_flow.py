"""Enquiries reach the present owner of their key and nobody else."""

from __future__ import annotations

import asyncio

from typing import Any

from yarl import URL


async def test_enquiry_reaches_owner_with_fence_and_deadline(world: Any) -> None:
    """Guards against a request without the grant that the server checks."""
    server = await world.server()
    world.owners.move("r1", world.target(server.port, fence=9))
    await world.entry()
    reply = await world.ask("/stock/r1?unit=m", headers={"Medlarpass-Fence": "99"})
    assert (reply.status, reply.body) == (200, b"done")
    seen = server.seen[0]
    assert seen.path == "/stock/r1?unit=m"
    assert seen.headers.getall("Medlarpass-Fence") == ["9"]
    assert seen.headers["Medlarpass-Shard"] == "7"
    assert 0 < int(seen.headers["Medlarpass-Deadline-Ms"]) <= 5000
    assert seen.headers["Medlarpass-Request-Id"] == reply.headers["Medlarpass-Request-Id"]


async def test_answer_is_dropped_when_key_moved(world: Any, kit: Any) -> None:
    """Guards against an answer of a server that lost the key before it answered (G1, G3)."""
    new = await world.server(kit.replying(kit.answer(b"new")))
    target = world.target(new.port, fence=2)

    async def move_then_answer(request: Any, reader: Any, writer: Any) -> None:
        world.owners.move("r1", target)
        writer.write(kit.answer(b"old"))

    old = await world.server(move_then_answer)
    world.owners.move("r1", world.target(old.port, fence=1))
    await world.entry()
    reply = await world.ask("/stock/r1")
    assert (reply.status, reply.body) == (200, b"new")
    assert (len(old.seen), len(new.seen)) == (1, 1)


async def test_enquiry_leaves_a_frozen_owner_when_the_key_moves(world: Any, kit: Any) -> None:
    """Guards against callers that wait for a lost server until their deadline."""
    asked = asyncio.Event()

    async def freeze(request: Any, reader: Any, writer: Any) -> None:
        asked.set()
        await reader.read()

    frozen = await world.server(freeze)
    world.owners.move("r1", world.target(frozen.port, fence=1))
    entry = await world.entry()
    waiting = asyncio.ensure_future(world.ask("/stock/r1"))
    await asked.wait()
    new = await world.server(kit.replying(kit.answer(b"new")))
    world.owners.move("r1", world.target(new.port, fence=2))
    reply = await asyncio.wait_for(waiting, 20)
    assert (reply.status, reply.body) == (200, b"new")
    assert entry.path.places.limiters[f"s{frozen.port}"].in_flight == 0
    assert not entry.path.owner_watch.attempts


async def test_request_is_not_sent_to_former_owner(world: Any) -> None:
    """Guards against a key that moves while the request waits for a connection."""
    former = await world.server(slots=1)
    target = world.target(former.port, slots=1, fence=1)
    world.owners.move("r1", target)
    entry = await world.entry()
    place = entry.path.places._try([target], frozenset())
    waiting = asyncio.ensure_future(world.ask("/stock/r1"))
    await world.until(lambda: entry.path.places.waiting)
    present = await world.server()
    world.owners.move("r1", world.target(present.port, fence=2))
    place.dropped()
    reply = await waiting
    assert reply.status == 200
    assert (len(former.seen), len(present.seen)) == (0, 1)


async def test_enquiry_waits_for_new_owner(world: Any) -> None:
    """Guards against failures during a planned move, when a key has no owner for a moment."""
    server = await world.server()
    await world.entry()
    waiting = asyncio.ensure_future(world.ask("/stock/r1"))
    await asyncio.sleep(0.05)
    world.owners.move("r1", world.target(server.port, fence=1))
    assert (await waiting).status == 200


async def test_enquiry_without_owner_ends_at_deadline(world: Any) -> None:
    """Guards against a wait without bound, and against a wrong outcome."""
    await world.entry()
    reply = await world.ask("/stock/r1", headers={"Medlarpass-Deadline-Ms": "60"})
    assert reply.status == 504
    assert reply.document["code"] == "deadline_exceeded"
    assert reply.document["outcome"] == "not-run"


async def test_stale_fence_is_rerouted_without_budget(world: Any, kit: Any) -> None:
    """Guards against failed requests in a planned move of a quiet route, whose budget is empty."""
    refusal = kit.answer(
        b"",
        "409 Conflict",
        "Medlarpass-Outcome: not-run\r\nMedlarpass-Refusal: not-owner\r\n",
    )
    server = await world.server(kit.replying(refusal), kit.replying(kit.answer()))
    world.owners.move("r1", world.target(server.port, fence=1))
    await world.entry()
    assert (await world.ask("/stock/r1")).status == 200
    assert len(server.seen) == 2


async def test_lost_answer_is_retried_within_budget(world: Any, kit: Any) -> None:
    """Guards against a lost retry, and against a retry without budget."""
    server = await world.server(kit.resetting, kit.replying(kit.answer()), kit.resetting)
    world.owners.move("r1", world.target(server.port, fence=1))
    await world.entry()
    without = await world.ask("/stock/r1")
    assert (without.status, without.document["outcome"]) == (502, "unknown")
    assert len(server.seen) == 1
    world.allow_retries("stock")
    server.behaviours = [kit.resetting, kit.resetting, kit.replying(kit.answer())]
    assert (await world.ask("/stock/r1")).status == 200
    assert len(server.seen) == 3


async def test_outcome_of_earlier_attempt_is_kept(world: Any, kit: Any) -> None:
    """Guards against "not run" for a request whose first attempt may have run."""
    server = await world.server(kit.resetting)

    async def leave(request: Any, reader: Any, writer: Any) -> None:
        world.owners.move("r1", None)
        writer.transport.abort()

    server.behaviours = [leave]
    world.owners.move("r1", world.target(server.port, fence=1))
    await world.entry()
    world.allow_retries("stock")
    reply = await world.ask("/stock/r1", headers={"Medlarpass-Deadline-Ms": "200"})
    assert (reply.status, reply.document["outcome"]) == (504, "unknown")


async def test_caller_gone_cancels_enquiry_at_server(world: Any) -> None:
    """Guards against servers that work for callers that are gone."""
    world.routing.add(
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

    server = await world.server(hang)
    world.owners.move("r1", world.target(server.port, fence=1))
    entry = await world.entry()
    _, writer = await world.connect()
    writer.write(b"GET /slow/r1 HTTP/1.1\r\nHost: x\r\n\r\n")
    await world.until(lambda: server.seen)
    writer.close()
    await asyncio.wait_for(server.broken.wait(), 20)
    await world.until(lambda: entry.in_flight == 0)


async def test_key_with_encoded_slash_is_one_segment(world: Any) -> None:
    """Guards against a key cut at an encoded slash, which would reach another owner."""
    server = await world.server()
    world.owners.move("a/b%", world.target(server.port, fence=1))
    await world.entry()
    entry = world.entries[0]
    url = URL(f"http://127.0.0.1:{entry.port}/stock/a%2Fb%25", encoded=True)
    async with world.callers.get(url) as response:
        assert response.status == 200
    assert server.seen[0].path == "/stock/a%2Fb%25"
