"""Orders run at most once."""

from __future__ import annotations

import asyncio

from typing import Any

import pytest

IDEMPOTENCY_HEADERS = {"Idempotency-Key": "k1"}
SHED_HEADERS = "Medlarpass-Outcome: not-run\r\nMedlarpass-Refusal: shedding\r\n"


async def send_order(
    harness: Any, entry: Any = None, body: bytes = b"two rolls", **options: Any
) -> Any:
    options.setdefault("headers", IDEMPOTENCY_HEADERS)
    return await harness.send("/orders", "POST", entry, data=body, **options)


def total_requests(harness: Any) -> int:
    return sum(len(server.requests) for server in harness.scripted_servers)


async def test_repeat_gets_recorded_response(harness: Any, builders: Any) -> None:
    """Guards against running a repeated order again (G5)."""
    server = await harness.start_server(
        builders.respond_with(builders.response_bytes(b"no. 1", "201 Created", "X-A: b\r\n"))
    )
    await harness.start_entry()
    first, second = await send_order(harness), await send_order(harness)
    assert (first.status, second.status) == (201, 201)
    assert first.body == second.body == b"no. 1"
    assert second.headers["X-A"] == "b"
    assert "Medlarpass-Replayed" not in first.headers
    assert second.headers["Medlarpass-Replayed"] == "true"
    assert len(server.requests) == 1


async def test_repeat_through_another_entry_gets_recorded_response(harness: Any) -> None:
    """Guards against claims that are known to only one entry."""
    await harness.start_server()
    entries = [await harness.start_entry(), await harness.start_entry()]
    assert (await send_order(harness, entries[0])).body == b"done"
    assert (await send_order(harness, entries[1])).headers["Medlarpass-Replayed"] == "true"
    assert total_requests(harness) == 1


async def test_two_entries_at_once_run_it_once(harness: Any, builders: Any) -> None:
    """Guards against two entries that both send an order."""

    async def slow(request: Any, reader: Any, writer: Any) -> None:
        await asyncio.sleep(0.1)
        writer.write(builders.response_bytes())

    await harness.start_server(slow)
    entries = [await harness.start_entry(), await harness.start_entry()]
    replies = await asyncio.gather(*(send_order(harness, entry) for entry in entries * 5))
    assert total_requests(harness) == 1
    codes = sorted(reply.status for reply in replies)
    assert codes.count(200) == 1
    assert {reply.document["code"] for reply in replies if reply.status == 409} == {
        "order_in_progress"
    }


async def test_frozen_entry_does_not_send_after_its_deadline(harness: Any) -> None:
    """Guards against an order of an entry that was suspended between claim and send (G5).

    The frozen entry holds the claim, so that a repeat through another entry is refused as in
    progress until the frozen entry has released it.
    """
    await harness.start_server()
    entries = [await harness.start_entry(), await harness.start_entry()]
    frozen, thawed = asyncio.Event(), asyncio.Event()

    async def freeze() -> None:
        harness.claims.after_claim = None
        frozen.set()
        await thawed.wait()
        harness.clock.offset += 3600

    harness.claims.after_claim = freeze
    first = asyncio.ensure_future(send_order(harness, entries[0]))
    await frozen.wait()
    resent = await send_order(harness, entries[1])
    assert (resent.status, resent.document["outcome"]) == (409, "unknown")
    thawed.set()
    reply = await first
    assert (reply.status, reply.document["outcome"]) == (504, "not-run")
    assert (total_requests(harness), harness.claims.releases) == (0, 1)
    assert (await send_order(harness, entries[1])).body == b"done"
    assert total_requests(harness) == 1


async def test_other_body_conflicts(harness: Any) -> None:
    """Guards against the response to one order being returned for another."""
    await harness.start_server()
    await harness.start_entry()
    await send_order(harness)
    reply = await send_order(harness, body=b"three rolls")
    assert (reply.status, reply.document["code"]) == (422, "idempotency_key_conflict")
    assert total_requests(harness) == 1


async def test_order_is_not_resent_after_lost_response(harness: Any, builders: Any) -> None:
    """Guards against a second run, even with retry budget and a second server (G5)."""
    for _ in range(2):
        await harness.start_server(builders.reset_connection)
    await harness.start_entry()
    harness.allow_retries("orders")
    for headers in (IDEMPOTENCY_HEADERS, {}):
        reply = await send_order(harness, headers=headers)
        assert (reply.status, reply.document["outcome"]) == (502, "unknown")
    assert total_requests(harness) == 2
    assert (await send_order(harness)).document["code"] == "order_in_progress"
    assert total_requests(harness) == 2
    assert harness.claims.releases == 0


async def test_order_is_sent_once_when_reused_connection_closes(
    harness: Any, builders: Any
) -> None:
    """Guards against a resend when the server closes the connection as it is written (G5)."""
    server = await harness.start_server(
        builders.respond_with(builders.response_bytes()), builders.reset_connection
    )
    await harness.start_entry()
    harness.allow_retries("orders")
    assert (await send_order(harness, headers={})).status == 200
    reply = await send_order(harness, headers={})
    assert (reply.status, reply.document["outcome"]) == (502, "unknown")
    assert (server.connections, len(server.requests)) == (1, 2)


async def test_shed_order_goes_to_next_server(harness: Any, builders: Any) -> None:
    """Guards against a missing retry although the server reports that the order did not run."""
    for _ in range(2):
        await harness.start_server(
            builders.respond_with(builders.response_bytes(b"", "503 Busy", SHED_HEADERS)),
            builders.respond_with(builders.response_bytes()),
        )
    await harness.start_entry()
    harness.allow_retries("orders")
    for server in harness.scripted_servers:
        server.behaviours = [
            builders.respond_with(builders.response_bytes(b"", "503 Busy", SHED_HEADERS))
        ]
    shedding = harness.scripted_servers[0]
    harness.scripted_servers[1].behaviours = [
        builders.respond_with(builders.response_bytes(b"ran"))
    ]
    for number in range(8):
        reply = await send_order(harness, headers={"Idempotency-Key": f"k{number}"})
        assert (reply.status, reply.body) == (200, b"ran")
    assert shedding.requests


async def test_claim_is_released_after_not_run(harness: Any, builders: Any) -> None:
    """Guards against an order that never ran but can't be repeated."""
    await harness.start_server(
        builders.respond_with(builders.response_bytes(b"", "503 Busy", SHED_HEADERS)),
        builders.respond_with(builders.response_bytes()),
    )
    await harness.start_entry()
    reply = await send_order(harness)
    assert (reply.status, reply.document["outcome"]) == (503, "not-run")
    assert reply.headers["Retry-After"] == "1"
    again = await send_order(harness)
    assert (again.status, again.body) == (200, b"done")
    assert "Medlarpass-Replayed" not in again.headers


async def test_unavailable_ledger_refuses_keyed_orders_only(harness: Any) -> None:
    """Guards against an order sent without a confirmed claim."""
    await harness.start_server()
    await harness.start_entry()
    harness.claims.is_unavailable = True
    reply = await send_order(harness)
    assert (reply.status, reply.document["code"]) == (503, "ledger_unavailable")
    # An earlier request with the same key may have run the order.
    assert reply.document["outcome"] == "unknown"
    assert total_requests(harness) == 0
    assert (await send_order(harness, headers={})).status == 200
    harness.claims.is_unavailable = False
    await harness.wait_until(lambda: harness.claims.releases == 1)
    assert (await send_order(harness)).status == 200


async def test_claim_that_fails_after_it_took_effect_is_released(harness: Any) -> None:
    """Guards against a claim that is never released after a response of control was lost."""
    await harness.start_server()
    await harness.start_entry()

    async def lose() -> None:
        harness.claims.after_claim = None
        raise ConnectionResetError

    harness.claims.after_claim = lose
    assert (await send_order(harness)).document["code"] == "ledger_unavailable"
    await harness.wait_until(lambda: harness.claims.releases == 1)
    assert (await send_order(harness)).body == b"done"


async def test_failed_record_is_repeated_and_caller_gets_response(harness: Any) -> None:
    """Guards against a valid response lost because recording it failed."""
    await harness.start_server()
    await harness.start_entry()
    harness.claims.failing_completions = 6
    reply = await send_order(harness)
    assert (reply.status, reply.body) == (200, b"done")
    await harness.wait_until(lambda: harness.claims.completions == 1)
    assert (await send_order(harness)).headers["Medlarpass-Replayed"] == "true"
    assert total_requests(harness) == 1


@pytest.mark.parametrize("size", [20, 40_000], ids=["stored", "too large"])
async def test_outcome_is_recorded_when_caller_is_gone(
    harness: Any, builders: Any, size: int
) -> None:
    """Guards against an order cancelled after sending, whose outcome would be unknown (G5)."""
    release = asyncio.Event()

    async def slow(request: Any, reader: Any, writer: Any) -> None:
        await release.wait()
        writer.write(builders.response_bytes(b"x" * size))

    server = await harness.start_server(slow)
    entry = await harness.start_entry()
    _, writer = await harness.connect()
    writer.write(
        b"POST /orders HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k1\r\nContent-Length: 9\r\n\r\n"
        b"two rolls"
    )
    await harness.wait_until(lambda: server.requests)
    writer.close()
    await harness.wait_until(lambda: entry.in_flight == 0)
    assert not server.connection_lost.is_set()
    release.set()
    await harness.wait_until(lambda: harness.claims.completions == 1)
    reply = await send_order(harness)
    if size > 16 * 1024:
        assert (reply.status, reply.document["code"]) == (409, "answer_not_stored")
        assert reply.document["outcome"] == "run"
    else:
        assert reply.body == b"x" * size
    assert len(server.requests) == 1


async def test_order_of_caller_gone_before_sending_is_not_sent(harness: Any) -> None:
    """Guards against sending an order whose caller disconnected, and against keeping its claim."""
    server = await harness.start_server()
    entry = await harness.start_entry()
    held, resume = asyncio.Event(), asyncio.Event()

    async def hold() -> None:
        held.set()
        await resume.wait()

    harness.claims.after_claim = hold
    _, writer = await harness.connect()
    writer.write(
        b"POST /orders HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k1\r\nContent-Length: 1\r\n\r\nx"
    )
    await held.wait()
    writer.close()
    await harness.wait_until(lambda: entry.in_flight == 0)
    resume.set()
    await harness.wait_until(lambda: harness.claims.releases == 1)
    assert not server.requests


async def test_large_response_is_passed_and_marked(harness: Any, builders: Any) -> None:
    """Guards against a large response that is truncated, or replayed without its body."""
    await harness.start_server(builders.respond_with(builders.response_bytes(b"x" * 300_000)))
    await harness.start_entry()
    assert len((await send_order(harness)).body) == 300_000
    reply = await send_order(harness)
    assert (reply.document["code"], reply.document["outcome"]) == ("answer_not_stored", "run")


async def test_body_above_limit_is_refused(harness: Any) -> None:
    """Guards against an order that exhausts the memory of the entry."""
    server = await harness.start_server()
    await harness.start_entry(order_body="1KiB")

    async def chunks() -> Any:
        for _ in range(3):
            yield b"x" * 700

    for body in (b"x" * 1025, chunks()):
        reply = await send_order(harness, body=body)
        assert (reply.status, reply.document["code"]) == (413, "body_too_large")
        assert reply.document["outcome"] == "not-run"
    assert not server.requests
    assert not harness.claims.ledger.claims


async def test_incomplete_body_is_never_sent(harness: Any) -> None:
    """Guards against a partial order that is taken as complete."""
    server = await harness.start_server()
    entry = await harness.start_entry()
    _, writer = await harness.connect()
    writer.write(b"POST /orders HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\ntwo")
    await harness.wait_until(lambda: entry.in_flight)
    writer.close()
    await harness.wait_until(lambda: not entry.in_flight and not entry.context.order_tasks)
    assert not server.requests


async def test_deadline_in_claim_sends_nothing(harness: Any) -> None:
    """Guards against an order sent after its deadline passed during the claim."""
    server = await harness.start_server()
    await harness.start_entry()

    async def slow() -> None:
        await asyncio.sleep(0.1)

    harness.claims.after_claim = slow
    reply = await send_order(
        harness, headers={**IDEMPOTENCY_HEADERS, "Medlarpass-Deadline-Ms": "50"}
    )
    assert (reply.status, reply.document["outcome"]) == (504, "not-run")
    assert not server.requests
    assert harness.claims.releases == 1


async def test_invalid_idempotency_key_is_refused(harness: Any) -> None:
    """Guards against an order that runs without the idempotency its caller requested."""
    server = await harness.start_server()
    await harness.start_entry()
    for key in ("", "x" * 256):
        reply = await send_order(harness, headers={"Idempotency-Key": key})
        assert (reply.status, reply.document["code"]) == (400, "invalid_header")
    assert not server.requests


async def test_announced_body_above_limit_is_refused_unread(harness: Any) -> None:
    """Guards against reading a body whose Content-Length exceeds the limit."""
    await harness.start_server()
    await harness.start_entry(order_body="1KiB")
    reader, writer = await harness.connect()
    writer.write(b"POST /orders HTTP/1.1\r\nHost: x\r\nContent-Length: 2000\r\n\r\n")
    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 3)
    assert head.startswith(b"HTTP/1.1 413")
    writer.close()


async def test_large_response_is_read_to_its_end_when_caller_stops(
    harness: Any, builders: Any
) -> None:
    """Guards against an order without a record because its caller left during the response."""
    size = 8 << 20
    await harness.start_server(builders.respond_with(builders.response_bytes(b"x" * size)))
    await harness.start_entry()
    reader, writer = await harness.connect()
    writer.write(
        b"POST /orders HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k1\r\nContent-Length: 9\r\n\r\n"
        b"two rolls"
    )
    await reader.readuntil(b"\r\n\r\n")
    await asyncio.sleep(0.1)
    writer.transport.abort()
    await harness.wait_until(lambda: harness.claims.completions == 1)
    assert (await send_order(harness)).document["code"] == "answer_not_stored"


async def test_large_response_is_streamed(harness: Any, builders: Any) -> None:
    """Guards against a large response that is buffered completely before it is forwarded."""
    resume = asyncio.Event()

    async def in_parts(request: Any, reader: Any, writer: Any) -> None:
        writer.write(builders.response_bytes(b"x" * 40_000, length=80_000))
        await resume.wait()
        writer.write(b"x" * 40_000)

    await harness.start_server(in_parts)
    await harness.start_entry()
    reader, writer = await harness.connect()
    writer.write(
        b"POST /orders HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k1\r\nContent-Length: 1\r\n\r\nx"
    )
    await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 3)
    await reader.readexactly(40_000)
    resume.set()
    await reader.readexactly(40_000)
    writer.close()
    await harness.wait_until(lambda: harness.claims.completions == 1)
