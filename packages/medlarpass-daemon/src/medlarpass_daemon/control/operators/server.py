"""HTTP server of the operators' API."""

from __future__ import annotations

import ssl

from typing import TYPE_CHECKING

from aiohttp import web

from medlarpass import BootClock
from medlarpass_daemon.control.operators.audit_handlers import AuditHandlers
from medlarpass_daemon.control.operators.body import MAX_BODY_BYTES
from medlarpass_daemon.control.operators.drain_handlers import DrainHandlers
from medlarpass_daemon.control.operators.evacuation_handlers import EvacuationHandlers
from medlarpass_daemon.control.operators.events import OPERATORS_STARTED
from medlarpass_daemon.control.operators.events import OPERATORS_STOPPED
from medlarpass_daemon.control.operators.middleware import OperatorMiddleware
from medlarpass_daemon.control.operators.proposer import Proposer
from medlarpass_daemon.control.operators.replica_handlers import ReplicaHandlers
from medlarpass_daemon.control.operators.report_handlers import ReportHandlers
from medlarpass_daemon.control.operators.table_handlers import TableHandlers
from medlarpass_daemon.control.operators.token_file import TokenFile
from medlarpass_daemon.request_bounds import BoundedAppRunner
from medlarpass_daemon.request_bounds import ProcessBounds
from medlarpass_daemon.settings.limits import OPERATORS

if TYPE_CHECKING:
    from medlarpass import Clock
    from medlarpass_daemon.control.operators.interfaces import ControlBackend
    from medlarpass_daemon.settings import DaemonSettings

#: aiohttp treats a shutdown timeout of 0 as unlimited.
MIN_SHUTDOWN_SECONDS = 0.01


class OperatorsServer:
    """Serves the operators' HTTP/JSON API of a control replica.

    :param settings: settings of the process, with the role control
    :param backend: access to the replicated log
    :param clock: clock for the durations in log events
    :param bounds: bounds of the process
    :raises ValueError: when the settings lack the role control
    """

    def __init__(
        self,
        settings: DaemonSettings,
        backend: ControlBackend,
        clock: Clock | None = None,
        bounds: ProcessBounds | None = None,
    ) -> None:
        if settings.control is None:
            raise ValueError("the operators' API requires the role control")
        self.settings = settings
        self.listener = settings.control.operators
        self.backend = backend
        self.clock = clock or BootClock()
        self.bounds = bounds or ProcessBounds()
        self.runner: web.AppRunner | None = None

    @property
    def port(self) -> int:
        """TCP port that the server listens on.

        :raises RuntimeError: when the server has not started
        """
        if self.runner is None or not self.runner.addresses:
            raise RuntimeError("the server of the operators' API is not started")
        port: int = self.runner.addresses[0][1]
        return port

    async def start(self) -> None:
        """Start listening.

        :raises TokenFileError: when the token file can't be read or is invalid
        :raises OSError: when the address is not available or a certificate file can't be read
        """
        tokens_path = self.settings.security.operator_tokens
        tokens = None if tokens_path is None else TokenFile(tokens_path)
        runner = BoundedAppRunner(
            self._application(tokens),
            self.bounds.create_port(OPERATORS),
            # A graceful shutdown waits for the requests in flight.
            max(self.settings.stop.finish_within, MIN_SHUTDOWN_SECONDS),
        )
        await runner.setup()
        self.runner = runner
        try:
            await web.TCPSite(
                runner, self.listener.ip, self.listener.port, ssl_context=self._ssl_context()
            ).start()
        except OSError:
            await self.stop()
            raise
        OPERATORS_STARTED.log(ip=self.listener.ip, port=self.port, authenticated=tokens is not None)

    async def stop(self) -> None:
        """Stop listening and finish the requests in flight."""
        if self.runner is None:
            return
        runner, self.runner = self.runner, None
        await runner.cleanup()
        OPERATORS_STOPPED.log()

    def _ssl_context(self) -> ssl.SSLContext | None:
        security = self.settings.security
        if security.operator_certificate is None:
            return None
        context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        context.load_cert_chain(security.operator_certificate, security.operator_key)
        return context

    def _application(self, tokens: TokenFile | None) -> web.Application:
        middleware = OperatorMiddleware(self.backend, tokens, self.clock)
        application = web.Application(
            middlewares=[middleware.middleware()], client_max_size=MAX_BODY_BYTES
        )
        proposer = Proposer(self.backend)
        TableHandlers(self.backend, proposer).register(application.router)
        DrainHandlers(self.backend, proposer).register(application.router)
        EvacuationHandlers(self.settings, self.backend, proposer).register(application.router)
        ReplicaHandlers(self.backend, proposer).register(application.router)
        ReportHandlers(self.backend).register(application.router)
        AuditHandlers(self.backend).register(application.router)
        return application
