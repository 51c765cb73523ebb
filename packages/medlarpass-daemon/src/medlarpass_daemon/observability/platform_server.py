"""HTTP server for the platform: liveness, readiness and metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web
from prometheus_client import CONTENT_TYPE_LATEST
from prometheus_client import generate_latest

from medlarpass_daemon.observability.events import PLATFORM_STARTED
from medlarpass_daemon.observability.events import PLATFORM_STOPPED
from medlarpass_daemon.request_bounds import BoundedAppRunner
from medlarpass_daemon.request_bounds import ProcessBounds
from medlarpass_daemon.settings.limits import PLATFORM

if TYPE_CHECKING:
    from prometheus_client import CollectorRegistry

    from medlarpass_daemon.observability.readiness import Readiness
    from medlarpass_daemon.settings import DaemonSettings

#: Time to wait for responses in flight when the server stops; all of them are short.
SHUTDOWN_TIMEOUT_SECONDS = 5.0
#: Probes must never receive a cached response.
NO_STORE_HEADERS = {"Cache-Control": "no-store"}


class PlatformServer:
    """HTTP server for ``/livez``, ``/readyz`` and ``/metrics``.

    :param settings: settings of the process
    :param readiness: readiness of the process
    :param registry: metrics of the process
    :param bounds: bounds of the process
    """

    def __init__(
        self,
        settings: DaemonSettings,
        readiness: Readiness,
        registry: CollectorRegistry,
        bounds: ProcessBounds | None = None,
    ) -> None:
        self.bounds = bounds or ProcessBounds()
        self.listener = settings.platform
        self.readiness = readiness
        self.registry = registry
        self.runner: web.AppRunner | None = None

    @property
    def port(self) -> int:
        """TCP port the server listens on.

        :raises RuntimeError: when the server is not started
        """
        if self.runner is None or not self.runner.addresses:
            raise RuntimeError("the platform server is not started")
        port: int = self.runner.addresses[0][1]
        return port

    async def start(self) -> None:
        """Start listening.

        :raises OSError: when the address is not available
        """
        application = web.Application()
        application.router.add_get("/livez", self.handle_livez)
        application.router.add_get("/readyz", self.handle_readyz)
        application.router.add_get("/metrics", self.handle_metrics)
        port = self.bounds.create_port(PLATFORM)
        runner = BoundedAppRunner(application, port, SHUTDOWN_TIMEOUT_SECONDS)
        await runner.setup()
        self.runner = runner
        try:
            await web.TCPSite(runner, self.listener.ip, self.listener.port).start()
        except OSError:
            await self.stop()
            raise
        PLATFORM_STARTED.log(ip=self.listener.ip, port=self.port)

    async def stop(self) -> None:
        """Stop listening."""
        if self.runner is None:
            return
        runner, self.runner = self.runner, None
        await runner.cleanup()
        PLATFORM_STOPPED.log()

    async def handle_livez(self, request: web.Request) -> web.Response:
        """Respond with 200 as long as the event loop runs."""
        return web.json_response({"live": True}, headers=NO_STORE_HEADERS)

    async def handle_readyz(self, request: web.Request) -> web.Response:
        """Respond with 200 when ready, otherwise with 503 and the reasons."""
        ready = self.readiness.is_ready
        document = {"ready": ready, "reasons": dict(sorted(self.readiness.reasons.items()))}
        return web.json_response(document, status=200 if ready else 503, headers=NO_STORE_HEADERS)

    async def handle_metrics(self, request: web.Request) -> web.Response:
        """Respond with all metrics in the Prometheus text format."""
        return web.Response(
            body=generate_latest(self.registry), headers={"Content-Type": CONTENT_TYPE_LATEST}
        )
