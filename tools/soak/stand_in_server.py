"""A backend server of the users' machines, as their protocol describes it."""

from __future__ import annotations

import asyncio
import time

from typing import TYPE_CHECKING

from aiohttp import web

if TYPE_CHECKING:
    from tools.soak.fleet_system import FleetSystem

#: Seconds between two heartbeats.
HEARTBEAT = 0.3
#: Address on which all stand-in servers listen.
SERVERS_IP = "127.0.0.31"


class Grant:
    """Keys that a server holds until a reading of the clock."""

    __slots__ = ("fence", "first", "last", "until")

    def __init__(self, first: int, last: int, fence: int, until: float) -> None:
        self.first = first
        self.last = last
        self.fence = fence
        self.until = until


class StandInServer:
    """Announces itself to control, holds keys and answers requests.

    :param system: system that the server belongs to
    :param pool: pool of the server
    :param identity: identity that it keeps over restarts
    :param owned: whether its pool is divided by key
    """

    def __init__(self, system: FleetSystem, pool: str, identity: str, owned: bool) -> None:
        self.system = system
        self.pool = pool
        self.identity = identity
        self.owned = owned
        self.life = time.time_ns() // 1_000_000
        self.sequence = 0
        self.state = "ready"
        self.is_up = False
        self.grants: list[Grant] = []
        #: First key, last key and fence of all calls that this life has seen.
        self.seen: list[tuple[int, int, int]] = []
        self.ran: list[str] = []
        self.delay = 0.0
        self.address = ""
        #: Address that callers are told; a relay's where faults are injected.
        self.told = ""
        self.runner: web.AppRunner | None = None
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen and announce a new life."""
        application = web.Application()
        application.router.add_post("/api/grant", self.grant)
        application.router.add_post("/api/release", self.release)
        application.router.add_route("*", "/{path:.*}", self.serve)
        self.runner = web.AppRunner(application, handler_cancellation=True, shutdown_timeout=0.1)
        await self.runner.setup()
        port = int(self.address.rpartition(":")[2]) if self.address else 0
        await web.TCPSite(self.runner, SERVERS_IP, port).start()
        ip, bound = self.runner.addresses[0][:2]
        self.address = f"{ip}:{bound}"
        self.told = self.system.told_address(self)
        self.is_up = True
        self.task = asyncio.create_task(self.beat())

    async def stop(self) -> None:
        """End without a word."""
        self.is_up = False
        if self.task is not None:
            self.task.cancel()
        if self.runner is not None:
            await self.runner.cleanup()

    async def restart(self) -> None:
        """Begin a new life under the same identity and address, which knows nothing."""
        self.life = max(time.time_ns() // 1_000_000, self.life + 1)
        self.sequence = 0
        self.state = "ready"
        self.grants, self.seen = [], []
        await self.start()

    async def beat(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            await self.say()
            await asyncio.sleep(HEARTBEAT)

    async def say(self) -> bool:
        """Send one heartbeat and return whether it was confirmed."""
        self.sequence += 1
        body = {
            "upstream": self.pool,
            "address": self.told,
            "zone": "north",
            "version": "v1",
            "slots": 3,
            "state": self.state,
            "slow_start_s_time": 0,
            "sequence": self.sequence,
            "born": self.life,
        }
        call = f"instances.heartbeat&of={self.identity}"
        return (await self.system.control(call, body))[0] == 200

    async def grant(self, request: web.Request) -> web.Response:
        """Take keys, unless a higher fence was seen on one of them."""
        body = await request.json()
        first, last, fence = body["from"], body["to"], body["fence"]
        if any(low <= last and first <= high and each > fence for low, high, each in self.seen):
            return web.Response(status=409)
        self.seen.append((first, last, fence))
        until = time.monotonic() + body["hold_s"]
        self.system.check_holders(self, first, last)
        self.grants = [each for each in self.grants if (each.first, each.last) != (first, last)]
        self.grants.append(Grant(first, last, fence, until))
        return web.Response()

    async def release(self, request: web.Request) -> web.Response:
        """Give up keys."""
        body = await request.json()
        first, last = body["from"], body["to"]
        self.seen.append((first, last, body["fence"]))
        kept = []
        for each in self.grants:
            for low, high in (
                (each.first, min(each.last, first - 1)),
                (max(each.first, last + 1), each.last),
            ):
                if low <= high:
                    kept.append(Grant(low, high, each.fence, each.until))
        self.grants = kept
        return web.Response(headers={"Medlarpass-Handover": "5c0e"})

    def holds(self, key: int) -> bool:
        """Return whether the server holds a key now."""
        return self.held_until(key, key) > time.monotonic()

    def held_until(self, first: int, last: int) -> float:
        """Return the reading of the clock until which one of the keys is held."""
        return max(
            (each.until for each in self.grants if each.first <= last and first <= each.last),
            default=0.0,
        )

    async def serve(self, request: web.Request) -> web.Response:
        """Run a request that is meant for this server and a key that it holds."""
        headers = request.headers
        echo = {"Medlarpass-Attempt-Id": headers["Medlarpass-Attempt-Id"]}
        is_meant = headers["Medlarpass-Expected-Instance"] == self.identity
        if not is_meant or (self.owned and not self.holds(int(headers["Medlarpass-Shard-Key"]))):
            return web.Response(status=421, headers={**echo, "Medlarpass-Not-Executed": "1"})
        self.ran.append(headers["Medlarpass-Attempt-Id"])
        self.system.note_run(headers["Medlarpass-Attempt-Id"])
        await asyncio.sleep(self.delay)
        body = f"{self.identity} {request.path} {await request.text()}"
        return web.Response(text=body, headers={**echo, "Medlarpass-Server-Signature": "3e1b"})
