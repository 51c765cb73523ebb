"""Components of a process with the role entry that follows control."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING

from medlarpass.dispatch import DemandCounter
from medlarpass.ranges import KeyLoads
from medlarpass_daemon.entry.callers import CallersServer
from medlarpass_daemon.entry.callers.domain_router import DomainRouter
from medlarpass_daemon.entry.callers.metrics import CallersMetrics
from medlarpass_daemon.entry.callers.owner_queue import OwnerQueue
from medlarpass_daemon.entry.callers.owner_turns import OwnerTurns
from medlarpass_daemon.entry.callers.pool_gate import PoolGate
from medlarpass_daemon.entry.fleet.entry_reports import EntryReports
from medlarpass_daemon.entry.fleet.fleet_routing import FleetRouting
from medlarpass_daemon.entry.fleet.fleet_servers import FleetServers
from medlarpass_daemon.entry.fleet.fleet_watcher import FleetWatcher
from medlarpass_daemon.entry.fleet.no_claims import NoClaims
from medlarpass_daemon.entry.fleet.no_peers import NoPeers
from medlarpass_daemon.entry.fleet.publication_age import PublicationAge
from medlarpass_daemon.entry.fleet.traffic_view import TrafficView
from medlarpass_daemon.supervision import supervise

if TYPE_CHECKING:
    import grpc

    from medlarpass import Clock
    from medlarpass.rpc import fleet_pb2
    from medlarpass_daemon.observability import Metrics
    from medlarpass_daemon.observability import Readiness
    from medlarpass_daemon.publication_parts import PublicationAssembler
    from medlarpass_daemon.request_bounds import ProcessBounds
    from medlarpass_daemon.rpc_channels import RpcChannels
    from medlarpass_daemon.seeds import Seeds
    from medlarpass_daemon.settings import DaemonSettings
    from medlarpass_daemon.settings import EntrySettings

#: Reason for which the entry is not ready until the first publication is in force.
NO_PUBLICATION = "no_publication"
#: Interval at which the state of departed servers and deleted routes is removed to free memory.
REMOVAL_INTERVAL_SECONDS = 10.0


class FleetEntryRole:
    """The request path, with routes, servers and owners from the control leader.

    :param settings: settings of the process, with the section ``fleet``
    :param entry: settings of the role
    :param channels: gRPC channels
    :param readiness: reasons for which the entry is not ready for callers
    :param metrics: metrics of the process
    :param clock: clock of this process
    :param seeds: initial addresses of control
    :param bounds: bounds of the process
    """

    __slots__ = (
        "callers",
        "metrics",
        "readiness",
        "reports",
        "routing",
        "servers",
        "settings",
        "tasks",
        "traffic",
        "watcher",
    )

    def __init__(
        self,
        settings: DaemonSettings,
        entry: EntrySettings,
        channels: RpcChannels,
        readiness: Readiness,
        metrics: Metrics,
        clock: Clock,
        seeds: Seeds,
        bounds: ProcessBounds,
    ) -> None:
        assert settings.fleet is not None
        self.settings = settings
        self.readiness = readiness
        self.metrics = metrics
        loads = KeyLoads()
        age = PublicationAge(clock, settings.fleet.apply_within)
        self.routing = FleetRouting(age)
        self.servers = FleetServers(self.routing, loads, clock)
        self.callers = CallersServer(
            settings,
            self.routing,
            self.servers,
            self.servers,
            NoClaims(),
            NoPeers(),
            clock,
            CallersMetrics(metrics.registry),
            settings.fleet.load_adapter().dialect,
            bounds,
        )
        self.callers.context.view_age = self.servers.view_age
        limited = self.callers.metrics.limited
        limited.labels("cold").set_function(self.servers.count_cold)
        limited.labels("overloaded").set_function(self.servers.count_overloaded)
        self.callers.metrics.least_admitted.set_function(self.servers.least_admitted_share)
        self.watcher = FleetWatcher(
            settings,
            seeds,
            self._apply,
            lambda: self.routing.revision,
            channels,
        )
        demands = self.callers.context.demands = DemandCounter()
        self.reports = EntryReports(
            self.watcher,
            age,
            loads,
            self.callers.context.server_selector.take_latencies,
            demands,
        )
        self.traffic = TrafficView(clock)
        if settings.fleet.domain_routing:
            context = self.callers.context
            context.domain_router = DomainRouter(
                settings.name,
                settings.domain,
                self.traffic.shares_of,
                context.server_selector,
                clock,
                context.metrics,
            )
        if settings.fleet.pool_admission:
            context = self.callers.context
            context.pool_gate = PoolGate(self.traffic, clock, context.metrics, context.dialect)
            context.owner_queue = OwnerQueue(OwnerTurns(clock), context.server_selector)
        self.tasks: list[asyncio.Task[None]] = []

    def add_services(self, server: grpc.aio.Server) -> None:
        """Add no service, because neither control nor other entries call this role."""

    async def start(self) -> None:
        """Start all tasks and listeners."""
        self.readiness.block(NO_PUBLICATION, "no publication from control yet")
        task_functions = {
            "fleet watcher": self.watcher.run,
            "fleet reports": self.reports.run,
            "departed servers": self._remove_departed,
        }
        self.tasks = [
            asyncio.create_task(supervise(name, run)) for name, run in task_functions.items()
        ]
        await self.callers.start()

    def start_draining(self) -> None:
        """Close the connection of each caller with its next response."""
        self.callers.start_draining()

    async def finish(self) -> None:
        """Finish all requests in flight."""
        self.callers.stop_accepting()
        await self.callers.finish(self.settings.stop.finish_within)

    async def stop(self) -> None:
        """Stop the remaining tasks."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def _apply(self, update: fleet_pb2.FleetUpdate, assembler: PublicationAssembler) -> None:
        if update.HasField("publication") and self.routing.apply_part(
            update.publication, assembler
        ):
            self._on_publication()
        self.callers.context.client.connection_budget.set_entry_count(self.watcher.entry_count)
        self.callers.context.server_selector.set_entry_count(self.watcher.entry_count)
        self.servers.apply(update)
        self.traffic.apply(update)
        if self.routing.revision and self.servers.is_complete:
            self.readiness.clear(NO_PUBLICATION)

    def _on_publication(self) -> None:
        publication = self.routing.publication
        assert publication is not None
        self.callers.apply_limits(publication.limits)
        self.metrics.configuration_revision.set(self.routing.revision)
        self.servers.targets.clear()

    async def _remove_departed(self) -> None:
        while True:
            await asyncio.sleep(REMOVAL_INTERVAL_SECONDS)
            routes = (
                {route.name for route in self.routing.publication.routes}
                if (self.routing.publication)
                else set()
            )
            self.callers.context.retain(set(self.servers.servers), routes)
