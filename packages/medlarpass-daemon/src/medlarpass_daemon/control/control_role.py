"""Services and tasks of a process with the role ``control``."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING

from medlarpass.control import ControlState
from medlarpass.replication import Member
from medlarpass.replication import Replica
from medlarpass.replication import ReplicationSettings
from medlarpass.rpc import control_pb2_grpc
from medlarpass.rpc import fleet_pb2_grpc
from medlarpass.rpc import replication_pb2_grpc
from medlarpass_daemon.control.configuration_reports import ConfigurationReports
from medlarpass_daemon.control.control_service import ControlService
from medlarpass_daemon.control.delegator import Delegator
from medlarpass_daemon.control.fleet.feed_updater import FeedUpdater
from medlarpass_daemon.control.fleet.fleet_operations import FleetOperations
from medlarpass_daemon.control.fleet.fleet_service import FleetService
from medlarpass_daemon.control.fleet.fleet_state import FleetState
from medlarpass_daemon.control.fleet.membership_manager import MembershipManager
from medlarpass_daemon.control.fleet.range_keeper import RangeKeeper
from medlarpass_daemon.control.fleet.report_relay import ReportRelay
from medlarpass_daemon.control.fleet.traffic_planner import TrafficPlanner
from medlarpass_daemon.control.operators import OperatorsServer
from medlarpass_daemon.control.operators_backend import OperatorsBackend
from medlarpass_daemon.control.replica_log import ReplicaLog
from medlarpass_daemon.control.replica_transport import ReplicaTransport
from medlarpass_daemon.control.replication_service import ReplicationService
from medlarpass_daemon.control.status_poller import StatusPoller
from medlarpass_daemon.control.wall_clock import WallClock
from medlarpass_daemon.observability import LoopMonitor
from medlarpass_daemon.supervision import supervise

if TYPE_CHECKING:
    import grpc

    from medlarpass import Clock
    from medlarpass_daemon.adapter import Listener
    from medlarpass_daemon.control.fleet.server_calls import ServerCalls
    from medlarpass_daemon.observability import Metrics
    from medlarpass_daemon.request_bounds import ProcessBounds
    from medlarpass_daemon.rpc_channels import RpcChannels
    from medlarpass_daemon.seeds import Seeds
    from medlarpass_daemon.settings import ControlSettings
    from medlarpass_daemon.settings import DaemonSettings
    from medlarpass_daemon.settings import FleetSettings

#: Ratio of the maximum to the minimum election timeout.
ELECTION_TIMEOUT_MAX_RATIO = 2.0


class ControlRole:
    """A replica of the control log with its services.

    :param settings: settings of the process
    :param control: settings of the role
    :param channels: gRPC channels
    :param metrics: metrics of the process
    :param clock: clock of this process
    :param seeds: initial addresses for discovering other replicas
    :param bounds: bounds of the process
    """

    __slots__ = (
        "bounds",
        "configuration_reports",
        "control",
        "delegator",
        "feed_updater",
        "fleet",
        "listener",
        "log",
        "loop_monitor",
        "membership_manager",
        "metrics",
        "operators_server",
        "poller",
        "range_keeper",
        "replica",
        "report_relay",
        "seeds",
        "server_calls",
        "settings",
        "state",
        "tasks",
    )

    def __init__(
        self,
        settings: DaemonSettings,
        control: ControlSettings,
        channels: RpcChannels,
        metrics: Metrics,
        clock: Clock,
        seeds: Seeds,
        bounds: ProcessBounds,
    ) -> None:
        self.settings = settings
        self.bounds = bounds
        self.control = control
        self.seeds = seeds
        self.state = ControlState()
        metrics.evacuated_domains.set_function(lambda: len(self.state.tables.evacuated_domains))
        self.replica = Replica(
            replication_settings(settings, control), self.state, ReplicaTransport(channels), clock
        )
        self.log = ReplicaLog(self.replica, self.state, WallClock())
        self.delegator = Delegator(self.log, clock)
        self.configuration_reports = ConfigurationReports(clock)
        self.metrics = metrics
        self.poller = StatusPoller(self.replica, channels, metrics)
        self.loop_monitor = LoopMonitor(metrics, clock)
        backend = OperatorsBackend(self.log, self.poller, channels, clock)
        self.operators_server = OperatorsServer(settings, backend, clock, bounds)
        self.membership_manager: MembershipManager | None = None
        self.range_keeper: RangeKeeper | None = None
        self.listener: Listener | None = None
        self.server_calls: ServerCalls | None = None
        if settings.fleet is not None:
            self._create_fleet_services(settings.fleet, seeds, channels, clock)
        self.tasks: list[asyncio.Task[None]] = []

    def _create_fleet_services(
        self, settings: FleetSettings, seeds: Seeds, channels: RpcChannels, clock: Clock
    ) -> None:
        adapter = settings.load_adapter()
        self.fleet = FleetState(self.state, clock)
        self.server_calls = adapter.server_calls()
        # A voter with a call from the leader within this time does not vote for another replica.
        lease = self.control.election_timeout * (1 - self.replica.state.settings.drift_margin)
        self.range_keeper = RangeKeeper(
            self.log, self.fleet, self.server_calls, settings, lease, clock
        )
        self.range_keeper.traffic_planner = TrafficPlanner(
            self.fleet, settings, clock, self.metrics
        )
        self.membership_manager = MembershipManager(
            self.replica,
            self.control,
            self.settings.domain,
            self.settings.rpc.endpoint(),
            seeds,
            channels,
            clock,
        )
        self.feed_updater = FeedUpdater(self.settings, self.log, self.fleet, channels, clock)
        self.report_relay = ReportRelay(self.feed_updater, channels)
        self.listener = adapter.control_listener(
            self.settings, FleetOperations(self.log, self.fleet, self.control), self.bounds
        )

    def add_services(self, server: grpc.aio.Server) -> None:
        """Add the gRPC services of this role."""
        service = ControlService(self.log, self.delegator, self.configuration_reports)
        control_pb2_grpc.add_ControlServicer_to_server(service, server)
        replication_pb2_grpc.add_ReplicationServicer_to_server(
            ReplicationService(self.replica), server
        )
        if self.membership_manager is not None:
            fleet_pb2_grpc.add_FleetServicer_to_server(
                FleetService(
                    self.log,
                    self.fleet,
                    self.membership_manager,
                    self.feed_updater,
                    self.report_relay,
                ),
                server,
            )

    async def start(self) -> None:
        """Start the replica; the gRPC server must be serving."""
        await self._bootstrap_on_first_start()
        await self.replica.start()
        background_tasks = {
            "status poller": self.poller.run,
            "loop monitor": self.loop_monitor.run,
        }
        if self.range_keeper is not None and self.membership_manager is not None:
            background_tasks["range keeper"] = self.range_keeper.run
            background_tasks["membership"] = self.membership_manager.run
            background_tasks["feed"] = self.feed_updater.run
            background_tasks["relayed reports"] = self.report_relay.run
        else:
            background_tasks["delegator"] = self.delegator.run
        self.tasks = [
            asyncio.create_task(supervise(name, run)) for name, run in background_tasks.items()
        ]
        await self.operators_server.start()
        if self.listener is not None:
            await self.listener.start()

    async def stop(self) -> None:
        """Finish operators' calls, transfer leadership and close the log."""
        if self.listener is not None:
            await self.listener.stop()
        await self.operators_server.stop()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.replica.stop(transfer_leadership=True)
        if self.server_calls is not None:
            await self.server_calls.close()

    async def _bootstrap_on_first_start(self) -> None:
        """Bootstrap the cluster from the seeds on the first start of the whole system.

        On later starts, an empty folder means that the disk was lost. The replica then joins under
        a new identity.
        """
        fleet = self.settings.fleet
        if fleet is None or not fleet.first_start:
            return
        own_address = self.settings.rpc.endpoint()
        members = [Member(address, address, "") for address in self.seeds.addresses]
        if own_address not in self.seeds.addresses or not await self._is_folder_empty():
            return
        await self.replica.bootstrap(members)

    async def _is_folder_empty(self) -> bool:
        folder = self.control.data_folder
        return await asyncio.to_thread(lambda: not folder.exists() or not any(folder.iterdir()))


async def initialise(settings: DaemonSettings, control: ControlSettings, clock: Clock) -> None:
    """Write the initial membership into an empty data folder.

    This is a separate step because a replica that lost its disk also has an empty folder, and
    must not vote as if it had never voted before.

    :raises ReplicaStateError: the data folder is not empty
    """
    state = ControlState()
    replica = Replica(
        replication_settings(settings, control), state, ReplicaTransport.disconnected(), clock
    )
    await replica.bootstrap(
        [Member(peer.name, peer.address, peer.domain) for peer in control.replicas]
    )


def replication_settings(settings: DaemonSettings, control: ControlSettings) -> ReplicationSettings:
    """Build the settings of the replica."""
    return ReplicationSettings(
        # Replicas that discover each other through seeds know only their addresses.
        settings.name if settings.fleet is None else settings.rpc.endpoint(),
        settings.rpc.endpoint(),
        settings.domain,
        control.data_folder,
        heartbeat=control.heartbeat,
        election_timeout_min=control.election_timeout,
        election_timeout_max=control.election_timeout * ELECTION_TIMEOUT_MAX_RATIO,
        snapshot_threshold=control.snapshot_records,
    )
