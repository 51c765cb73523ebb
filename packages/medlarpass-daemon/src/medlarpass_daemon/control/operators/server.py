"""HTTP server for operators."""

from __future__ import annotations

import ssl

from typing import TYPE_CHECKING

from aiohttp import web

from medlarpass import BootClock
from medlarpass_daemon.control.operators.audit_calls import AuditCalls
from medlarpass_daemon.control.operators.body import MAX_BODY_BYTES
from medlarpass_daemon.control.operators.drain_calls import DrainCalls
from medlarpass_daemon.control.operators.events import OPERATORS_STARTED
from medlarpass_daemon.control.operators.events import OPERATORS_STOPPED
from medlarpass_daemon.control.operators.middlewares import Guard
from medlarpass_daemon.control.operators.proposer import Proposer
from medlarpass_daemon.control.operators.replica_calls import ReplicaCalls
from medlarpass_daemon.control.operators.report_calls import ReportCalls
from medlarpass_daemon.control.operators.table_calls import TableCalls
from medlarpass_daemon.control.operators.token_file import TokenFile

if TYPE_CHECKING:
    from medlarpass import Clock
    from medlarpass_daemon.control.operators.interfaces import ControlBackend
    from medlarpass_daemon.settings import DaemonSettings

#: Seconds; aiohttp takes 0 as no bound at all.
LEAST_SHUTDOWN = 0.01


class OperatorsServer:
    """Serves the operators' HTTP/JSON interface of a control replica.

    :param settings: settings of the process, with the role control
    :param backend: replicated log
    :param clock: clock for the durations in the log
    :raises ValueError: when the settings lack the role control
    """

    def __init__(
        self, settings: DaemonSettings, backend: ControlBackend, clock: Clock | None = None
    ) -> None:
        if settings.control is None:
            raise ValueError("the operators' interface needs the role control")
        self.settings = settings
        self.listener = settings.control.operators
        self.backend = backend
        self.clock = clock or BootClock()
        self.runner: web.AppRunner | None = None

    @property
    def port(self) -> int:
        """TCP port the server listens on.

        :raises RuntimeError: when the server has not started
        """
        if self.runner is None or not self.runner.addresses:
            raise RuntimeError("the operators' interface is not started")
        port: int = self.runner.addresses[0][1]
        return port

    async def start(self) -> None:
        """Start to listen.

        :raises TokenFileError: when the token file can't be used
        :raises OSError: when the address or a certificate file can't be used
        """
        tokens_path = self.settings.security.operator_tokens
        tokens = None if tokens_path is None else TokenFile(tokens_path)
        runner = web.AppRunner(
            self._application(tokens),
            access_log=None,
            handle_signals=False,
            # A planned stop lets every call in flight finish.
            shutdown_timeout=max(self.settings.stop.finish_within, LEAST_SHUTDOWN),
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
        """Stop to listen and finish the calls in flight."""
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
        guard = Guard(self.backend, tokens, self.clock)
        application = web.Application(
            middlewares=[guard.middleware()], client_max_size=MAX_BODY_BYTES
        )
        proposer = Proposer(self.backend)
        TableCalls(self.backend, proposer).add_to(application.router)
        DrainCalls(self.backend, proposer).add_to(application.router)
        ReplicaCalls(self.backend, proposer).add_to(application.router)
        ReportCalls(self.backend).add_to(application.router)
        AuditCalls(self.backend).add_to(application.router)
        return application
