"""HTTP server for the platform: liveness, readiness and metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web
from prometheus_client import CONTENT_TYPE_LATEST
from prometheus_client import generate_latest

from medlarpass_daemon.observability.events import PLATFORM_STARTED
from medlarpass_daemon.observability.events import PLATFORM_STOPPED

if TYPE_CHECKING:
    from prometheus_client import CollectorRegistry

    from medlarpass_daemon.observability.readiness import Readiness
    from medlarpass_daemon.settings import DaemonSettings

#: Seconds that a stop waits for answers in flight, all of which are short.
SHUTDOWN_TIMEOUT = 5.0
#: A probe must never get a kept answer.
NO_STORE = {"Cache-Control": "no-store"}


class PlatformServer:
    """Serves ``/livez``, ``/readyz`` and ``/metrics``.

    :param settings: settings of the process
    :param readiness: reasons against readiness
    :param registry: metrics of the process
    """

    def __init__(
        self, settings: DaemonSettings, readiness: Readiness, registry: CollectorRegistry
    ) -> None:
        self.listener = settings.platform
        self.readiness = readiness
        self.registry = registry
        self.runner: web.AppRunner | None = None

    @property
    def port(self) -> int:
        """TCP port the server listens on.

        :raises RuntimeError: when the server has not started
        """
        if self.runner is None or not self.runner.addresses:
            raise RuntimeError("the platform server is not started")
        port: int = self.runner.addresses[0][1]
        return port

    async def start(self) -> None:
        """Start to listen.

        :raises OSError: when the address can't be used
        """
        application = web.Application()
        application.router.add_get("/livez", self.live)
        application.router.add_get("/readyz", self.ready)
        application.router.add_get("/metrics", self.metrics)
        runner = web.AppRunner(
            application,
            access_log=None,
            handle_signals=False,
            shutdown_timeout=SHUTDOWN_TIMEOUT,
        )
        await runner.setup()
        self.runner = runner
        try:
            await web.TCPSite(runner, self.listener.ip, self.listener.port).start()
        except OSError:
            await self.stop()
            raise
        PLATFORM_STARTED.log(ip=self.listener.ip, port=self.port)

    async def stop(self) -> None:
        """Stop to listen."""
        if self.runner is None:
            return
        runner, self.runner = self.runner, None
        await runner.cleanup()
        PLATFORM_STOPPED.log()

    async def live(self, request: web.Request) -> web.Response:
        """Answer 200 as long as the event loop runs."""
        return web.json_response({"live": True}, headers=NO_STORE)

    async def ready(self, request: web.Request) -> web.Response:
        """Answer 200 when ready, otherwise 503 with the reasons."""
        ready = self.readiness.is_ready
        document = {"ready": ready, "reasons": dict(sorted(self.readiness.reasons.items()))}
        return web.json_response(document, status=200 if ready else 503, headers=NO_STORE)

    async def metrics(self, request: web.Request) -> web.Response:
        """Answer with all metrics in the text form of Prometheus."""
        return web.Response(
            body=generate_latest(self.registry), headers={"Content-Type": CONTENT_TYPE_LATEST}
        )
