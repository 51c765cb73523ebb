"""Stand-in for a backend server that implements the protocol of the platform."""

from __future__ import annotations

import asyncio
import time

from typing import TYPE_CHECKING

from aiohttp import web

if TYPE_CHECKING:
    import random

    from tools.soak.fleet_system import FleetSystem

#: Ratio of requests that a faulty server refuses, and of these refusals that it sends twice.
SHED_RATIO = 0.1
COPIED_REFUSAL_RATIO = 0.2
#: Ratio of refusals that ask for a pause, and its bounds.
PAUSE_RATIO = 0.2
MIN_PAUSE_SECONDS = 0.7
MAX_PAUSE_SECONDS = 1.2
#: Rule of the users: after this part of a pause, at most this many requests of one entry arrive.
PAUSE_NOTICE_SECONDS = 0.5
MAX_REQUESTS_IN_PAUSE = 2
#: Rule of the users: no request that a caller sends this long after an entry has passed on that a
#: server leaves reaches the server from that entry.
DRAIN_SECONDS = 2.0
#: Maximum delay of the first heartbeat of a faulty server after a restart.
MAX_FIRST_HEARTBEAT_DELAY_SECONDS = 2.5
#: IP address of all stand-in servers.
SERVERS_IP = "127.0.0.31"


class Grant:
    """Range of keys that a server holds until the grant expires."""

    __slots__ = ("expires_at", "fence", "first", "last")

    def __init__(self, first: int, last: int, fence: int, expires_at: float) -> None:
        self.first = first
        self.last = last
        self.fence = fence
        self.expires_at = expires_at


class Pause:
    """A time for which a server asked an entry for no requests."""

    __slots__ = ("arrivals", "begin", "end", "entry", "follows_copy", "request_id")

    def __init__(
        self, entry: str, begin: float, end: float, request_id: str, follows_copy: bool
    ) -> None:
        self.entry = entry
        #: Request that was refused.
        self.request_id = request_id
        #: Whether a copy of another response was sent before the refusal that asked for it.
        self.follows_copy = follows_copy
        self.begin = begin
        self.end = end
        #: Requests that arrived although the entry must have known the pause.
        self.arrivals: list[str] = []


class StandInServer:
    """Server that sends heartbeats to control, holds granted keys and serves requests.

    :param system: system that the server belongs to
    :param pool: pool of the server
    :param identity: identity that the server keeps across restarts
    :param owned: whether the keys of the pool are divided among its servers
    """

    def __init__(self, system: FleetSystem, pool: str, identity: str, owned: bool) -> None:
        self.system = system
        self.pool = pool
        self.identity = identity
        self.owned = owned
        self.incarnation = time.time_ns() // 1_000_000
        self.sequence = 0
        self.state = "ready"
        self.is_up = False
        self.grants: list[Grant] = []
        #: First key, last key and fence of all calls received by this incarnation.
        self.received_fences: list[tuple[int, int, int]] = []
        self.executed_requests: list[str] = []
        self.delay = 0.0
        #: Time on the monotonic clock until which heartbeats say that the server is cold.
        self.cold_until = 0.0
        #: Whether its responses say that it leaves, and the pause that it asks for when refusing.
        self.says_leaving = False
        self.pause = ""
        self.pauses: list[Pause] = []
        #: Time of the first response that said that the server leaves, by entry.
        self.said_leaving_at: dict[str, float] = {}
        #: Times at which requests arrived, on the monotonic clock, and their ids.
        self.arrivals: list[float] = []
        self.arrived_requests: list[str] = []
        self.zone = "north"
        #: Whether it asks for pauses when it refuses requests by itself.
        self.has_pauses = False
        #: Source of the server's own faults; None for a server without any.
        self.faults: random.Random | None = None
        #: Second copies of refusals, sent when the next request arrives on their connection.
        self.late_copies: dict[asyncio.BaseTransport, bytes] = {}
        self.address = ""
        #: Address in heartbeats; that of a relay if network faults are injected.
        self.announced_address = ""
        self.runner: web.AppRunner | None = None
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start listening and sending heartbeats."""
        application = web.Application()
        application.router.add_post("/api/grant", self.grant)
        application.router.add_post("/api/release", self.release)
        application.router.add_route("*", "/{path:.*}", self.serve)
        self.runner = web.AppRunner(application, handler_cancellation=True, shutdown_timeout=0.1)
        await self.runner.setup()
        port = int(self.address.rpartition(":")[2]) if self.address else 0
        await web.TCPSite(self.runner, SERVERS_IP, port).start()
        ip, bound_port = self.runner.addresses[0][:2]
        self.address = f"{ip}:{bound_port}"
        self.announced_address = self.system.announced_address_of(self)
        self.is_up = True
        self.task = asyncio.create_task(self.send_heartbeats())

    async def stop(self) -> None:
        """Stop without notifying control."""
        self.is_up = False
        if self.task is not None:
            self.task.cancel()
        if self.runner is not None:
            await self.runner.cleanup()

    async def restart(self) -> None:
        """Start a new incarnation with the same identity and address and no state."""
        self.incarnation = max(time.time_ns() // 1_000_000, self.incarnation + 1)
        self.sequence = 0
        self.state = "ready"
        self.grants, self.received_fences = [], []
        self.late_copies.clear()
        self.pauses.clear()
        self.said_leaving_at.clear()
        self.says_leaving = False
        await self.start()

    async def send_heartbeats(self) -> None:
        """Send heartbeats until cancelled."""
        if self.faults is not None:
            await asyncio.sleep(self.faults.uniform(0.0, MAX_FIRST_HEARTBEAT_DELAY_SECONDS))
        while True:
            await self.send_heartbeat()
            await asyncio.sleep(self.system.heartbeat_seconds)

    async def send_heartbeat(self) -> bool:
        """Send one heartbeat and return whether it was confirmed."""
        self.sequence += 1
        body = {
            "upstream": self.pool,
            "address": self.announced_address,
            "zone": self.zone,
            "version": "v1",
            "slots": 3,
            "state": self.state,
            "slow_start_s_time": max(self.cold_until - time.monotonic(), 0.0),
            "sequence": self.sequence,
            "born": self.incarnation,
        }
        call = f"instances.heartbeat&of={self.identity}"
        return (await self.system.call_control(call, body))[0] == 200

    async def grant(self, request: web.Request) -> web.Response:
        """Accept a grant unless a call with a higher fence was received for one of its keys."""
        body = await request.json()
        first, last, fence = body["from"], body["to"], body["fence"]
        if any(
            low <= last and first <= high and seen > fence
            for low, high, seen in self.received_fences
        ):
            return web.Response(status=409)
        self.received_fences.append((first, last, fence))
        expires_at = time.monotonic() + body["hold_s"]
        self.system.check_holders(self, first, last)
        self.grants = [grant for grant in self.grants if (grant.first, grant.last) != (first, last)]
        self.grants.append(Grant(first, last, fence, expires_at))
        return web.Response()

    async def release(self, request: web.Request) -> web.Response:
        """Release keys."""
        body = await request.json()
        first, last = body["from"], body["to"]
        self.received_fences.append((first, last, body["fence"]))
        kept = []
        for grant in self.grants:
            for low, high in (
                (grant.first, min(grant.last, first - 1)),
                (max(grant.first, last + 1), grant.last),
            ):
                if low <= high:
                    kept.append(Grant(low, high, grant.fence, grant.expires_at))
        self.grants = kept
        return web.Response(headers={"Medlarpass-Handover": "5c0e"})

    def holds(self, key: int) -> bool:
        """Return whether the server holds a key now."""
        return self.held_until(key, key) > time.monotonic()

    def held_until(self, first: int, last: int) -> float:
        """Return the time on the monotonic clock until which at least one of the keys is held."""
        return max(
            (
                grant.expires_at
                for grant in self.grants
                if grant.first <= last and first <= grant.last
            ),
            default=0.0,
        )

    async def serve(self, request: web.Request) -> web.Response:
        """Serve a request meant for this server, and for a key that it holds if keys are owned."""
        headers = request.headers
        entry = self.system.sent_to[headers["Medlarpass-Attempt-Id"]]
        self._check_arrival(entry, headers["Medlarpass-Attempt-Id"])
        echo = {"Medlarpass-Attempt-Id": headers["Medlarpass-Attempt-Id"]}
        if self.says_leaving:
            echo["Server-Leaving"] = "1"
            self.said_leaving_at.setdefault(entry, time.monotonic())
        if self.pause:
            refusal = {**echo, "Medlarpass-Not-Executed": "1", "Retry-After": self.pause}
            return web.Response(status=503, headers=refusal)
        is_for_this_server = headers["Medlarpass-Expected-Instance"] == self.identity
        if not is_for_this_server or (
            self.owned and not self.holds(int(headers["Medlarpass-Shard-Key"]))
        ):
            return web.Response(status=421, headers={**echo, "Medlarpass-Not-Executed": "1"})
        follows_copy = self._send_late_copy(request)
        if self._sheds(request, echo["Medlarpass-Attempt-Id"]):
            pause = self._draw_pause(entry, echo["Medlarpass-Attempt-Id"], follows_copy)
            refusal = {**echo, "Medlarpass-Not-Executed": "1", **pause}
            return web.Response(status=503, headers=refusal)
        self.executed_requests.append(headers["Medlarpass-Attempt-Id"])
        self.system.record_run(headers["Medlarpass-Attempt-Id"])
        await asyncio.sleep(self.delay)
        body = f"{self.identity} {request.path} {await request.text()}"
        return web.Response(text=body, headers={**echo, "Medlarpass-Server-Signature": "3e1b"})

    def _send_late_copy(self, request: web.Request) -> bool:
        """Send the copy of a refusal that is due on a connection; return whether there is one."""
        transport = request.transport
        late_copy = self.late_copies.pop(transport, None) if transport is not None else None
        if transport is not None and late_copy is not None:
            transport.write(late_copy)
        return late_copy is not None

    def _sheds(self, request: web.Request, request_id: str) -> bool:
        """Return whether a faulty server refuses a request."""
        transport = request.transport
        if self.faults is None or transport is None or self.faults.random() >= SHED_RATIO:
            return False
        if self.faults.random() < COPIED_REFUSAL_RATIO:
            self.late_copies[transport] = (
                "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
                f"Medlarpass-Attempt-Id: {request_id}\r\nMedlarpass-Not-Executed: 1\r\n\r\n"
            ).encode()
        return True

    def _draw_pause(self, entry: str, request_id: str, follows_copy: bool) -> dict[str, str]:
        """Return the header of a refusal that asks for a pause, or no header."""
        assert self.faults is not None
        if not self.has_pauses or self.faults.random() >= PAUSE_RATIO:
            return {}
        seconds = round(self.faults.uniform(MIN_PAUSE_SECONDS, MAX_PAUSE_SECONDS), 2)
        now = time.monotonic()
        self.pauses.append(Pause(entry, now, now + seconds, request_id, follows_copy))
        return {"Retry-After": str(seconds)}

    def _check_arrival(self, entry: str, request_id: str) -> None:
        """Record a violation if a request must not arrive now from an entry."""
        now = time.monotonic()
        self.arrivals.append(now)
        self.arrived_requests.append(request_id)
        for pause in self.pauses:
            if pause.entry != entry or not pause.begin + PAUSE_NOTICE_SECONDS < now < pause.end:
                continue
            pause.arrivals.append(request_id)
            if len(pause.arrivals) == MAX_REQUESTS_IN_PAUSE + 1:
                origin = f"by {pause.request_id}" + (" behind a copy" * pause.follows_copy)
                when = f"in a pause told {now - pause.begin:.2f} s before {origin}: "
                self.system.record_forbidden_arrival(
                    entry, self, pause.begin, when + " ".join(pause.arrivals)
                )
        told_at = self.said_leaving_at.get(entry)
        if told_at is not None and self.system.sent_at[request_id] > told_at + DRAIN_SECONDS:
            self.system.record_forbidden_arrival(
                entry, self, told_at, "after it said that it leaves"
            )
