"""Callers and servers that don't read what the entry has for them."""

from __future__ import annotations

import asyncio

from typing import Any

CHUNK = b"10000\r\n" + b"x" * 65536 + b"\r\n"
CALLER_COUNT = 40
HELD_BYTES = 4 << 20


async def send_without_end(request: Any, reader: Any, writer: Any) -> None:
    """Send a body without end, except for short paths."""
    if request.path == "/art/short":
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
        return
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    while True:
        writer.write(CHUNK)
        await writer.drain()


async def never_read(request: Any, reader: Any, writer: Any) -> None:
    await asyncio.Event().wait()


async def test_callers_that_do_not_read_hold_little_together(harness: Any) -> None:
    """Guards against memory for responses that grows with the number of callers who don't read."""
    server = await harness.start_server(send_without_end, slots=CALLER_COUNT + 1)
    entry = await harness.start_entry(connections_per_server=CALLER_COUNT + 1)
    entry.bounds.settings.held = HELD_BYTES
    writers = []
    for _ in range(CALLER_COUNT):
        _, writer = await harness.connect()
        writer.transport.pause_reading()
        writer.write(b"GET /art/a HTTP/1.1\r\nHost: x\r\n\r\n")
        writers.append(writer)
    await harness.wait_until(lambda: len(server.requests) == CALLER_COUNT)
    refused = entry.bounds.metrics.refused.labels("callers", "held")._value
    await harness.wait_until(lambda: refused.get() > 0)
    # Each is counted with what is read ahead for it.
    await harness.wait_until(lambda: entry.bounds.held_bytes <= HELD_BYTES)
    await harness.wait_until(lambda: entry.in_flight < CALLER_COUNT)
    assert (await harness.send("/art/short")).body == b"done"
    for writer in writers:
        writer.transport.abort()
    await harness.wait_until(lambda: entry.in_flight == 0)
    assert entry.bounds.held_bytes == 0


async def test_a_caller_that_reads_slowly_gets_its_whole_response(harness: Any) -> None:
    """Guards against bounds for callers who don't read that end an ordinary slow download."""
    size = 8 << 20

    async def send_body(request: Any, reader: Any, writer: Any) -> None:
        writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n".encode() + b"x" * size)

    await harness.start_server(send_body)
    entry = await harness.start_entry()
    entry.bounds.settings.held = HELD_BYTES
    reader, writer = await harness.connect()
    writer.write(b"GET /art/a HTTP/1.1\r\nHost: x\r\n\r\n")
    await reader.readuntil(b"\r\n\r\n")
    received = 0
    while received < size:
        received += len(await reader.read(65536))
        await asyncio.sleep(0.002)
    assert received == size
    writer.close()


async def test_a_server_that_does_not_read_stops_its_caller(harness: Any) -> None:
    """Guards against an entry that reads an upload which its server does not take."""
    server = await harness.start_server(never_read, reads_body=False)
    entry = await harness.start_entry()
    _, writer = await harness.connect()
    writer.write(b"PUT /art/a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" + CHUNK)
    await harness.wait_until(lambda: server.requests)
    sent = 0
    with_pause = 0
    while with_pause < 10:
        try:
            async with asyncio.timeout(0.1):
                writer.write(CHUNK)
                sent += len(CHUNK)
                await writer.drain()
            with_pause = 0
        except TimeoutError:
            with_pause += 1
        assert sent < 64 << 20
    protocol = entry.listener.protocols()[0]
    assert protocol._reading_paused or protocol._buffer_paused
    writer.transport.abort()
