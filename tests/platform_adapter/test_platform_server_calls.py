from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING
from typing import Any

import pytest

from aiohttp import web

from medlarpass.fleet import ServerHeartbeat
from medlarpass.ranges import RangeAssignment
from medlarpass_daemon.control.fleet.exceptions import HigherFenceError
from medlarpass_daemon.control.fleet.exceptions import ServerCallLostError
from medlarpass_daemon.control.fleet.exceptions import ServerNotReachedError
from medlarpass_platform.platform_server_calls import PlatformServerCalls

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

ASSIGNMENT = RangeAssignment("p", 4096, 8191, "i-1", 1, 12)


class KeyServer:
    """A server that records calls and answers by a script."""

    def __init__(self) -> None:
        self.calls: list[tuple[str, Any]] = []
        self.meant_for = ""
        self.status = 200
        self.is_silent = False
        self.port = 0

    async def start(self) -> web.AppRunner:
        application = web.Application()
        application.router.add_post("/api/grant", self.answer)
        application.router.add_post("/api/release", self.answer)
        runner = web.AppRunner(application, handler_cancellation=True, shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        self.port = runner.addresses[0][1]
        return runner

    async def answer(self, request: web.Request) -> web.Response:
        self.calls.append((request.path, await request.json()))
        self.meant_for = request.headers["Medlarpass-Expected-Instance"]
        if self.is_silent:
            await asyncio.sleep(3600)
        return web.Response(status=self.status, headers={"Medlarpass-Handover": "5c0e"})

    def notice(self, port: int | None = None) -> ServerHeartbeat:
        return ServerHeartbeat("i-1", 1, 1, "p", "127.0.0.1", port or self.port, "d", 3, False, 0.0)


@pytest.fixture
async def server() -> AsyncIterator[KeyServer]:
    made = KeyServer()
    runner = await made.start()
    yield made
    await runner.cleanup()


@pytest.fixture
async def calls() -> AsyncIterator[PlatformServerCalls]:
    made = PlatformServerCalls()
    yield made
    await made.close()


async def test_a_grant_says_keys_fence_and_hold(
    server: KeyServer, calls: PlatformServerCalls
) -> None:
    """Guards against a server that holds other keys than control has assigned."""
    await calls.grant(server.notice(), ASSIGNMENT, 4.0, "5c0e", 20)
    expected = {"from": 4096, "to": 8191, "fence": 12, "hold_s": 4.0, "handover": "5c0e"}
    assert server.calls == [("/api/grant", expected)]


async def test_a_renewal_has_no_handover(server: KeyServer, calls: PlatformServerCalls) -> None:
    """Guards against an empty handover that a server would refuse."""
    await calls.grant(server.notice(), ASSIGNMENT, 4.0, "", 20)
    assert "handover" not in server.calls[0][1]


async def test_a_release_returns_the_handover(
    server: KeyServer, calls: PlatformServerCalls
) -> None:
    """Guards against keys that arrive cold although their last holder was there."""
    assert await calls.release(server.notice(), ASSIGNMENT, 20) == "5c0e"
    assert server.calls == [("/api/release", {"from": 4096, "to": 8191, "fence": 12})]


@pytest.mark.parametrize(("status", "error"), [(409, HigherFenceError), (400, ServerCallLostError)])
async def test_a_refused_grant_is_an_error(
    server: KeyServer, calls: PlatformServerCalls, status: int, error: type[Exception]
) -> None:
    """Guards against keys that control takes for held though their server refused them."""
    server.status = status
    with pytest.raises(error):
        await calls.grant(server.notice(), ASSIGNMENT, 4.0, "", 20)


async def test_a_call_without_answer_may_take_effect(
    server: KeyServer, calls: PlatformServerCalls
) -> None:
    """Guards against keys given away while their server carries out a late grant."""
    server.is_silent = True
    with pytest.raises(ServerCallLostError):
        await calls.grant(server.notice(), ASSIGNMENT, 4.0, "", 0.2)


async def test_a_call_that_was_not_sent_has_no_effect(calls: PlatformServerCalls) -> None:
    """Guards against a hold that never ends because each try seems to renew it."""
    closed = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
    port = closed.sockets[0].getsockname()[1]
    closed.close()
    await closed.wait_closed()
    with pytest.raises(ServerNotReachedError):
        await calls.grant(KeyServer().notice(port), ASSIGNMENT, 4.0, "", 20)


async def test_a_grant_names_its_server(server: KeyServer, calls: PlatformServerCalls) -> None:
    """Address that is used again: guards against a grant that the next server there takes."""
    server.status = 421
    with pytest.raises(ServerNotReachedError):
        await calls.grant(server.notice(), ASSIGNMENT, 4.0, "", 20)
    assert server.meant_for == "i-1"
