"""aiohttp listener for interfaces without streaming."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from medlarpass_daemon.exceptions import ListenError
from medlarpass_daemon.request_bounds import BoundedAppRunner
from medlarpass_daemon.request_bounds import ProcessBounds

if TYPE_CHECKING:
    from medlarpass_daemon.settings import ListenerSettings

#: Time for running handlers to finish when the listener closes.
SHUTDOWN_TIMEOUT_SECONDS = 5.0


class HttpListener:
    """Serves an aiohttp application on one address.

    :param application: application to serve
    :param settings: address to listen on
    :param name: name of the port
    :param bounds: bounds of the process
    """

    __slots__ = ("runner", "settings")

    def __init__(
        self,
        application: web.Application,
        settings: ListenerSettings,
        name: str,
        bounds: ProcessBounds | None = None,
    ) -> None:
        port = (bounds or ProcessBounds()).create_port(name)
        self.runner = BoundedAppRunner(application, port, SHUTDOWN_TIMEOUT_SECONDS)
        self.settings = settings

    async def start(self) -> None:
        """Start listening.

        :raises ListenError: when the address is not available
        """
        await self.runner.setup()
        try:
            await web.TCPSite(self.runner, self.settings.ip, self.settings.port).start()
        except OSError as error:
            raise ListenError(f"can't listen on {self.settings.endpoint()}: {error}") from error

    async def stop(self) -> None:
        """Stop listening and wait for running handlers."""
        await self.runner.cleanup()
