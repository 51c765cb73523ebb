"""Bare aiohttp pass-through: ``python -m tools.measure.pass_through PORT FILE``.

FILE holds JSON with address and further headers by path. It does nothing but pass requests on.
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
    """Passes each request to the server of its path.

    :param targets: base address and further headers by path
    """

    __slots__ = ("session", "targets")

    def __init__(self, targets: dict[str, tuple[str, dict[str, str]]]) -> None:
        self.targets = targets

    async def open(self, application: web.Application) -> None:
        """Open the client session in the running loop."""
        self.session = ClientSession(connector=TCPConnector(limit=0), auto_decompress=False)

    async def close(self, application: web.Application) -> None:
        """Close the client session."""
        await self.session.close()

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Pass a request and its answer on."""
        address, headers = self.targets[request.path]
        passed = {name: value for name, value in request.headers.items() if _is_passed(name)}
        body = await request.read() if request.can_read_body else None
        async with self.session.request(
            request.method, address + request.path, headers=passed | headers, data=body
        ) as answer:
            content = await answer.read()
            back = {name: value for name, value in answer.headers.items() if _is_passed(name)}
            return web.Response(status=answer.status, headers=back, body=content)


def _is_passed(name: str) -> bool:
    return name.lower() not in HOP_BY_HOP


def main(port: int, path: Path) -> None:
    """Serve until the process is ended."""
    os.environ["UV_USE_IO_URING"] = "0"
    passing = PassThrough(json.loads(path.read_text(encoding="utf-8")))
    application = web.Application()
    application.on_startup.append(passing.open)
    application.on_cleanup.append(passing.close)
    application.router.add_route("*", "/{path:.*}", passing.handle)
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
