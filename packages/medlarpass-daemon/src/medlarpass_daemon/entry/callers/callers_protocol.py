"""Connections from callers."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING
from typing import Any

from aiohttp import web

from medlarpass import MedlarpassError
from medlarpass_daemon.entry.callers.events import UNEXPECTED_ERROR
from medlarpass_daemon.entry.callers.exceptions import CallerError
from medlarpass_daemon.request_bounds import BoundedRequestProtocol
from medlarpass_daemon.request_bounds import RequestBoundError
from medlarpass_daemon.request_bounds.bounded_request_protocol import CALLER_FAULTS
from medlarpass_daemon.request_bounds.exceptions import InvalidHttpError

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from medlarpass.publication import CallerLimits
    from medlarpass_daemon.entry.callers.dialect import Dialect
    from medlarpass_daemon.request_bounds import PortBounds


#: Status with which aiohttp reports an exception of the handler; those of requests are below.
INTERNAL_ERROR_STATUS = 500


class CallersProtocol(BoundedRequestProtocol):
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
        """Return the response to a request that is not valid HTTP, exceeds a bound, or failed here.

        After an internal error nothing tells whether the request has run.
        """
        request_id = self.dialect.request_id_of(request.headers)
        error: MedlarpassError
        if isinstance(exc, RequestBoundError) and not isinstance(exc, InvalidHttpError):
            error = exc
        elif isinstance(exc, CALLER_FAULTS) or status < INTERNAL_ERROR_STATUS:
            error = CallerError("the request is not valid HTTP")
        else:
            UNEXPECTED_ERROR.log(request_id=request_id, error=repr(exc))
            error = MedlarpassError("the request failed because of an internal error of the entry")
        response = self.dialect.error_response(error, request_id)
        response.force_close()
        return response


class CallersListener(web.Server):
    """Creates the protocol of each connection.

    :param handler: handles a request
    :param read_buffer_bytes: bytes of a body that are read ahead
    :param dialect: headers and error responses of the deployment
    :param port: bounds of the port
    """

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        read_buffer_bytes: int,
        dialect: Dialect,
        port: PortBounds,
    ) -> None:
        super().__init__(handler, handler_cancellation=True)
        self.dialect = dialect
        self.port = port
        self.options: dict[str, Any] = {
            "auto_decompress": False,
            "read_bufsize": read_buffer_bytes,
            **port.limits.protocol_options(),
        }

    def protocols(self) -> list[CallersProtocol]:
        """Return the open connections."""
        return [
            connection for connection in self.connections if isinstance(connection, CallersProtocol)
        ]

    def apply_limits(self, limits: CallerLimits) -> None:
        """Apply limits to new connections."""
        self.port.apply_published(limits)
        self.options |= self.port.limits.protocol_options()

    def __call__(self) -> CallersProtocol:
        """Return the protocol of a new connection."""
        protocol = CallersProtocol(self.port, self, loop=asyncio.get_running_loop(), **self.options)
        protocol.dialect = self.dialect
        return protocol
