"""Connections from callers."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING
from typing import Any

from aiohttp import web

from medlarpass_daemon.entry.callers.exceptions import CallerError

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from medlarpass.publication import CallerLimits
    from medlarpass_daemon.entry.callers.dialect import Dialect

#: Time for which an idle connection is kept. It is longer than the idle timeout of common load
#: balancers, which would otherwise write to a connection that is being closed.
KEEPALIVE_SECONDS = 120.0


class CallersProtocol(web.RequestHandler):
    """Responds to requests that can't be parsed with the usual error response."""

    __slots__ = ("dialect",)

    dialect: Dialect

    def close_when_answered(self) -> None:
        """Close the connection after the responses to requests that were already read."""
        is_waiting = self._waiter is not None and not self._waiter.done()
        if is_waiting and not self._messages:
            self.force_close()
        else:
            self.close()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the response to a request that is not valid HTTP."""
        error = CallerError("the request is not valid HTTP")
        response = self.dialect.error_response(error, self.dialect.request_id_of(request.headers))
        response.force_close()
        return response


class CallersListener(web.Server):
    """Creates the protocol of each connection.

    :param handler: handles a request
    :param read_buffer_bytes: bytes of a body that are read ahead
    :param dialect: headers and error responses of the deployment
    """

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        read_buffer_bytes: int,
        dialect: Dialect,
    ) -> None:
        super().__init__(handler, handler_cancellation=True)
        self.dialect = dialect
        self.options: dict[str, Any] = {
            "access_log": None,
            "auto_decompress": False,
            "keepalive_timeout": KEEPALIVE_SECONDS,
            "read_bufsize": read_buffer_bytes,
        }

    def protocols(self) -> list[CallersProtocol]:
        """Return the open connections."""
        return [
            connection for connection in self.connections if isinstance(connection, CallersProtocol)
        ]

    def apply_limits(self, limits: CallerLimits) -> None:
        """Apply limits to new connections."""
        self.options["keepalive_timeout"] = limits.idle_seconds
        self.options["max_line_size"] = limits.header_bytes
        self.options["max_field_size"] = limits.header_bytes

    def __call__(self) -> CallersProtocol:
        """Return the protocol of a new connection."""
        protocol = CallersProtocol(self, loop=asyncio.get_running_loop(), **self.options)
        protocol.dialect = self.dialect
        return protocol
