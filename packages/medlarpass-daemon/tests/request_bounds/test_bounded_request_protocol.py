"""Requests of callers that are not trusted, at a port with bounds."""

from __future__ import annotations

import asyncio

from types import SimpleNamespace
from typing import TYPE_CHECKING
from typing import Any

import pytest

from aiohttp import web

from medlarpass_daemon.request_bounds import BoundedAppRunner
from medlarpass_daemon.request_bounds import ProcessBounds
from medlarpass_daemon.request_bounds import port_bounds
from medlarpass_daemon.request_bounds.bounded_request_protocol import MAX_FRAMING_BYTES
from medlarpass_daemon.settings import LimitSettings
from medlarpass_daemon.settings.limits import CALLERS

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

#: Ends a test whose condition never holds.
TEST_TIMEOUT_SECONDS = 20.0
GET = b"GET /echo HTTP/1.1\r\nHost: x\r\n\r\n"
POST = b"POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello"
CHUNKED = (
    b"POST /echo HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"2;a=b\r\n\r\n\r\n3\r\nyou\r\n0\r\nX-Trailer: 1\r\n\r\n"
)


class Port:
    """A port with bounds that echoes bodies."""

    def __init__(self, **limits: Any) -> None:
        descriptors = limits.pop("descriptors", 4096)
        self.bounds = ProcessBounds(LimitSettings(limits), descriptors)
        self.register = self.bounds.create_port(CALLERS)
        application = web.Application()
        application.router.add_route("*", "/echo", self.echo)
        application.router.add_get("/large", self.send_large)
        application.router.add_post("/ignore", self.ignore)
        application.router.add_get("/wait", self.wait)
        self.runner = BoundedAppRunner(application, self.register, 0.01)
        self.released = asyncio.Event()
        self.errors: list[Exception] = []
        self.number = 0

    async def start(self) -> None:
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", 0).start()
        self.number = self.runner.addresses[0][1]

    async def echo(self, request: web.Request) -> web.Response:
        return web.Response(body=await request.read() or b"-")

    async def send_large(self, request: web.Request) -> web.Response:
        return web.Response(body=b"x" * (64 << 20))

    async def ignore(self, request: web.Request) -> web.Response:
        return web.Response(status=404)

    async def wait(self, request: web.Request) -> web.Response:
        await self.released.wait()
        return web.Response(body=b"waited")

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection("127.0.0.1", self.number)

    async def exchange(self, *parts: bytes, pause: float = 0.0) -> bytes:
        """Send bytes and return what arrives until the connection is closed."""
        reader, writer = await self.connect()
        for part in parts:
            writer.write(part)
            await asyncio.sleep(pause)
        return await read_all(reader)

    def refused(self, reason: str) -> float:
        value = self.bounds.metrics.refused.labels(CALLERS, reason)._value.get()
        return float(value)


@pytest.fixture
async def ports() -> AsyncIterator[Any]:
    """Return a function that starts a port."""
    started: list[Port] = []

    async def start(**limits: Any) -> Port:
        port = Port(**limits)
        await port.start()
        started.append(port)
        return port

    yield start
    for port in started:
        port.released.set()
        await port.runner.cleanup()
        assert port.bounds.held_bytes == 0


async def read_all(reader: asyncio.StreamReader) -> bytes:
    parts = []
    async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
        try:
            while part := await reader.read(1 << 16):
                parts.append(part)
        except ConnectionError:
            pass
    return b"".join(parts)


async def wait_until(condition: Any) -> None:
    async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.01)


def status_of(answer: bytes) -> int:
    """Return the status of the first response, 0 if there is none; errors have HTTP/1.0."""
    return int(answer[9:12] or 0) if answer.startswith(b"HTTP/1.") else 0


def head_of(size: int) -> bytes:
    """Return a request without body of a number of bytes."""
    last = b"GET /echo HTTP/1.1\r\nHost: x\r\nConnection: close\r\nX-Pad: "
    return last + b"y" * (size - len(last) - 4) + b"\r\n\r\n"


@pytest.mark.parametrize("size", [1, 2, 3, 7, 16, 61, 100_000])
async def test_requests_are_the_same_however_they_are_split(ports: Any, size: int) -> None:
    """Guards against requests that are lost or changed at the borders of parts."""
    port = await ports()
    sent = b"\r\n".join([GET, POST, CHUNKED, POST + CHUNKED + GET + GET, CHUNKED])
    reader, writer = await port.connect()
    for start in range(0, len(sent), size):
        writer.write(sent[start : start + size])
        await asyncio.sleep(0)
    bodies = []
    async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
        for _ in range(8):
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200")
            length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0])
            bodies.append(await reader.readexactly(length))
    chunked = b"\r\nyou"
    assert bodies == [b"-", b"hello", chunked, b"hello", chunked, b"-", b"-", chunked]
    writer.close()


async def test_more_pipelined_requests_than_may_wait_are_answered(ports: Any) -> None:
    """Guards against a connection that stops when reading was paused."""
    port = await ports(pipelined=2)
    for count in (1, 3, 200):
        requests = [GET, POST, CHUNKED] * count
        requests.append(GET.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"))
        answer = await port.exchange(b"".join(requests))
        assert answer.count(b"HTTP/1.1 200") == len(requests)


@pytest.mark.parametrize(("size", "status"), [(16_384, 200), (64_000, 431)])
@pytest.mark.parametrize("part_size", [1_000, 100_000])
async def test_a_head_is_limited_however_it_arrives(
    ports: Any, size: int, status: int, part_size: int
) -> None:
    """Guards against heads without end, and against refusing ordinary ones."""
    port = await ports()
    head = head_of(size)
    if size > 16_384:
        head = head_of(200).replace(b"\r\n\r\n", b"\r\n" + b"X-A: " + b"y" * 600 + b"\r\n") + (
            b"X-Part: " + b"z" * 600 + b"\r\n"
        ) * (size // 600)
    parts = [head[start : start + part_size] for start in range(0, len(head), part_size)]
    answer = await port.exchange(*parts, pause=0.001)
    # A connection with unread bytes may be reset before its response is read.
    assert status_of(answer) == status or (status == 431 and not answer)
    assert port.refused("head_too_large") == (status == 431)


async def test_a_slow_head_is_ended_and_an_idle_connection_is_not(ports: Any) -> None:
    """Guards against connections used up by heads that never end, and idle ones closed early."""
    port = await ports(head_time=0.3)
    reader, writer = await port.connect()
    await asyncio.sleep(0.6)
    writer.write(GET)
    assert status_of(await reader.readuntil(b"\r\n\r\n-")) == 200
    await asyncio.sleep(0.6)
    writer.write(b"\r\n" + GET[:9])
    assert status_of(await read_all(reader)) == 408
    assert port.refused("head_timeout") == 1


async def test_a_head_that_begins_late_is_not_cut_by_the_idle_time(ports: Any) -> None:
    """Guards against closing a connection as idle while a request arrives."""
    port = await ports(idle_time=0.5, head_time=5.0)
    reader, writer = await port.connect()
    await asyncio.sleep(0.3)
    writer.write(GET[:9])
    await asyncio.sleep(0.5)
    writer.write(GET[9:])
    assert status_of(await reader.readuntil(b"\r\n\r\n-")) == 200
    assert await read_all(reader) == b""


async def test_empty_lines_before_a_request_are_limited(ports: Any) -> None:
    """Guards against a process that is kept busy with empty lines."""
    port = await ports()
    closing = GET.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
    assert status_of(await port.exchange(b"\r\n" * 100 + closing)) == 200
    answer = await port.exchange(b"\r\n" * 1000)
    assert status_of(answer) == 400
    answer = await port.exchange(*[b"\r\n" * 100] * 10, pause=0.001)
    assert status_of(answer) == 400 or not answer
    assert port.refused("empty_lines") == 2


async def test_bytes_that_are_not_http_get_one_response(ports: Any) -> None:
    """Guards against an error, with a copy of the bytes, for each part that arrives."""
    port = await ports()
    answer = await port.exchange(GET + b"\x01\x02", *[b"no request\r\n" * 100] * 20, pause=0.001)
    assert answer.count(b"HTTP/1.1 ") <= 2
    assert port.refused("invalid_http") == 1


async def test_many_fields_are_refused(ports: Any) -> None:
    """Guards against a head of many small fields."""
    port = await ports(fields=20)
    head = GET[:-2] + b"A: 1\r\n" * 30 + b"\r\n"
    assert status_of(await port.exchange(head)) == 400


@pytest.mark.parametrize(
    "rest", [b"no size\r\n", b"0" * (MAX_FRAMING_BYTES + 65536), b"5\r\nhello bad"]
)
async def test_an_invalid_body_ends_its_request(ports: Any, rest: bytes) -> None:
    """Guards against a handler that waits for a body which can't be completed."""
    port = await ports()
    head = b"POST /echo HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    answer = await port.exchange(head, rest, pause=0.05)
    assert status_of(answer) == 400 or not answer
    assert port.refused("invalid_body") == 1


async def test_a_body_that_is_far_too_large_is_not_read(ports: Any) -> None:
    """Guards against memory for bodies of which it is known that they are refused."""
    port = await ports()
    reader, writer = await port.connect()
    writer.write(b"POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999\r\n\r\n")
    assert status_of(await read_all(reader)) == 413
    writer.close()


async def test_bodies_of_all_requests_together_are_limited(ports: Any) -> None:
    """Guards against many connections that each send as much as one request may have."""
    port = await ports(held=2 << 20)
    writers = []
    for _ in range(20):
        _, writer = await port.connect()
        writer.write(b"POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 900000\r\n\r\n")
        writer.write(b"b" * 800_000)
        writers.append(writer)
    await wait_until(lambda: port.refused("held"))
    assert port.bounds.held_bytes < 4 << 20
    reader, writer = await port.connect()
    writer.write(POST)
    assert (await reader.readuntil(b"hello")).startswith(b"HTTP/1.1 200")
    for writer in writers:
        writer.transport.abort()


async def test_a_body_that_nobody_reads_is_limited(ports: Any) -> None:
    """Guards against reading a body without end after its request was answered."""
    port = await ports(unread_body=1 << 20)
    reader, writer = await port.connect()
    writer.write(b"POST /ignore HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n")
    assert status_of(await reader.readuntil(b"\r\n\r\n")) == 404
    with pytest.raises(ConnectionError):
        async with asyncio.timeout(TEST_TIMEOUT_SECONDS):
            while True:
                writer.write(b"10000\r\n" + b"b" * 65536 + b"\r\n")
                await writer.drain()
    assert port.refused("unread_body") == 1


async def test_a_short_unread_body_keeps_the_connection(ports: Any) -> None:
    """Guards against closing the connection of an ordinary caller whose request was refused."""
    port = await ports()
    reader, writer = await port.connect()
    body = b"b" * (1 << 20)
    writer.write(b"POST /ignore HTTP/1.1\r\nHost: x\r\nContent-Length: 1048576\r\n\r\n" + body)
    assert status_of(await reader.readuntil(b"\r\n\r\n")) == 404
    writer.write(GET)
    assert b"HTTP/1.1 200" in await reader.readuntil(b"\r\n\r\n-")


async def test_a_response_that_is_not_read_ends_the_connection(ports: Any) -> None:
    """Guards against connections and memory used up by callers who don't read."""
    port = await ports(unread_time=0.5)
    _, writer = await port.connect()
    writer.transport.pause_reading()
    writer.write(b"GET /large HTTP/1.1\r\nHost: x\r\n\r\n")
    await wait_until(lambda: port.register.connections)
    await wait_until(lambda: not port.register.connections)
    assert port.refused("unread_response") <= 1
    writer.transport.abort()


async def test_a_connection_without_a_request_makes_room_for_an_ordinary_caller(
    ports: Any,
) -> None:
    """Guards against callers kept out by connections that send no request."""
    port = await ports(descriptors=64)
    assert port.register.max_connections == 32
    silent = [await port.connect() for _ in range(32)]
    await wait_until(lambda: len(port.register.connections) == 32)
    reader, writer = await port.connect()
    writer.write(GET)
    assert status_of(await reader.readuntil(b"\r\n\r\n-")) == 200
    assert await read_all(silent[0][0]) == b""
    assert len(port.register.connections) == 32
    assert port.refused("replaced") == 1


async def test_connections_that_are_in_use_are_kept(ports: Any) -> None:
    """Guards against closing a connection on which a request may be on its way."""
    port = await ports(connections=4)
    used = [await port.connect() for _ in range(4)]
    for reader, writer in used:
        writer.write(GET)
        await reader.readuntil(b"\r\n\r\n-")
    answer = await port.exchange(b"")
    assert status_of(answer) == 503
    assert b"Retry-After: 1" in answer
    for reader, writer in used:
        writer.write(GET)
        assert status_of(await reader.readuntil(b"\r\n\r\n-")) == 200


async def test_hundreds_of_connections_of_one_address_are_served_by_default(ports: Any) -> None:
    """Guards against limits that a load balancer in front of all callers meets."""
    port = await ports()
    connections = [await port.connect() for _ in range(400)]
    for _ in range(2):
        for _, writer in connections:
            writer.write(POST)
        for reader, _ in connections:
            assert status_of(await reader.readuntil(b"hello")) == 200
    assert len(port.register.connections) == 400
    for _, writer in connections:
        writer.close()


async def test_connections_of_one_address_are_limited_if_asked_for(ports: Any) -> None:
    """Guards against one address that uses all connections, and a count that is never lowered."""
    port = await ports(connections_per_address=2)
    connections = [await port.connect() for _ in range(2)]
    await wait_until(lambda: len(port.register.connections) == 2)
    assert status_of(await port.exchange(GET)) == 503
    for _, writer in connections:
        writer.close()
    await wait_until(lambda: not port.register.connections)
    assert not port.register.addresses
    reader, writer = await port.connect()
    writer.write(GET)
    assert status_of(await reader.readuntil(b"\r\n\r\n-")) == 200


async def test_what_all_connections_hold_is_limited(ports: Any) -> None:
    """Guards against many connections that each hold what one connection may hold."""
    port = await ports(held=1 << 20)
    small = await port.connect()
    small[1].write(GET[:9])
    writers = []
    for _ in range(40):
        _, writer = await port.connect()
        writer.write(b"GET /wait HTTP/1.1\r\nHost: x\r\n\r\n" + GET * 3_000)
        writers.append(writer)
    await wait_until(lambda: port.refused("held"))
    assert port.bounds.held_bytes < 2 << 20
    small[1].write(GET[9:])
    assert status_of(await small[0].readuntil(b"\r\n\r\n-")) == 200
    for writer in writers:
        writer.transport.abort()


async def test_refusals_do_not_fill_the_log(ports: Any, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a log line for each hostile connection."""
    lines: list[dict[str, Any]] = []
    event = SimpleNamespace(log=lambda **fields: lines.append(fields))
    monkeypatch.setattr(port_bounds, "CONNECTIONS_REFUSED", event)
    port = await ports()
    for _ in range(20):
        await port.exchange(b"\r\n" * 1000)
    assert port.refused("empty_lines") == 20
    assert [(line["reason"], line["count"]) for line in lines] == [("empty_lines", 1)]
