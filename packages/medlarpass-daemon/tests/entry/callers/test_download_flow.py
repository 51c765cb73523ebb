"""Downloads arrive complete, or fail in a way that the caller can detect."""

from __future__ import annotations

import asyncio
import gzip

from typing import Any

import pytest


async def test_range_and_head_pass_through(harness: Any, builders: Any) -> None:
    """Guards against a lost Range header, and against a body in the response to HEAD."""
    partial = builders.response_bytes(
        b"cde", "206 Partial Content", "Content-Range: bytes 2-4/10\r\n"
    )
    head = builders.response_bytes(b"", "200 OK", "Accept-Ranges: bytes\r\n", length=10)
    server = await harness.start_server(
        builders.respond_with(partial), builders.respond_with(head), builders.respond_with(partial)
    )
    await harness.start_entry()
    for _ in range(2):
        reply = await harness.send("/art/a.pdf", headers={"Range": "bytes=2-4"})
        assert (reply.status, reply.body) == (206, b"cde")
        assert reply.headers["Content-Range"] == "bytes 2-4/10"
        reply = await harness.send("/art/a.pdf", "HEAD")
        assert (reply.status, reply.headers["Content-Length"], reply.body) == (200, "10", b"")
        server.behaviours = [builders.respond_with(partial), builders.respond_with(head)] * 3
    assert server.requests[0].headers["Range"] == "bytes=2-4"
    assert server.connections == 1


@pytest.mark.parametrize("status", ["204 No Content", "304 Not Modified"])
async def test_status_without_body_passes(harness: Any, status: str) -> None:
    """Guards against a caller that waits for a body that is never sent."""

    async def behave(request: Any, reader: Any, writer: Any) -> None:
        writer.write(f'HTTP/1.1 {status}\r\nETag: "a"\r\n\r\n'.encode())

    server = await harness.start_server(behave)
    await harness.start_entry()
    for _ in range(2):
        reply = await harness.send("/art/a.pdf")
        assert (f"{reply.status}", reply.body) == (status[:3], b"")
        assert reply.headers["ETag"] == '"a"'
    assert server.connections == 1


async def test_redirect_cookie_and_gzip_pass_untouched(harness: Any, builders: Any) -> None:
    """Guards against an HTTP library that follows redirects, stores cookies or decodes bodies."""
    compressed = gzip.compress(b"map")
    redirect = builders.response_bytes(b"", "302 Found", "Location: /art/b\r\nSet-Cookie: a=1\r\n")
    both = "Content-Encoding: gzip\r\nSet-Cookie: b=2; Path=/\r\nSet-Cookie: c=3\r\n"
    server = await harness.start_server(
        builders.respond_with(redirect),
        builders.respond_with(builders.response_bytes(compressed, "200 OK", both)),
    )
    await harness.start_entry()
    reply = await harness.send("/art/a")
    assert (reply.status, reply.headers["Location"]) == (302, "/art/b")
    assert len(server.requests) == 1
    reply = await harness.send("/art/b")
    assert reply.body == compressed
    assert reply.headers["Content-Encoding"] == "gzip"
    assert reply.headers.getall("Set-Cookie") == ["b=2; Path=/", "c=3"]
    assert "Cookie" not in server.requests[1].headers
    assert "Accept-Encoding" in server.requests[1].headers  # The caller's own.


async def test_compressed_request_body_passes_untouched(harness: Any) -> None:
    """Guards against a body that is decompressed while its Content-Encoding header stays."""
    compressed = gzip.compress(b"map")
    server = await harness.start_server()
    await harness.start_entry()
    reader, writer = await harness.connect()
    writer.write(
        b"PUT /art/a HTTP/1.1\r\nHost: x\r\nContent-Encoding: gzip\r\n"
        + f"Content-Length: {len(compressed)}\r\n\r\n".encode()
        + compressed
    )
    await reader.readuntil(b"\r\n\r\n")
    writer.close()
    assert server.requests[0].body == compressed


TRUNCATED_RESPONSES = {
    "short of its length": b"HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + b"x" * 100_000,
    "without last chunk": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    + b"186a0\r\n"
    + b"x" * 100_000
    + b"\r\n",
}


@pytest.mark.parametrize("version", [b"1.0", b"1.1"])
@pytest.mark.parametrize("case", TRUNCATED_RESPONSES)
async def test_truncated_body_aborts_callers_connection(
    harness: Any, builders: Any, case: str, version: bytes
) -> None:
    """Guards against a partial body that the caller takes as complete (G3)."""
    release = asyncio.Event()

    async def behave(request: Any, reader: Any, writer: Any) -> None:
        writer.write(TRUNCATED_RESPONSES[case])
        await release.wait()
        writer.close()

    await harness.start_server(behave)
    entry = await harness.start_entry()
    reader, writer = await harness.connect()
    writer.write(b"GET /art/a HTTP/" + version + b"\r\nHost: x\r\n\r\n")
    head = await reader.readuntil(b"\r\n\r\n")
    await reader.readexactly(50_000)
    release.set()
    with pytest.raises(ConnectionError):
        await reader.read()
    assert b"200" in head
    await harness.wait_until(lambda: entry.in_flight == 0)
    counted = entry.metrics.requests.labels("art", "unknown")
    assert counted._value.get() == 1


async def test_truncation_before_first_byte_is_retried(harness: Any, builders: Any) -> None:
    """Guards against a failed download that another server could have served."""
    for _ in range(2):
        await harness.start_server(
            builders.respond_with(builders.response_bytes(b"", length=9), closes=True)
        )
    await harness.start_entry()
    harness.allow_retries("art")
    whole = builders.respond_with(builders.response_bytes(b"whole"))
    for index in range(2):
        broken = builders.respond_with(builders.response_bytes(b"", length=9), closes=True)
        harness.scripted_servers[index].behaviours = [broken]
        harness.scripted_servers[1 - index].behaviours = [whole]
        for _ in range(2):
            assert (await harness.send("/art/a")).body == b"whole"


async def test_no_retry_after_first_byte(harness: Any, builders: Any) -> None:
    """Guards against two responses mixed into one body."""
    for _ in range(2):
        await harness.start_server(
            builders.respond_with(
                builders.response_bytes(b"x" * 100_000, length=200_000), closes=True
            )
        )
    await harness.start_entry()
    harness.allow_retries("art")
    reader, writer = await harness.connect()
    writer.write(b"GET /art/a HTTP/1.1\r\nHost: x\r\n\r\n")
    with pytest.raises(ConnectionError):
        await reader.read()
    assert sum(len(server.requests) for server in harness.scripted_servers) == 1


async def test_deadline_in_body_aborts_callers_connection(harness: Any, builders: Any) -> None:
    """Guards against a stalled download that continues after its deadline."""

    async def stall(request: Any, reader: Any, writer: Any) -> None:
        writer.write(builders.response_bytes(b"x" * 10, length=20))
        await asyncio.sleep(60)

    await harness.start_server(stall)
    await harness.start_entry()
    reader, writer = await harness.connect()
    writer.write(b"GET /art/a HTTP/1.1\r\nHost: x\r\nMedlarpass-Deadline-Ms: 300\r\n\r\n")
    with pytest.raises(ConnectionError):
        await asyncio.wait_for(reader.read(), 20)


async def test_caller_gone_in_response_cancels_download_at_server(
    harness: Any, builders: Any
) -> None:
    """Guards against a server that sends a long body after its caller disconnected."""

    async def endless(request: Any, reader: Any, writer: Any) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n")
        while True:
            writer.write(b"x" * 65536)
            await writer.drain()

    server = await harness.start_server(endless)
    entry = await harness.start_entry()
    reader, writer = await harness.connect()
    writer.write(b"GET /art/a HTTP/1.1\r\nHost: x\r\n\r\n")
    await reader.readexactly(1 << 20)
    writer.transport.abort()
    await asyncio.wait_for(server.connection_lost.wait(), 20)
    await harness.wait_until(lambda: entry.in_flight == 0)


async def test_caller_gone_in_its_body_cancels_request_at_server(harness: Any) -> None:
    """Guards against a partial request body that the server takes as complete."""
    server = await harness.start_server()
    entry = await harness.start_entry()
    _, writer = await harness.connect()
    writer.write(b"PUT /art/a HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\n" + b"x" * 5000)
    await harness.wait_until(lambda: server.requests)
    writer.close()
    await asyncio.wait_for(server.connection_lost.wait(), 20)
    await harness.wait_until(lambda: entry.in_flight == 0)


async def test_streamed_body_is_not_sent_twice(harness: Any, builders: Any) -> None:
    """Guards against a retry that sends only the rest of a partly sent body."""
    for _ in range(2):
        await harness.start_server(builders.reset_connection)
    await harness.start_entry()
    harness.allow_retries("art")
    reply = await harness.send("/art/a", "PUT", data=b"x" * 500_000)
    assert (reply.status, reply.document["outcome"]) == (502, "unknown")
    assert sum(len(server.requests) for server in harness.scripted_servers) == 1


@pytest.mark.parametrize("chunked", [False, True], ids=["length", "chunks"])
@pytest.mark.parametrize("size", [0, 1, 70_000, 3_000_000])
async def test_bodies_pass_unchanged(harness: Any, builders: Any, size: int, chunked: bool) -> None:
    """Guards against bytes lost or repeated in either direction."""
    data = bytes(index * 7 % 251 for index in range(size))

    async def echo(request: Any, reader: Any, writer: Any) -> None:
        if not chunked:
            writer.write(builders.response_bytes(request.body))
            return
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for start in range(0, len(request.body), 50_000):
            part = request.body[start : start + 50_000]
            writer.write(f"{len(part):x}\r\n".encode() + part + b"\r\n")
        writer.write(b"0\r\n\r\n")

    async def parts() -> Any:
        for start in range(0, size, 30_000):
            yield data[start : start + 30_000]

    await harness.start_server(echo)
    await harness.start_entry()
    for _ in range(2):
        reply = await harness.send("/art/a", "PUT", data=parts() if chunked else data)
        assert (reply.status, reply.body) == (200, data)


async def test_continue_is_sent_when_body_is_wanted(harness: Any) -> None:
    """Guards against a caller that waits for permission to send its body."""
    server = await harness.start_server()
    await harness.start_entry()
    reader, writer = await harness.connect()
    writer.write(
        b"PUT /art/a HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n"
    )
    assert await reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
    writer.write(b"body")
    assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200 OK")
    assert server.requests[0].body == b"body"
    assert "Expect" not in server.requests[0].headers
    writer.close()
