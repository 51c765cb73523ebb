"""Minimal aiohttp reverse proxy, the baseline for an entry.

Usage: ``python -m tools.measure.pass_through PORT FILE``. FILE is a JSON object that maps each path
to the server's base address and additional headers. Requests are forwarded without other
processing.
"""

from __future__ import annotations

import json
import os
import sys

from pathlib import Path

import uvloop

from aiohttp import ClientSession
from aiohttp import TCPConnector
from aiohttp import web

from tools.bench.ports import LOOPBACK

HOP_BY_HOP = {"connection", "content-length", "host", "transfer-encoding"}


class PassThrough:
    """Forwards each request to the server configured for its path.

    :param targets: base address and additional headers by path
    """

    __slots__ = ("session", "targets")

    def __init__(self, targets: dict[str, tuple[str, dict[str, str]]]) -> None:
        self.targets = targets

    async def open(self, application: web.Application) -> None:
        """Open the client session on the running event loop."""
        self.session = ClientSession(connector=TCPConnector(limit=0), auto_decompress=False)

    async def close(self, application: web.Application) -> None:
        """Close the client session."""
        await self.session.close()

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Forward a request and return the response."""
        address, extra_headers = self.targets[request.path]
        request_headers = {
            name: value for name, value in request.headers.items() if _is_forwarded(name)
        }
        body = await request.read() if request.can_read_body else None
        async with self.session.request(
            request.method,
            address + request.path,
            headers=request_headers | extra_headers,
            data=body,
        ) as response:
            content = await response.read()
            response_headers = {
                name: value for name, value in response.headers.items() if _is_forwarded(name)
            }
            return web.Response(status=response.status, headers=response_headers, body=content)


def _is_forwarded(name: str) -> bool:
    return name.lower() not in HOP_BY_HOP


def main(port: int, targets_path: Path) -> None:
    """Serve until the process is terminated."""
    os.environ["UV_USE_IO_URING"] = "0"
    pass_through = PassThrough(json.loads(targets_path.read_text(encoding="utf-8")))
    application = web.Application()
    application.on_startup.append(pass_through.open)
    application.on_cleanup.append(pass_through.close)
    application.router.add_route("*", "/{path:.*}", pass_through.handle)
    web.run_app(
        application,
        host=LOOPBACK,
        port=port,
        access_log=None,
        print=None,
        loop=uvloop.new_event_loop(),
    )


if __name__ == "__main__":
    main(int(sys.argv[1]), Path(sys.argv[2]))
