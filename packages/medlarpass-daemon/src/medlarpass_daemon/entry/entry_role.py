"""Components of a process with the role entry."""

from __future__ import annotations

import asyncio
import time

from typing import TYPE_CHECKING

from medlarpass.ownership import LeaseAcceptor
from medlarpass.ownership import LeaseProposer
from medlarpass.ownership.ballot import proposer_name
from medlarpass.registry import ServerRegistry
from medlarpass.registry import ServerState
from medlarpass.rpc import control_pb2
from medlarpass.rpc import domain_pb2_grpc
from medlarpass_daemon.entry.acceptor_clients import LocalAcceptorClient
from medlarpass_daemon.entry.acceptor_clients import RpcAcceptorClient
from medlarpass_daemon.entry.callers import CallersServer
from medlarpass_daemon.entry.callers.metrics import CallersMetrics
from medlarpass_daemon.entry.configuration_store import ConfigurationStore
from medlarpass_daemon.entry.configuration_watcher import ConfigurationWatcher
from medlarpass_daemon.entry.control_client import ControlClient
from medlarpass_daemon.entry.control_directory import ControlDirectory
from medlarpass_daemon.entry.coordinator_task import CoordinatorTask
from medlarpass_daemon.entry.directories import OwnerDirectory
from medlarpass_daemon.entry.directories import ServerDirectory
from medlarpass_daemon.entry.directories import TargetFactory
from medlarpass_daemon.entry.domain_service import DomainService
from medlarpass_daemon.entry.domain_watcher import DomainWatcher
from medlarpass_daemon.entry.load_reports import LoadReports
from medlarpass_daemon.entry.order_claims import OrderClaims
from medlarpass_daemon.entry.own_loads import OwnLoads
from medlarpass_daemon.entry.peer_exchange import PeerExchange
from medlarpass_daemon.entry.server_api import ServerApi
from medlarpass_daemon.entry.server_gateway import ServerGateway
from medlarpass_daemon.request_bounds import ProcessBounds
from medlarpass_daemon.supervision import supervise

if TYPE_CHECKING:
    import grpc

    from medlarpass import Clock
    from medlarpass.ownership import AcceptorClient
    from medlarpass.rpc import domain_pb2
    from medlarpass_daemon.observability import Metrics
    from medlarpass_daemon.observability import Readiness
    from medlarpass_daemon.rpc_channels import RpcChannels
    from medlarpass_daemon.settings import DaemonSettings
    from medlarpass_daemon.settings import EntrySettings

NANOSECONDS_PER_MS = 1_000_000
#: Reason for which the entry is not ready until the first configuration is in force.
NO_CONFIGURATION = "no_configuration"
#: Interval at which the state of departed servers and deleted routes is removed to free memory.
REMOVAL_INTERVAL_SECONDS = 10.0


class EntryRole:
    """The request path, the servers' interface and the coordination within the failure domain.

    :param settings: settings of the process
    :param entry: settings of the role
    :param channels: gRPC channels
    :param readiness: reasons for which the entry is not ready for callers
    :param metrics: metrics of the process
    :param clock: clock of this process
    :param bounds: bounds of the process
    """

    __slots__ = (
        "acceptor",
        "bounds",
        "callers",
        "channels",
        "clock",
        "control",
        "coordinator",
        "entry",
        "exchange",
        "loads",
        "metrics",
        "own_loads",
        "owners",
        "readiness",
        "registry",
        "servers",
        "settings",
        "store",
        "targets",
        "tasks",
    )

    def __init__(
        self,
        settings: DaemonSettings,
        entry: EntrySettings,
        channels: RpcChannels,
        readiness: Readiness,
        metrics: Metrics,
        clock: Clock,
        bounds: ProcessBounds | None = None,
    ) -> None:
        self.bounds = bounds or ProcessBounds()
        self.metrics = metrics
        self.settings = settings
        self.readiness = readiness
        self.entry = entry
        self.channels = channels
        self.clock = clock
        self.store = ConfigurationStore()
        self.registry = ServerRegistry(clock, entry.server_staleness)
        self.targets = TargetFactory(settings.address_translation)
        self.loads = LoadReports(settings.name, clock)
        self.own_loads = OwnLoads(self.store, clock)
        self.control = ControlDirectory(entry.control)
        incarnation = time.time_ns() // NANOSECONDS_PER_MS
        name = proposer_name(settings.name, incarnation)
        self.acceptor = LeaseAcceptor(clock, entry.coordinator_term, name)
        self.coordinator = self._coordinator(incarnation)
        domains = dict.fromkeys(peer.domain for peer in entry.peers)
        self.owners = OwnerDirectory(domains, self.registry, self.targets, self.own_loads, clock)
        self.callers = self._callers()
        self.exchange = PeerExchange(
            settings, entry, self.registry, self.store, self.loads, self._fill_loads, channels
        )
        gateway = ServerGateway(
            settings,
            entry,
            self.registry,
            self.acceptor,
            self.coordinator,
            self.exchange,
            channels,
        )
        self.servers = ServerApi(settings, entry, gateway, self.bounds)
        self.tasks: list[asyncio.Task[None]] = []

    def add_services(self, server: grpc.aio.Server) -> None:
        """Add the gRPC service of this role."""
        service = DomainService(self.acceptor, self.coordinator, self.exchange)
        domain_pb2_grpc.add_DomainServicer_to_server(service, server)

    async def start(self) -> None:
        """Start all tasks and listeners; the gRPC server must be serving."""
        watcher = ConfigurationWatcher(self.settings, self.store, self.control, self.channels)
        task_functions = {
            "configuration watcher": watcher.run,
            "configuration": self._follow_configuration,
            "departed servers": self._remove_departed,
            "coordinator": self.coordinator.run,
            "peer exchange": self.exchange.run,
            **{f"domain {domain}": self._watcher(domain).run for domain in self.owners.views},
        }
        self.tasks = [
            asyncio.create_task(supervise(name, run)) for name, run in task_functions.items()
        ]
        await self.servers.start()
        await self.callers.start()

    def start_draining(self) -> None:
        """Close the connection of each caller with its next response."""
        self.callers.start_draining()

    async def finish(self) -> None:
        """Release the coordinator lease and finish all requests in flight."""
        self.callers.stop_accepting()
        await self.coordinator.resign()
        await self.callers.finish(self.settings.stop.finish_within)

    async def stop(self) -> None:
        """Stop the remaining tasks and listeners."""
        await self.servers.stop()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def remove_departed(self) -> None:
        """Remove the request path's state of departed servers and deleted routes."""
        servers = {
            identity
            for identity, registered in self.registry.registered_servers.items()
            if registered.state is not ServerState.LEAVING
        }
        routes = {
            item.name
            for item in self.store.configuration.items
            if item.kind == control_pb2.ITEM_KIND_ROUTE
        }
        self.callers.context.retain(servers, routes)

    def _coordinator(self, incarnation: int) -> CoordinatorTask:
        acceptors: dict[str, AcceptorClient] = {
            peer.name: RpcAcceptorClient(self.channels, peer.address, self.entry.coordinator_term)
            for peer in self.entry.peers
            if peer.domain == self.settings.domain
        }
        acceptors[self.settings.name] = LocalAcceptorClient(self.acceptor)
        proposer = LeaseProposer(
            self.settings.name,
            incarnation,
            acceptors,
            self.clock,
            self.entry.coordinator_term,
        )
        return CoordinatorTask(
            self.settings,
            self.entry,
            proposer,
            self.registry,
            self.store,
            self.loads,
            self.control,
            self.channels,
            self.metrics,
            self.clock,
        )

    def _callers(self) -> CallersServer:
        client = ControlClient(self.control, self.channels, self.clock)
        return CallersServer(
            self.settings,
            self.store,
            self.owners,
            ServerDirectory(self.registry, self.targets),
            OrderClaims(self.settings.name, client, self.clock),
            self.loads,
            self.clock,
            CallersMetrics(self.metrics.registry),
            bounds=self.bounds,
        )

    def _watcher(self, domain: str) -> DomainWatcher:
        return DomainWatcher(
            domain,
            self.entry,
            self.owners.views[domain],
            self.registry,
            self.owners.notify_change,
            self.channels,
            self.clock,
        )

    def _fill_loads(self, report: domain_pb2.PeerReport) -> None:
        self.own_loads.add_to_report(report, self.callers)

    async def _remove_departed(self) -> None:
        while True:
            await asyncio.sleep(REMOVAL_INTERVAL_SECONDS)
            self.remove_departed()

    async def _follow_configuration(self) -> None:
        self.readiness.block(NO_CONFIGURATION, "no configuration from control or a peer yet")
        while True:
            change_event = self.store.change_event
            self.metrics.configuration_revision.set(self.store.revision)
            if self.store.revision:
                self.readiness.clear(NO_CONFIGURATION)
            self.registry.set_drained(self.store.drained)
            self.coordinator.planning_due.set()
            await change_event.wait()
