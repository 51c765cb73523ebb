"""Request side of a stand-in server."""

from __future__ import annotations

import asyncio
import hashlib
import json
import time

from typing import TYPE_CHECKING

from aiohttp import web

from examples.standin.announcer import Announcer
from examples.standin.ownership_journal import OwnershipJournal
from examples.standin.ownership_journal import boot_time
from medlarpass import BootClock
from medlarpass.ownership import Fence
from medlarpass.ownership import GrantHolder

if TYPE_CHECKING:
    from examples.standin.options import StandinOptions

CHUNK = 64 * 1024
#: Seconds that new work is refused before the server ends its heartbeats.
LEAVE_PAUSE = 0.5
CHECK_PAUSE = 0.02
#: Request header with the milliseconds that one request takes, instead of the option's.
WORK_HEADER = "Standin-Work-Ms"
#: Request header that makes the server answer with the id of another request.
CROSSED_HEADER = "Standin-Crossed"


class StandinServer:
    """Answers enquiries for keys it owns, runs orders and serves downloads.

    :param options: what to announce and how to behave
    """

    def __init__(self, options: StandinOptions) -> None:
        self.options = options
        self.incarnation = time.time_ns() // 1_000_000
        self.holder = GrantHolder(BootClock())
        self.ownership = OwnershipJournal(options.ownership_journal, options.identity)
        self.announcer = Announcer(options, self.incarnation, self.holder, self.ownership)
        self.running = 0
        application = web.Application()
        application.router.add_get("/download/{size}", self._download)
        application.router.add_get("/{path:.*}", self._enquiry)
        application.router.add_post("/{path:.*}", self._order)
        self.runner = web.AppRunner(application, access_log=None)
        self.heartbeats: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen and announce the server."""
        await self.runner.setup()
        await web.TCPSite(self.runner, self.options.ip, self.options.port).start()
        self.heartbeats = asyncio.create_task(self.announcer.run())

    async def leave(self) -> None:
        """Drain, finish what runs and end the heartbeats."""
        self.announcer.state = "draining"
        await asyncio.sleep(LEAVE_PAUSE)
        await self._idle()
        self.announcer.state = "leaving"
        await asyncio.sleep(LEAVE_PAUSE)
        if self.heartbeats:
            self.heartbeats.cancel()
        await self.runner.cleanup()

    async def _idle(self) -> None:
        while True:
            if not self.running and not self.holder.grants:
                return
            await asyncio.sleep(CHECK_PAUSE)

    async def _enquiry(self, request: web.Request) -> web.StreamResponse:
        shard = request.headers.get("Medlarpass-Shard")
        if shard is None:
            return self._refused("not-owner")
        pool = self.options.pools[0]
        key = request.path.rsplit("/", 1)[-1]
        fence = Fence.from_int(int(request.headers["Medlarpass-Fence"]))
        before = boot_time()
        refusal = self.holder.check(pool, int(shard), key, fence)
        if refusal:
            return self._refused(refusal.value)
        with self.holder.track_request(pool, int(shard), key):
            self.ownership.accepted(key, fence, before)
            response = await self._answer(request, {"key": key, "fence": fence.to_int()})
            self.ownership.ended(key, fence)
            return response

    async def _order(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        if self.running >= self.options.slots:
            return self._refused("shedding")
        if self.announcer.state != "ready":
            return self._refused("draining")
        order = request.headers.get("Order-Id", "")
        entry = {"order": order, "server": self.options.identity, "at": boot_time()}
        with self.options.journal.open("a", encoding="utf-8") as journal:
            journal.write(json.dumps(entry) + "\n")
        return await self._answer(
            request, {"order": order, "digest": hashlib.sha256(body).hexdigest()}
        )

    async def _download(self, request: web.Request) -> web.StreamResponse:
        size = int(request.match_info["size"])
        request_id = request.headers.get("Medlarpass-Request-Id", "")
        response = web.StreamResponse(
            headers={"Content-Length": str(size), "Medlarpass-Request-Id": request_id}
        )
        fill = download_fill(request.path_qs)
        await response.prepare(request)
        self.ownership.download_started()
        self.running += 1
        try:
            for offset in range(0, size, CHUNK):
                await response.write(fill * min(CHUNK, size - offset))
                await asyncio.sleep(self._work(request))
        finally:
            self.running -= 1
        return response

    async def _answer(self, request: web.Request, fields: dict[str, object]) -> web.Response:
        self.running += 1
        self.announcer.in_flight = self.running
        try:
            await asyncio.sleep(self._work(request))
        finally:
            self.running -= 1
        request_id = request.headers.get("Medlarpass-Request-Id", "")
        document = fields | {
            "server": self.options.identity,
            "incarnation": self.incarnation,
            "request": request_id,
            "path": request.path_qs,
        }
        if CROSSED_HEADER in request.headers:
            request_id = f"not-{request_id}"
        return web.json_response(document, headers={"Medlarpass-Request-Id": request_id})

    def _work(self, request: web.Request) -> float:
        """Return the seconds that a request, or a piece of a download, takes."""
        told = request.headers.get(WORK_HEADER)
        return self.options.work if told is None else float(told) / 1000

    def _refused(self, reason: str) -> web.Response:
        status = 409 if reason in ("stale-fence", "not-owner") else 503
        headers = {"Medlarpass-Outcome": "not-run", "Medlarpass-Refusal": reason}
        return web.json_response({"refusal": reason}, status=status, headers=headers)


def download_fill(path: str) -> bytes:
    """Return the byte that a download consists of, so that downloads can be told apart.

    :param path: path and query of the request
    """
    return hashlib.sha256(path.encode()).digest()[:1]
