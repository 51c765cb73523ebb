"""Uploads run at most once, and large ones are streamed without buffering."""

from __future__ import annotations

import asyncio

from typing import Any

import pytest

SHED_HEADERS = "Medlarpass-Outcome: not-run\r\nMedlarpass-Refusal: shedding\r\n"
SMALL = b"s" * 10_000
LARGE = b"l" * 3_000_000


async def send_upload(harness: Any, body: Any = SMALL, **options: Any) -> Any:
    return await harness.send("/spots", "POST", data=body, **options)


async def send_in_chunks(body: bytes) -> Any:
    """Yield a body in parts, so that it is sent chunked and without a length."""
    for begin in range(0, len(body), 4096):
        yield body[begin : begin + 4096]


@pytest.mark.parametrize("body", [SMALL, LARGE])
@pytest.mark.parametrize("is_chunked", [False, True])
async def test_body_passes_unchanged(harness: Any, body: bytes, is_chunked: bool) -> None:
    """Guards against bytes lost or repeated between the buffered and the streamed part."""
    server = await harness.start_server()
    await harness.start_entry()
    reply = await send_upload(harness, send_in_chunks(body) if is_chunked else body)
    assert (reply.status, reply.body) == (200, b"done")
    assert server.requests[0].body == body


async def test_upload_is_not_sent_again_after_a_lost_response(harness: Any, builders: Any) -> None:
    """Guards against an upload that runs twice (G5)."""
    for _ in range(2):
        await harness.start_server(builders.reset_connection)
    await harness.start_entry()
    harness.allow_retries("spots")
    reply = await send_upload(harness)
    assert reply.document["outcome"] == "unknown"
    assert sum(len(server.requests) for server in harness.scripted_servers) == 1


@pytest.mark.parametrize("is_chunked", [False, True])
async def test_small_upload_goes_elsewhere_after_a_refusal(
    harness: Any, builders: Any, is_chunked: bool
) -> None:
    """Guards against a failed upload after a refusal, when another server could run it."""
    for _ in range(2):
        await harness.start_server(
            builders.respond_with(builders.response_bytes(b"", "503 Busy", SHED_HEADERS)),
            builders.respond_with(builders.response_bytes(b"kept")),
        )
    await harness.start_entry()
    harness.allow_retries("spots")
    harness.scripted_servers[1].behaviours = [
        builders.respond_with(builders.response_bytes(b"kept"))
    ]
    replies = [
        await send_upload(harness, send_in_chunks(SMALL) if is_chunked else SMALL) for _ in range(3)
    ]
    assert [reply.body for reply in replies] == [b"kept"] * 3


async def test_upload_of_which_a_byte_has_left_is_sent_once(harness: Any, builders: Any) -> None:
    """Guards against a second attempt that sends only the rest of a streamed body."""
    refusal = builders.respond_with(builders.response_bytes(b"", "503 Busy", SHED_HEADERS))
    for _ in range(2):
        await harness.start_server(refusal)
    await harness.start_entry()
    harness.allow_retries("spots")
    reply = await send_upload(harness, LARGE)
    assert (reply.status, reply.document["outcome"]) == (503, "not-run")
    assert sum(len(server.requests) for server in harness.scripted_servers) == 1


async def test_early_response_ends_the_connection(harness: Any, builders: Any) -> None:
    """Guards against a server that takes the next request as the rest of an unfinished body.

    The server responds before it has read the body, and continues to read from the connection.
    """
    received_later = bytearray()

    async def respond_first(request: Any, reader: Any, writer: Any) -> None:
        writer.write(builders.response_bytes(b"taken"))
        while part := await reader.read(65536):
            received_later.extend(part)
        raise ConnectionResetError

    server = await harness.start_server(
        respond_first, builders.respond_with(builders.response_bytes(b"next")), reads_body=False
    )
    await harness.start_entry()
    reader, writer = await harness.connect()
    writer.write(b"POST /spots HTTP/1.1\r\nHost: x\r\nContent-Length: 2000000\r\n\r\n")
    writer.write(b"l" * 1_000_000)
    assert (await reader.readuntil(b"taken")).startswith(b"HTTP/1.1 200")
    await asyncio.wait_for(server.connection_lost.wait(), 5)
    assert len(server.requests) == 1
    writer.close()
    server.reads_body = True
    assert (await send_upload(harness)).body == b"next"
    assert server.requests[-1].body == SMALL
    assert set(received_later) == {ord("l")}


async def test_caller_that_leaves_midway_ends_the_exchange(harness: Any) -> None:
    """Guards against a server that waits for the rest of a body until its deadline."""
    server = await harness.start_server()
    entry = await harness.start_entry()
    _, writer = await harness.connect()
    writer.write(b"POST /spots HTTP/1.1\r\nHost: x\r\nContent-Length: 2000000\r\n\r\n")
    writer.write(b"l" * 1_000_000)
    await harness.wait_until(lambda: server.requests)
    writer.transport.abort()
    await asyncio.wait_for(server.connection_lost.wait(), 5)
    await harness.wait_until(lambda: not entry.has_work)


async def test_body_shorter_than_its_length_is_no_whole_upload(harness: Any) -> None:
    """Guards against a partial body that a server takes as complete."""
    server = await harness.start_server()
    await harness.start_entry()
    _, writer = await harness.connect()
    writer.write(b"POST /spots HTTP/1.1\r\nHost: x\r\nContent-Length: 2000000\r\n\r\n")
    writer.write(b"l" * 1_000_000)
    writer.write_eof()
    await harness.wait_until(lambda: server.requests)
    await asyncio.wait_for(server.connection_lost.wait(), 5)
    assert not server.requests[0].body
    writer.close()


async def test_upload_with_a_key_is_claimed_and_repeated_from_the_ledger(harness: Any) -> None:
    """Guards against an upload with a key that runs again when its caller repeats it."""
    server = await harness.start_server()
    await harness.start_entry()
    replies = [await send_upload(harness, headers={"Idempotency-Key": "u1"}) for _ in range(2)]
    assert [reply.body for reply in replies] == [b"done", b"done"]
    assert len(server.requests) == 1
