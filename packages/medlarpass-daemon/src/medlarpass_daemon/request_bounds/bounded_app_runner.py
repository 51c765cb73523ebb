"""Runs aiohttp applications on ports with bounds."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING
from typing import Any

from aiohttp import web

from medlarpass_daemon.request_bounds.bounded_request_protocol import BoundedRequestProtocol

if TYPE_CHECKING:
    from medlarpass_daemon.request_bounds.port_bounds import PortBounds


class BoundedServer(web.Server):
    """Creates the protocol of each connection to an application.

    :param server: server that aiohttp has created for the application
    :param port: bounds of the port
    :param max_body: most bytes of a body that the application reads
    """

    def __init__(self, server: web.Server, port: PortBounds, max_body: int) -> None:
        super().__init__(server.request_handler, request_factory=server.request_factory)
        self.port = port
        self.options: dict[str, Any] = {"max_body": max_body, **port.limits.protocol_options()}

    def __call__(self) -> BoundedRequestProtocol:
        """Return the protocol of a new connection."""
        return BoundedRequestProtocol(
            self.port, self, loop=asyncio.get_running_loop(), **self.options
        )


class BoundedAppRunner(web.AppRunner):
    """Runs an application on a port with bounds.

    :param application: application to serve
    :param port: bounds of the port
    :param shutdown_timeout: seconds for running handlers to finish when the port closes
    """

    __slots__ = ("port",)

    def __init__(
        self, application: web.Application, port: PortBounds, shutdown_timeout: float
    ) -> None:
        super().__init__(application, handle_signals=False, shutdown_timeout=shutdown_timeout)
        self.port = port

    async def _make_server(self) -> web.Server:
        return BoundedServer(await super()._make_server(), self.port, self.app._client_max_size)
