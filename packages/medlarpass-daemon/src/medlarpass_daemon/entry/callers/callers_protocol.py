"""Connections from callers."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING
from typing import Any

from aiohttp import web

from medlarpass_daemon.entry.callers import headers
from medlarpass_daemon.entry.callers.error_response import error_response
from medlarpass_daemon.entry.callers.exceptions import CallerError

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

#: Seconds an idle connection is kept; longer than that of usual load balancers, which would
#: otherwise write to a connection that is just being closed.
KEEPALIVE = 120.0


class CallersProtocol(web.RequestHandler):
    """Answers requests that can't be parsed in the form of all other errors."""

    __slots__ = ()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the answer to a request that is not valid HTTP."""
        error = CallerError("the request is not valid HTTP")
        response = error_response(error, headers.request_id_of(request.headers))
        response.force_close()
        return response


class CallersListener(web.Server):
    """Creates the protocol of each connection.

    :param handler: answers a request
    :param buffer: bytes read ahead of a body
    """

    def __init__(
        self, handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]], buffer: int
    ) -> None:
        super().__init__(handler, handler_cancellation=True)
        self.options: dict[str, Any] = {
            "access_log": None,
            "auto_decompress": False,
            "keepalive_timeout": KEEPALIVE,
            "read_bufsize": buffer,
        }

    def __call__(self) -> CallersProtocol:
        """Return the protocol of a new connection."""
        return CallersProtocol(self, loop=asyncio.get_running_loop(), **self.options)
