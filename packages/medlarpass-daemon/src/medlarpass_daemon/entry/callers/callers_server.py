"""HTTP server for callers."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING

from aiohttp import web

from medlarpass import MedlarpassError
from medlarpass import Outcome
from medlarpass.dispatch import RetryBudgetSettings

# Imported to register their handlers.
from medlarpass_daemon.entry.callers import download_flow  # noqa: F401
from medlarpass_daemon.entry.callers import enquiry_flow  # noqa: F401
from medlarpass_daemon.entry.callers import order_flow  # noqa: F401
from medlarpass_daemon.entry.callers.callers_protocol import CallersListener
from medlarpass_daemon.entry.callers.callers_protocol import CallersProtocol
from medlarpass_daemon.entry.callers.dialect import DefaultDialect
from medlarpass_daemon.entry.callers.error_response import outcome_of
from medlarpass_daemon.entry.callers.events import REQUEST_ENDED
from medlarpass_daemon.entry.callers.events import UNEXPECTED_ERROR
from medlarpass_daemon.entry.callers.exceptions import CallerGoneError
from medlarpass_daemon.entry.callers.flow import handle
from medlarpass_daemon.entry.callers.metrics import CallersMetrics
from medlarpass_daemon.entry.callers.request_context import RequestContext
from medlarpass_daemon.entry.callers.request_reader import read_request
from medlarpass_daemon.entry.callers.retry_after import retry_after_seconds
from medlarpass_daemon.request_bounds import ProcessBounds
from medlarpass_daemon.settings.limits import CALLERS

if TYPE_CHECKING:
    from medlarpass import Clock
    from medlarpass.publication import CallerLimits
    from medlarpass_daemon.entry.callers.caller_request import CallerRequest
    from medlarpass_daemon.entry.callers.dialect import Dialect
    from medlarpass_daemon.entry.callers.interfaces import OrderClaims
    from medlarpass_daemon.entry.callers.interfaces import OwnerDirectory
    from medlarpass_daemon.entry.callers.interfaces import PeerLoads
    from medlarpass_daemon.entry.callers.interfaces import RoutingTable
    from medlarpass_daemon.entry.callers.interfaces import ServerDirectory
    from medlarpass_daemon.settings import DaemonSettings

#: Interval between checks for remaining work during a graceful shutdown.
IDLE_POLL_INTERVAL_SECONDS = 0.05
#: Time before the end of a graceful shutdown at which queued requests are refused.
REFUSAL_SECONDS = 0.3
#: Fraction of the configured retry ratio that an entry uses. The configured ratio applies to a pool
#: as a whole over a window, while an entry counts per route and its windows begin at other times.
RETRY_BUDGET_SHARE_RATIO = 0.9
#: Route label of requests without route.
NO_ROUTE = "-"


class CallersServer:
    """Serves callers until it is shut down.

    :param settings: settings of the process, with the role entry
    :param routing: configuration in force
    :param owners: owners of keys
    :param servers: servers of the pools
    :param claims: claims of orders
    :param peer_loads: in-flight requests reported by peers
    :param clock: source of time; includes the time for which the system is suspended
    :param metrics: metrics of the request path; registered for the process by default
    :param dialect: headers and error responses of the deployment, medlarpass's own by default
    :param bounds: bounds of the process
    """

    __slots__ = (
        "active_connections",
        "bounds",
        "clock",
        "context",
        "in_flight",
        "listener",
        "metrics",
        "port",
        "server",
        "settings",
    )

    def __init__(
        self,
        settings: DaemonSettings,
        routing: RoutingTable,
        owners: OwnerDirectory,
        servers: ServerDirectory,
        claims: OrderClaims,
        peer_loads: PeerLoads,
        clock: Clock,
        metrics: CallersMetrics | None = None,
        dialect: Dialect | None = None,
        bounds: ProcessBounds | None = None,
    ) -> None:
        if settings.entry is None:
            raise ValueError("the settings have no role entry")
        self.settings = settings.entry
        self.clock = clock
        self.bounds = bounds or ProcessBounds()
        self.metrics = metrics or CallersMetrics()
        self.context = RequestContext(
            settings.entry,
            routing,
            owners,
            servers,
            claims,
            peer_loads,
            clock,
            self.metrics,
            dialect or DefaultDialect(),
            settings.domain,
            _retry_budget(settings),
        )
        self.metrics.queued.set_function(lambda: self.context.admission.queued)
        notices, not_accepting = self.context.notices, self.metrics.not_accepting
        not_accepting.labels("leaving").set_function(notices.count_leaving)
        not_accepting.labels("paused").set_function(notices.count_paused)
        #: Number of requests whose response is not completely written.
        self.in_flight = 0
        #: Connections with a request in flight.
        self.active_connections: set[asyncio.BaseProtocol] = set()
        self.listener: CallersListener | None = None
        self.server: asyncio.Server | None = None
        #: Port of the listening socket.
        self.port = 0

    async def start(self) -> None:
        """Start accepting connections."""
        loop = asyncio.get_running_loop()
        self.listener = CallersListener(
            self._handle,
            self.settings.buffer,
            self.context.dialect,
            self.bounds.create_port(CALLERS),
        )
        address = self.settings.callers
        self.server = await loop.create_server(self.listener, address.ip, address.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def apply_limits(self, limits: CallerLimits) -> None:
        """Apply limits for callers to new connections; open connections keep their limits.

        :param limits: limits of a publication
        """
        if self.listener is not None:
            self.listener.apply_limits(limits)

    def start_draining(self) -> None:
        """Start draining: each response from now on closes its connection."""
        self.context.is_draining = True

    def stop_accepting(self) -> None:
        """Close the listening socket; requests on open connections are still served."""
        self.context.is_draining = True
        if self.server is not None:
            self.server.close()

    async def finish(self, timeout: float) -> bool:
        """Wait until nothing is in flight, then close all connections.

        :param timeout: seconds after which remaining requests are aborted
        :returns: whether all requests ended in time
        """
        self.stop_accepting()
        has_finished = await self._wait_until_idle(max(timeout - REFUSAL_SECONDS, 0.0))
        if not has_finished:
            # Requests that no server has got yet are refused rather than cut off.
            self.context.admission.reject_waiting()
            has_finished = await self._wait_until_idle(min(timeout, REFUSAL_SECONDS))
        self.context.claim_recorder.cancel_pending()
        for task in list(self.context.order_tasks):
            task.cancel()
        if self.listener is not None:
            await self.listener.shutdown(IDLE_POLL_INTERVAL_SECONDS)
        await self.context.client.close()
        return has_finished

    @property
    def has_work(self) -> bool:
        """Whether a request, an order or the recording of an order's outcome is unfinished."""
        return bool(self.in_flight or self.context.order_tasks or self.context.claim_recorder.tasks)

    async def _wait_until_idle(self, timeout: float) -> bool:
        deadline = asyncio.get_running_loop().time() + timeout
        idle: set[asyncio.BaseProtocol] = set()
        while True:
            idle = self._close_idle(idle)
            if not self.has_work and not self._connections():
                return True
            if asyncio.get_running_loop().time() >= deadline:
                return not self.has_work
            await asyncio.sleep(IDLE_POLL_INTERVAL_SECONDS)

    def _close_idle(self, previously_idle: set[asyncio.BaseProtocol]) -> set[asyncio.BaseProtocol]:
        """Close the connections that were already idle at the previous check.

        A connection that has just become idle may already be receiving a request.
        """
        idle: set[asyncio.BaseProtocol] = set()
        for connection in self._connections():
            if connection in self.active_connections:
                continue
            if connection in previously_idle:
                connection.close_when_answered()
            idle.add(connection)
        return idle

    def _connections(self) -> list[CallersProtocol]:
        return self.listener.protocols() if self.listener is not None else []

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        protocol = request.protocol
        self.in_flight += 1
        self.active_connections.add(protocol)
        self.metrics.in_flight.inc()
        try:
            response = await self._create_response(request)
            if self.context.is_draining:
                response.force_close()
            try:
                await response.prepare(request)
                await response.write_eof()
            except ConnectionError:
                pass
            return response
        finally:
            self.in_flight -= 1
            self.active_connections.discard(protocol)
            self.metrics.in_flight.dec()

    async def _create_response(self, web_request: web.BaseRequest) -> web.StreamResponse:
        started_at = self.clock.now()
        dialect = self.context.dialect
        request_id = dialect.request_id_of(web_request.headers)
        request = None
        outcome = Outcome.UNKNOWN
        code: str | None = None
        try:
            request = read_request(web_request, request_id, self.context)
            self.context.count_demand(request)
            self.context.check_admitted(request)
            response = await handle(request, self.context)
            if not request.is_truncated:
                outcome = Outcome.RUN
            return response
        except ConnectionError:
            # The caller disconnected; the response only ends the handling of the connection.
            code = CallerGoneError.code
            return web.Response(status=499)
        except Exception as error:
            failure = _to_medlarpass_error(error, request_id)
            code = failure.code
            may_have_run = request is not None and request.may_have_run
            if request is not None and request.route.target_latency is not None:
                failure.retry_after = retry_after_seconds(failure, request.route.target_latency)
            self.metrics.refusals.labels(failure.code).inc()
            outcome = outcome_of(failure, may_have_run)
            return dialect.error_response(failure, request_id, may_have_run)
        finally:
            route = request.route.name if request is not None else NO_ROUTE
            seconds = self.clock.now() - started_at
            self.metrics.request_ended(route, outcome, seconds)
            if outcome is not Outcome.RUN or (request is not None and request.attempts > 1):
                self._log_request_ended(request_id, request, outcome, code, seconds)

    def _log_request_ended(
        self,
        request_id: str,
        request: CallerRequest | None,
        outcome: Outcome,
        code: str | None,
        seconds: float,
    ) -> None:
        """Log a request that failed or needed more than one attempt."""
        target = request.target if request is not None else None
        REQUEST_ENDED.log(
            request_id=request_id,
            route=request.route.name if request is not None else None,
            pool=request.pool.name if request is not None else None,
            key=request.owned_key if request is not None else None,
            attempts=request.attempts if request is not None else 0,
            server=target.identity if target is not None else None,
            revision=self.context.routing.revision,
            view_age=self.context.view_age(),
            code=code,
            outcome=outcome.value,
            seconds=round(seconds, 4),
        )


def _retry_budget(settings: DaemonSettings) -> RetryBudgetSettings:
    """Return the settings of the retry budgets of an entry's routes."""
    if settings.fleet is None:
        return RetryBudgetSettings()
    return RetryBudgetSettings(ratio=settings.fleet.retry_ratio * RETRY_BUDGET_SHARE_RATIO)


def _to_medlarpass_error(error: Exception, request_id: str) -> MedlarpassError:
    if isinstance(error, MedlarpassError):
        return error
    UNEXPECTED_ERROR.log(request_id=request_id, error=repr(error))
    return MedlarpassError("the request failed because of an internal error of the entry")
