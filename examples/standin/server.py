"""HTTP server of a stand-in backend server."""

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

CHUNK_BYTES = 64 * 1024
#: Time for which new work is refused before the heartbeats end, so that entries learn of the state.
STATE_ANNOUNCEMENT_SECONDS = 0.5
POLL_INTERVAL_SECONDS = 0.02
#: Request header that overrides the processing time of the options.
WORK_MS_HEADER = "Standin-Work-Ms"
#: Request header that makes the server respond with the id of another request.
MISMATCHED_ID_HEADER = "Standin-Crossed"


class StandinServer:
    """Serves enquiries for keys that it owns, runs orders and serves downloads.

    :param options: identity, capacity and behaviour
    """

    def __init__(self, options: StandinOptions) -> None:
        self.options = options
        self.incarnation = time.time_ns() // 1_000_000
        self.holder = GrantHolder(BootClock())
        self.ownership_journal = OwnershipJournal(options.ownership_journal, options.identity)
        self.announcer = Announcer(options, self.incarnation, self.holder, self.ownership_journal)
        self.running_count = 0
        application = web.Application()
        application.router.add_get("/download/{size}", self._handle_download)
        application.router.add_get("/{path:.*}", self._handle_enquiry)
        application.router.add_post("/{path:.*}", self._handle_order)
        self.runner = web.AppRunner(application, access_log=None)
        self.heartbeats: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start listening and announce the server."""
        await self.runner.setup()
        await web.TCPSite(self.runner, self.options.ip, self.options.port).start()
        self.heartbeats = asyncio.create_task(self.announcer.run())

    async def shut_down(self) -> None:
        """Drain, finish running requests and stop the heartbeats."""
        self.announcer.state = "draining"
        await asyncio.sleep(STATE_ANNOUNCEMENT_SECONDS)
        await self._wait_until_idle()
        self.announcer.state = "leaving"
        await asyncio.sleep(STATE_ANNOUNCEMENT_SECONDS)
        if self.heartbeats:
            self.heartbeats.cancel()
        await self.runner.cleanup()

    async def _wait_until_idle(self) -> None:
        while True:
            if not self.running_count and not self.holder.grants:
                return
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def _handle_enquiry(self, request: web.Request) -> web.StreamResponse:
        shard = request.headers.get("Medlarpass-Shard")
        if shard is None:
            return self._refusal(request, "not-owner")
        pool = self.options.pools[0]
        key = request.path.rsplit("/", 1)[-1]
        fence = Fence.from_int(int(request.headers["Medlarpass-Fence"]))
        before = boot_time()
        refusal = self.holder.check(pool, int(shard), key, fence)
        if refusal:
            return self._refusal(request, refusal.value)
        with self.holder.track_request(pool, int(shard), key):
            self.ownership_journal.record_acceptance(key, fence, before)
            response = await self._respond(request, {"key": key, "fence": fence.to_int()})
            self.ownership_journal.record_end(key, fence)
            return response

    async def _handle_order(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        if self.running_count >= self.options.slots:
            return self._refusal(request, "shedding")
        if self.announcer.state != "ready":
            return self._refusal(request, "draining")
        order = request.headers.get("Order-Id", "")
        entry = {"order": order, "server": self.options.identity, "at": boot_time()}
        with self.options.journal.open("a", encoding="utf-8") as journal:
            journal.write(json.dumps(entry) + "\n")
        return await self._respond(
            request, {"order": order, "digest": hashlib.sha256(body).hexdigest()}
        )

    async def _handle_download(self, request: web.Request) -> web.StreamResponse:
        size = int(request.match_info["size"])
        request_id = request.headers.get("Medlarpass-Request-Id", "")
        response = web.StreamResponse(
            headers={
                "Content-Length": str(size),
                "Medlarpass-Request-Id": request_id,
                **self._notices(),
            }
        )
        fill = download_fill(request.path_qs)
        await response.prepare(request)
        self.ownership_journal.record_download()
        self.running_count += 1
        try:
            for offset in range(0, size, CHUNK_BYTES):
                await response.write(fill * min(CHUNK_BYTES, size - offset))
                await asyncio.sleep(self._work_seconds(request))
        finally:
            self.running_count -= 1
        return response

    async def _respond(self, request: web.Request, fields: dict[str, object]) -> web.Response:
        self.running_count += 1
        self.announcer.in_flight = self.running_count
        try:
            await asyncio.sleep(self._work_seconds(request))
        finally:
            self.running_count -= 1
        request_id = request.headers.get("Medlarpass-Request-Id", "")
        document = fields | {
            "server": self.options.identity,
            "incarnation": self.incarnation,
            "request": request_id,
            "path": request.path_qs,
        }
        if MISMATCHED_ID_HEADER in request.headers:
            request_id = f"not-{request_id}"
        return web.json_response(
            document, headers={"Medlarpass-Request-Id": request_id, **self._notices()}
        )

    def _work_seconds(self, request: web.Request) -> float:
        """Return the processing time of a request, or of a chunk of a download."""
        header_value = request.headers.get(WORK_MS_HEADER)
        return self.options.work_seconds if header_value is None else float(header_value) / 1000

    def _notices(self) -> dict[str, str]:
        """Return the headers that say that the server leaves, if it does."""
        return {} if self.announcer.state == "ready" else {"Medlarpass-Leaving": "1"}

    def _refusal(self, request: web.Request, reason: str) -> web.Response:
        status = 409 if reason in ("stale-fence", "not-owner") else 503
        headers = {
            "Medlarpass-Request-Id": request.headers.get("Medlarpass-Request-Id", ""),
            "Medlarpass-Outcome": "not-run",
            "Medlarpass-Refusal": reason,
            **self._notices(),
        }
        if reason == "shedding" and self.options.pause_seconds:
            headers["Medlarpass-Not-Before"] = f"{self.options.pause_seconds:.3g}"
        return web.json_response({"refusal": reason}, status=status, headers=headers)


def download_fill(path: str) -> bytes:
    """Return the byte that fills a download; it depends on the path to tell downloads apart.

    :param path: path and query of the request
    """
    return hashlib.sha256(path.encode()).digest()[:1]
