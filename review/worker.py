"""A sound worker, as PROTOCOL.md describes it."""

from __future__ import annotations

import asyncio
import secrets
import time

from typing import TYPE_CHECKING
from typing import Any

import aiohttp

from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import Callable

    from review.deployment import Deployment
    from review.record import Record

#: Time in which a heartbeat has to be confirmed before the next node is called.
CONFIRM_TIMEOUT_S = 1.0
#: Time for which a worker is slow after its start, as ``cold_s`` of the site files.
SLOW_START_S = 3.0


class Grant:
    """Keys that a worker holds."""

    def __init__(self, first: int, last: int, fence: int, until: float) -> None:
        self.first = first
        self.last = last
        self.fence = fence
        self.until = until


class Worker:
    """One worker; each call of :meth:`start` begins a new lifetime."""

    def __init__(
        self,
        deployment: Deployment,
        record: Record,
        identity: str,
        service: str,
        ip: str,
        *,
        sharded: bool = False,
        slots: int = 3,
        work_s: float = 0.02,
        heartbeat_s: float = 0.87,
        port: int = 0,
    ) -> None:
        self.deployment = deployment
        self.record = record
        self.identity = identity
        self.service = service
        self.ip = ip
        self.port = port
        self.sharded = sharded
        self.work_s = work_s
        self.heartbeat_s = heartbeat_s
        self.slots = slots
        self.state = "ready"
        self.sequence = 0
        self.born = 0
        self.is_up = False
        self.grants: list[Grant] = []
        self.seen_fences: list[tuple[int, int, int]] = []
        #: Keys of the requests at which the worker is at work.
        self.running: list[int] = []
        #: Set and replaced when the work on a request ends.
        self.work_ended = asyncio.Event()
        #: Grants that were released, with the time at which their hold would have run out.
        self.released: list[Grant] = []
        #: Called with the worker, the first and the last key of each grant that isn't a renewal.
        self.on_grant: Callable[[Worker, int, int], None] | None = None
        #: Monotonic time at which the first heartbeat with state draining was confirmed.
        self.draining_confirmed_at: float | None = None
        #: Seconds by which heartbeats arrive late.
        self.heartbeat_delay_s = 0.0
        self.free_slots = asyncio.Semaphore(slots)
        self.runner: web.AppRunner | None = None
        self.heartbeats: asyncio.Task[None] | None = None
        self.session: aiohttp.ClientSession | None = None
        self.node = 0

    @property
    def address(self) -> str:
        """Address that the worker announces."""
        return f"{self.ip}:{self.port}"

    async def start(self) -> None:
        """Begin a lifetime: no keys, no memory of before."""
        self.born = max(int(time.time() * 1000), self.born + 1)
        self.sequence = 0
        self.state = "ready"
        self.grants, self.seen_fences, self.running, self.released = [], [], [], []
        self.free_slots = asyncio.Semaphore(self.slots)
        self.draining_confirmed_at = None
        application = web.Application()
        application.router.add_post("/api/grant", self.handle_grant)
        application.router.add_post("/api/release", self.handle_release)
        application.router.add_get("/health", self.handle_health)
        application.router.add_route("*", "/{path:.*}", self.handle_request)
        self.runner = web.AppRunner(
            application, access_log=None, handler_cancellation=True, shutdown_timeout=0.05
        )
        await self.runner.setup()
        await web.TCPSite(self.runner, self.ip, self.port, reuse_address=True).start()
        self.port = self.runner.addresses[0][1]
        self.session = aiohttp.ClientSession()
        self.is_up = True
        self.record.add("worker started", worker=self.identity, born=self.born)
        self.heartbeats = asyncio.create_task(self.send_heartbeats())

    async def crash(self) -> None:
        """End without a word to anyone."""
        self.is_up = False
        self.record.add("worker ended", worker=self.identity, born=self.born)
        if self.heartbeats is not None:
            self.heartbeats.cancel()
        if self.session is not None:
            await self.session.close()
        if self.runner is not None:
            await self.runner.cleanup()

    def heartbeat(self) -> dict[str, Any]:
        """Return the body of the next heartbeat."""
        self.sequence += 1
        return {
            "upstream": self.service,
            "address": self.address,
            "zone": self.deployment.controls[0].zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "slow_start_s_time": max(0.0, round(self.born / 1000 + SLOW_START_S - time.time(), 3)),
            "sequence": self.sequence,
            "born": self.born,
        }

    async def send_heartbeats(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            body = self.heartbeat()
            state = self.state
            if self.heartbeat_delay_s:
                await asyncio.sleep(self.heartbeat_delay_s)
            is_confirmed = await self.call_control("instances.heartbeat", body)
            if is_confirmed and state == "draining" and self.draining_confirmed_at is None:
                self.draining_confirmed_at = time.monotonic()
                self.record.add("draining confirmed", worker=self.identity)
            await asyncio.sleep(self.heartbeat_s)

    async def call_control(self, call: str, body: dict[str, Any]) -> bool:
        """Call control once, at the next nodes after a failure; return whether it confirmed."""
        assert self.session is not None
        controls = self.deployment.controls
        for _ in controls:
            url = self.deployment.control_url(
                controls[self.node % len(controls)], f"{call}&of={self.identity}"
            )
            timeout = aiohttp.ClientTimeout(total=CONFIRM_TIMEOUT_S)
            try:
                async with self.session.post(url, json=body, timeout=timeout) as response:
                    await response.read()
                    if 200 <= response.status < 300:
                        return True
            except (aiohttp.ClientError, TimeoutError, OSError):
                pass
            self.node += 1
        return False

    def _is_misdirected(self, request: web.Request) -> bool:
        expected = request.headers.get("Medlarpass-Expected-Instance")
        return expected is not None and expected != self.identity

    async def handle_grant(self, request: web.Request) -> web.StreamResponse:
        """Take keys, unless a higher fence was seen on one of them."""
        if self._is_misdirected(request):
            return web.Response(status=421, headers={"Medlarpass-Not-Executed": "1"})
        body = await request.json()
        first, last, fence, hold_s = body["from"], body["to"], body["fence"], body["hold_s"]
        if any(a <= last and first <= b and seen > fence for a, b, seen in self.seen_fences):
            self.record.add(
                "grant refused", worker=self.identity, first=first, last=last, fence=fence
            )
            return web.Response(status=409)
        self._see(first, last, fence)
        is_renewal = any(
            grant.fence == fence and grant.first <= first and last <= grant.last
            for grant in self.grants
        )
        self.grants = self._without(first, last)
        self.grants.append(Grant(first, last, fence, time.monotonic() + hold_s))
        if not is_renewal:
            self.record.add(
                "grant taken",
                worker=self.identity,
                born=self.born,
                first=first,
                last=last,
                fence=fence,
                hold_s=hold_s,
            )
            if self.on_grant is not None:
                self.on_grant(self, first, last)
        return web.Response()

    async def handle_release(self, request: web.Request) -> web.StreamResponse:
        """Stop new work on keys and respond once the running work on them has ended."""
        if self._is_misdirected(request):
            return web.Response(status=421, headers={"Medlarpass-Not-Executed": "1"})
        body = await request.json()
        first, last, fence = body["from"], body["to"], body["fence"]
        self.released += [
            Grant(max(grant.first, first), min(grant.last, last), grant.fence, grant.until)
            for grant in self.grants
            if grant.fence <= fence and grant.first <= last and first <= grant.last
        ]
        newer = [grant for grant in self.grants if grant.fence > fence]
        self.grants = [
            *newer,
            *self._without(first, last, [grant for grant in self.grants if grant.fence <= fence]),
        ]
        self._see(first, last, fence)
        self.record.add("release", worker=self.identity, first=first, last=last, fence=fence)
        while any(first <= key <= last for key in self.running):
            await self.work_ended.wait()
        return web.Response(headers={"Medlarpass-Handover": secrets.token_hex(8)})

    async def handle_health(self, request: web.Request) -> web.StreamResponse:
        """Answer 200 while healthy and not leaving."""
        status = 200 if self.state == "ready" else 503
        return web.Response(status=status, headers={"Medlarpass-Instance-Id": self.identity})

    async def handle_request(self, request: web.Request) -> web.StreamResponse:
        """Run a request."""
        attempt = request.headers.get("Medlarpass-Attempt-Id", "")
        echo = {"Medlarpass-Attempt-Id": attempt}
        key = int(request.headers.get("Medlarpass-Shard-Key", "0"))
        if self._is_misdirected(request) or (self.sharded and not self.holds(key)):
            self.record.add("rejected", worker=self.identity, id=attempt)
            return web.Response(status=421, headers={**echo, "Medlarpass-Not-Executed": "1"})
        self.record.arrived(self, attempt)
        await request.read()
        async with self.free_slots:
            if self.sharded and not self.holds(key):
                # The keys were released while the request waited for a slot.
                self.record.add("rejected", worker=self.identity, id=attempt)
                return web.Response(status=421, headers={**echo, "Medlarpass-Not-Executed": "1"})
            self.record.add("run", worker=self.identity, id=attempt, key=key)
            self.record.runs.append(attempt)
            self.running.append(key)
            try:
                await asyncio.sleep(self.work_s)
            finally:
                self.running.remove(key)
                self.work_ended.set()
                self.work_ended = asyncio.Event()
        return web.Response(
            body=f"{self.identity} {attempt}".encode(),
            headers={**echo, "Medlarpass-Server-Signature": f"{self.identity}.{attempt}"},
        )

    def holds(self, key: int) -> bool:
        """Return whether the worker holds a key now."""
        now = time.monotonic()
        return any(grant.first <= key <= grant.last and grant.until > now for grant in self.grants)

    def hold_until(self, key: int) -> float:
        """Return when the hold of a key runs out, or would have without its release."""
        return max(
            (g.until for g in [*self.grants, *self.released] if g.first <= key <= g.last),
            default=0.0,
        )

    def held(self) -> list[tuple[int, int, int]]:
        """Return first key, last key and fence of what the worker holds now."""
        now = time.monotonic()
        return [(g.first, g.last, g.fence) for g in self.grants if g.until > now]

    def _see(self, first: int, last: int, fence: int) -> None:
        kept = [
            (a, b, seen)
            for a, b, seen in self.seen_fences
            if not (first <= a and b <= last and seen <= fence)
        ]
        self.seen_fences = [*kept, (first, last, fence)]

    def _without(self, first: int, last: int, grants: list[Grant] | None = None) -> list[Grant]:
        kept = []
        for grant in self.grants if grants is None else grants:
            if grant.first < first:
                kept.append(
                    Grant(grant.first, min(grant.last, first - 1), grant.fence, grant.until)
                )
            if grant.last > last:
                kept.append(Grant(max(grant.first, last + 1), grant.last, grant.fence, grant.until))
        return kept
