from __future__ import annotations

import asyncio
import re
import time

from typing import TYPE_CHECKING
from typing import Any

import pytest

from aiohttp import web

from medlarpass.fleet import ServerHeartbeat
from medlarpass.ranges import RangeAssignment
from medlarpass_daemon import bounded_connector
from medlarpass_daemon.control.fleet.exceptions import AnotherServerError
from medlarpass_daemon.control.fleet.exceptions import GrantOutdatedError
from medlarpass_daemon.control.fleet.exceptions import HigherFenceError
from medlarpass_daemon.control.fleet.exceptions import ServerCallLostError
from medlarpass_daemon.control.fleet.exceptions import ServerNotReachedError
from medlarpass_platform.platform_server_calls import PlatformServerCalls

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

ASSIGNMENT = RangeAssignment("p", 4096, 8191, "i-1", 1, 12)


def is_in_force() -> bool:
    return True


class FakeServer:
    """Fake server that records calls and responds with a configured status."""

    def __init__(self) -> None:
        self.calls: list[tuple[str, Any]] = []
        #: Addresses from which calls have arrived.
        self.peers: set[Any] = set()
        self.expected_instance = ""
        self.status = 200
        #: Statuses of the next responses, before the one above.
        self.statuses: list[int] = []
        self.is_unresponsive = False
        #: Whether it is a server of a service with owners; all others are not the one meant.
        self.serves_keys = True
        self.port = 0

    async def start(self) -> web.AppRunner:
        application = web.Application()
        application.router.add_post("/api/grant", self.handle_call)
        application.router.add_post("/api/release", self.handle_call)
        runner = web.AppRunner(application, handler_cancellation=True, shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        self.port = runner.addresses[0][1]
        return runner

    async def handle_call(self, request: web.Request) -> web.Response:
        assert request.transport is not None
        self.peers.add(request.transport.get_extra_info("peername"))
        self.calls.append((request.path, await request.json()))
        self.expected_instance = request.headers["Medlarpass-Expected-Instance"]
        if self.is_unresponsive:
            await asyncio.sleep(3600)
        if not self.serves_keys:
            return web.Response(status=421 if "Medlarpass-Attempt-Id" in request.headers else 400)
        status = self.statuses.pop(0) if self.statuses else self.status
        return web.Response(status=status, headers={"Medlarpass-Handover": "5c0e"})

    def heartbeat(self, port: int | None = None) -> ServerHeartbeat:
        return ServerHeartbeat("i-1", 1, 1, "p", "127.0.0.1", port or self.port, "d", 3, False, 0.0)


@pytest.fixture
async def server() -> AsyncIterator[FakeServer]:
    fake_server = FakeServer()
    runner = await fake_server.start()
    yield fake_server
    await runner.cleanup()


@pytest.fixture
async def calls() -> AsyncIterator[PlatformServerCalls]:
    server_calls = PlatformServerCalls()
    yield server_calls
    await server_calls.close()


async def test_a_grant_has_keys_fence_and_lease(
    server: FakeServer, calls: PlatformServerCalls
) -> None:
    """Guards against a server that holds keys other than those that control assigned."""
    await calls.grant(server.heartbeat(), ASSIGNMENT, 4.0, "5c0e", 20, True, is_in_force)
    expected = {"from": 4096, "to": 8191, "fence": 12, "hold_s": 4.0, "handover": "5c0e"}
    assert server.calls == [("/api/grant", expected)]


async def test_a_renewal_has_no_handover(server: FakeServer, calls: PlatformServerCalls) -> None:
    """Guards against sending an empty handover, which a server would refuse."""
    await calls.grant(server.heartbeat(), ASSIGNMENT, 4.0, "", 20, True, is_in_force)
    assert "handover" not in server.calls[0][1]


async def test_a_release_returns_the_handover(
    server: FakeServer, calls: PlatformServerCalls
) -> None:
    """Guards against a lost handover, after which the next owner starts with cold caches."""
    assert await calls.release(server.heartbeat(), ASSIGNMENT, 20, False) == "5c0e"
    assert server.calls == [("/api/release", {"from": 4096, "to": 8191, "fence": 12})]


@pytest.mark.parametrize("cancel_first", [True, False])
async def test_a_cancellation_that_coincides_with_the_timeout_is_not_lost(
    server: FakeServer, calls: PlatformServerCalls, cancel_first: bool
) -> None:
    """Guards against a call that goes on after the term of its leader (review/6).

    A replica that was frozen finds the timeout of a release and the end of its term together.
    """
    server.is_unresponsive = True
    timeout = 1.0
    task = asyncio.create_task(calls.release(server.heartbeat(), ASSIGNMENT, timeout, True))
    started_at = time.monotonic()
    while not server.calls:  # noqa: ASYNC110
        await asyncio.sleep(0.01)
    offset = -0.01 if cancel_first else 0.01
    elapsed = time.monotonic() - started_at
    asyncio.get_running_loop().call_later(max(timeout - elapsed + offset, 0.0), task.cancel)
    # Like a process that is frozen.
    time.sleep(timeout + 0.1)  # noqa: ASYNC251
    with pytest.raises(asyncio.CancelledError):
        await task


@pytest.mark.parametrize(("status", "error"), [(409, HigherFenceError), (400, ServerCallLostError)])
async def test_a_refused_grant_is_an_error(
    server: FakeServer, calls: PlatformServerCalls, status: int, error: type[Exception]
) -> None:
    """Guards against control treating keys as held although their server refused them."""
    server.status = status
    with pytest.raises(error):
        await calls.grant(server.heartbeat(), ASSIGNMENT, 4.0, "", 20, True, is_in_force)


async def test_a_call_without_response_may_take_effect(
    server: FakeServer, calls: PlatformServerCalls
) -> None:
    """Guards against reassigning keys while their server applies a late grant."""
    server.is_unresponsive = True
    with pytest.raises(ServerCallLostError):
        await calls.grant(server.heartbeat(), ASSIGNMENT, 4.0, "", 0.2, True, is_in_force)


async def test_a_call_that_was_not_sent_has_no_effect(calls: PlatformServerCalls) -> None:
    """Guards against a lease that never ends because each failed call seems to renew it."""
    closed = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
    port = closed.sockets[0].getsockname()[1]
    closed.close()
    await closed.wait_closed()
    with pytest.raises(ServerNotReachedError):
        await calls.grant(FakeServer().heartbeat(port), ASSIGNMENT, 4.0, "", 20, True, is_in_force)


async def test_a_grant_names_its_server(server: FakeServer, calls: PlatformServerCalls) -> None:
    """Guards against a grant that is applied by another server at a reused address."""
    server.status = 421
    with pytest.raises(ServerNotReachedError):
        await calls.grant(server.heartbeat(), ASSIGNMENT, 4.0, "", 20, True, is_in_force)
    assert server.expected_instance == "i-1"


@pytest.mark.parametrize("needs_proof", [False, True])
async def test_a_grant_that_is_no_longer_in_force_is_not_sent(
    server: FakeServer, calls: PlatformServerCalls, needs_proof: bool
) -> None:
    """Guards against a grant that a deposed leader sends once its connection is open."""
    await calls.grant(server.heartbeat(), ASSIGNMENT, 4.0, "", 20, needs_proof, is_in_force)
    with pytest.raises(GrantOutdatedError):
        await calls.grant(server.heartbeat(), ASSIGNMENT, 4.0, "", 20, needs_proof, lambda: False)
    assert len(server.calls) == 1
    await calls.release(server.heartbeat(), ASSIGNMENT, 20, False)
    assert len(server.calls) == 2


class RepeatingServer:
    """Sends a copy of the previous response on a connection when the next call arrives there."""

    def __init__(self) -> None:
        self.connections = 0
        self.port = 0
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        previous = b""
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                length = re.search(rb"(?i)content-length: (\d+)", head)
                assert length is not None
                await reader.readexactly(int(length[1]))
                writer.write(previous)
                await asyncio.sleep(0.02)
                handover = b"Medlarpass-Handover: 5c0e\r\n" if b"/release" in head else b""
                previous = b"HTTP/1.1 200 OK\r\n" + handover + b"Content-Length: 0\r\n\r\n"
                writer.write(previous)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


async def test_a_late_copy_of_a_response_does_not_confirm_a_release(
    calls: PlatformServerCalls,
) -> None:
    """Guards against keys that are given away while their server still works on them.

    A copy of the response to a grant was taken for the response to the release.
    """
    server = RepeatingServer()
    await server.start()
    heartbeat = FakeServer().heartbeat(server.port)
    for needs_proof in (False, True):
        await calls.grant(heartbeat, ASSIGNMENT, 4.0, "", 20, needs_proof, is_in_force)
    for _ in range(2):
        assert await calls.release(heartbeat, ASSIGNMENT, 20, False) == "5c0e"
    assert server.server is not None
    server.server.close()


class HandoverServer(RepeatingServer):
    """Numbers the handovers and does not repeat responses unless told to."""

    def __init__(self) -> None:
        super().__init__()
        self.release_count = 0
        self.repeats_responses = False

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        previous = b""
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                length = re.search(rb"(?i)content-length: (\d+)", head)
                assert length is not None
                await reader.readexactly(int(length[1]))
                if self.repeats_responses:
                    writer.write(previous)
                    await asyncio.sleep(0.02)
                handover = b""
                if b"/release" in head:
                    self.release_count += 1
                    handover = b"Medlarpass-Handover: h%d\r\n" % self.release_count
                previous = b"HTTP/1.1 200 OK\r\n" + handover + b"Content-Length: 0\r\n\r\n"
                writer.write(previous)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


async def test_releases_share_a_connection_with_grants(calls: PlatformServerCalls) -> None:
    """Guards against a new connection, which a busy server has to accept, for each release."""
    server = HandoverServer()
    await server.start()
    heartbeat = FakeServer().heartbeat(server.port)
    for number in range(1, 4):
        await calls.grant(heartbeat, ASSIGNMENT, 4.0, "", 20, False, is_in_force)
        assert await calls.release(heartbeat, ASSIGNMENT, 20, True) == f"h{number}"
    assert server.connections == 1
    assert server.server is not None
    server.server.close()


@pytest.mark.parametrize("previous_call", ["grant", "release"])
async def test_a_copy_of_a_response_does_not_confirm_a_release_on_a_shared_connection(
    calls: PlatformServerCalls, previous_call: str
) -> None:
    """Guards against keys that are given away while their server still works on them."""
    server = HandoverServer()
    await server.start()
    heartbeat = FakeServer().heartbeat(server.port)
    if previous_call == "grant":
        await calls.grant(heartbeat, ASSIGNMENT, 4.0, "", 20, False, is_in_force)
    else:
        await calls.release(heartbeat, ASSIGNMENT, 20, True)
    server.repeats_responses = True
    with pytest.raises(ServerCallLostError):
        await calls.release(heartbeat, ASSIGNMENT, 20, True)
    assert server.connections == 1
    # The response to the release that failed must not confirm the next one.
    server.repeats_responses = False
    released_count = server.release_count
    assert await calls.release(heartbeat, ASSIGNMENT, 20, True) == f"h{released_count + 1}"
    assert server.connections == 2
    assert server.server is not None
    server.server.close()


async def test_grants_share_a_connection(calls: PlatformServerCalls) -> None:
    """Guards against a new connection, which a server has to accept, for each grant."""
    server = RepeatingServer()
    await server.start()
    heartbeat = FakeServer().heartbeat(server.port)
    for _ in range(3):
        await calls.grant(heartbeat, ASSIGNMENT, 4.0, "", 20, False, is_in_force)
    assert server.connections == 1
    assert server.server is not None
    server.server.close()


#: Far above what one call may receive, and below what ends a control process.
MAX_SENT_BYTES = 16 << 20
ENDLESS_RESPONSES = {
    "body with a length": (b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", b"x" * 65536),
    "body until the connection ends": (b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 65536),
    "chunked body": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"1000\r\n" + b"x" * 4096 + b"\r\n",
    ),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"X-Pad: 1\r\n" * 4096),
    "one header": (b"HTTP/1.1 200 OK\r\nX-Pad: ", b"y" * 65536),
    "no line end": (b"", b"x" * 65536),
    "informational responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2048),
}


@pytest.mark.parametrize("kind", ENDLESS_RESPONSES)
@pytest.mark.parametrize("needs_proof", [False, True])
async def test_a_response_without_end_is_cut_off(
    calls: PlatformServerCalls, kind: str, needs_proof: bool
) -> None:
    """Guards against a faulty server that uses up the memory of the control leader.

    The leader kept all that the server sent in response to a grant and ended after 2 s.
    """
    first, rest = ENDLESS_RESPONSES[kind]
    sent = 0
    ended = asyncio.Event()

    async def send_without_end(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal sent
        await reader.readuntil(b"\r\n\r\n")
        try:
            writer.write(first)
            while sent < 2 * MAX_SENT_BYTES:
                writer.write(rest)
                sent += len(rest)
                await writer.drain()
                await asyncio.sleep(0)
        except ConnectionError:
            pass
        finally:
            ended.set()
            writer.close()

    server = await asyncio.start_server(send_without_end, "127.0.0.1", 0)
    heartbeat = FakeServer().heartbeat(server.sockets[0].getsockname()[1])
    with pytest.raises(ServerCallLostError):
        await calls.grant(heartbeat, ASSIGNMENT, 4.0, "", 20, needs_proof, is_in_force)
    await asyncio.wait_for(ended.wait(), 20)
    assert sent < MAX_SENT_BYTES
    server.close()


async def test_many_short_responses_on_a_connection_are_not_too_large(
    server: FakeServer, calls: PlatformServerCalls, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a bound that counts the responses to earlier calls."""
    monkeypatch.setattr(bounded_connector, "MAX_RESPONSE_BYTES", 400)
    for _ in range(12):
        await calls.grant(server.heartbeat(), ASSIGNMENT, 4.0, "", 20, False, is_in_force)
    assert len(server.peers) == 1


async def test_a_misdirected_renewal_is_repeated_on_a_connection_of_its_own(
    server: FakeServer, calls: PlatformServerCalls
) -> None:
    """Guards against a grant that took effect and counts as not sent.

    The response may be a late copy of that to a call which was meant for an earlier server at the
    address.
    """
    server.statuses = [421, 200]
    await calls.grant(server.heartbeat(), ASSIGNMENT, 4.0, "", 20, False, is_in_force)
    assert len(server.calls) == 2
    assert len(server.peers) == 2


async def test_another_server_is_known_by_a_connection_of_its_own_only(
    server: FakeServer, calls: PlatformServerCalls
) -> None:
    """Guards against keys that are free because of a late copy of a response."""
    server.status = 421
    with pytest.raises(ServerCallLostError):
        await calls.release(server.heartbeat(), ASSIGNMENT, 20, True)
    with pytest.raises(AnotherServerError):
        await calls.release(server.heartbeat(), ASSIGNMENT, 20, False)
    with pytest.raises(AnotherServerError):
        await calls.grant(server.heartbeat(), ASSIGNMENT, 4.0, "", 20, False, is_in_force)


async def test_a_server_of_another_service_answers_that_it_is_not_the_one_meant(
    server: FakeServer, calls: PlatformServerCalls
) -> None:
    """Guards against keys that wait for their lease although their server has ended.

    A server without keys answers 400 to a call without an id, whichever server is meant.
    """
    server.serves_keys = False
    with pytest.raises(AnotherServerError):
        await calls.release(server.heartbeat(), ASSIGNMENT, 20, False)
    with pytest.raises(AnotherServerError):
        await calls.grant(server.heartbeat(), ASSIGNMENT, 4.0, "", 20, True, is_in_force)
