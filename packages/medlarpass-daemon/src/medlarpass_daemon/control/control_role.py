"""Everything that a process with the role control runs."""

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
from medlarpass_daemon.control.control_service import ControlService
from medlarpass_daemon.control.delegator import Delegator
from medlarpass_daemon.control.fleet.feed_updater import FeedUpdater
from medlarpass_daemon.control.fleet.fleet_operations import FleetOperations
from medlarpass_daemon.control.fleet.fleet_service import FleetService
from medlarpass_daemon.control.fleet.fleet_state import FleetState
from medlarpass_daemon.control.fleet.membership_manager import MembershipManager
from medlarpass_daemon.control.fleet.range_keeper import RangeKeeper
from medlarpass_daemon.control.fleet.report_relay import ReportRelay
from medlarpass_daemon.control.operators import OperatorsServer
from medlarpass_daemon.control.operators_backend import OperatorsBackend
from medlarpass_daemon.control.place_reports import PlaceReports
from medlarpass_daemon.control.replica_log import ReplicaLog
from medlarpass_daemon.control.replica_transport import ReplicaTransport
from medlarpass_daemon.control.replication_service import ReplicationService
from medlarpass_daemon.control.status_poller import StatusPoller
from medlarpass_daemon.control.wall_clock import WallClock
from medlarpass_daemon.supervision import supervise

if TYPE_CHECKING:
    import grpc

    from medlarpass import Clock
    from medlarpass_daemon.adapter import Listener
    from medlarpass_daemon.control.fleet.server_calls import ServerCalls
    from medlarpass_daemon.observability import Metrics
    from medlarpass_daemon.rpc_channels import RpcChannels
    from medlarpass_daemon.seeds import Seeds
    from medlarpass_daemon.settings import ControlSettings
    from medlarpass_daemon.settings import DaemonSettings
    from medlarpass_daemon.settings import FleetSettings

#: The greatest election timeout over the least.
ELECTION_SPREAD = 2.0


class ControlRole:
    """A replica with its services.

    :param settings: settings of the process
    :param control: settings of the role
    :param channels: gRPC channels
    :param metrics: metrics of the process
    :param clock: clock of this process
    :param seeds: addresses at which other replicas are looked for first
    """

    __slots__ = (
        "calls",
        "control",
        "delegator",
        "feed",
        "fleet",
        "keeper",
        "listener",
        "log",
        "membership",
        "operators",
        "places",
        "poller",
        "replica",
        "reports",
        "seeds",
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
    ) -> None:
        self.settings = settings
        self.control = control
        self.seeds = seeds
        self.state = ControlState()
        self.replica = Replica(
            replication_settings(settings, control), self.state, ReplicaTransport(channels), clock
        )
        self.log = ReplicaLog(self.replica, self.state, WallClock())
        self.delegator = Delegator(self.log, clock)
        self.places = PlaceReports(clock)
        self.poller = StatusPoller(self.replica, channels, metrics)
        backend = OperatorsBackend(self.log, self.poller, channels, clock)
        self.operators = OperatorsServer(settings, backend, clock)
        self.membership: MembershipManager | None = None
        self.keeper: RangeKeeper | None = None
        self.listener: Listener | None = None
        self.calls: ServerCalls | None = None
        if settings.fleet is not None:
            self._add_fleet(settings.fleet, seeds, channels, clock)
        self.tasks: list[asyncio.Task[None]] = []

    def _add_fleet(
        self, settings: FleetSettings, seeds: Seeds, channels: RpcChannels, clock: Clock
    ) -> None:
        adapter = settings.load_adapter()
        self.fleet = FleetState(self.state, clock)
        self.calls = adapter.server_calls()
        # A voter that heard from the leader within this time does not vote for another one.
        lease = self.control.election_timeout * (1 - self.replica.state.settings.drift_margin)
        self.keeper = RangeKeeper(self.log, self.fleet, self.calls, settings, lease, clock)
        self.membership = MembershipManager(
            self.replica,
            self.control,
            self.settings.domain,
            self.settings.rpc.endpoint(),
            seeds,
            channels,
            clock,
        )
        self.feed = FeedUpdater(self.settings, self.log, self.fleet, channels, clock)
        self.reports = ReportRelay(self.feed, channels)
        self.listener = adapter.control_listener(
            self.settings, FleetOperations(self.log, self.fleet, self.control)
        )

    def add_services(self, server: grpc.aio.Server) -> None:
        """Add the gRPC services of this role."""
        service = ControlService(self.log, self.delegator, self.places)
        control_pb2_grpc.add_ControlServicer_to_server(service, server)
        replication_pb2_grpc.add_ReplicationServicer_to_server(
            ReplicationService(self.replica), server
        )
        if self.membership is not None:
            fleet_pb2_grpc.add_FleetServicer_to_server(
                FleetService(self.log, self.fleet, self.membership, self.feed, self.reports),
                server,
            )

    async def start(self) -> None:
        """Start the replica; the gRPC server must be serving."""
        await self._prepare_first_start()
        await self.replica.start()
        runs = {"status poller": self.poller.run}
        if self.keeper is not None and self.membership is not None:
            runs["range keeper"] = self.keeper.run
            runs["membership"] = self.membership.run
            runs["feed"] = self.feed.run
            runs["relayed reports"] = self.reports.run
        else:
            runs["delegator"] = self.delegator.run
        self.tasks = [asyncio.create_task(supervise(name, run)) for name, run in runs.items()]
        await self.operators.start()
        if self.listener is not None:
            await self.listener.start()

    async def stop(self) -> None:
        """Finish operators' calls, hand over leadership and close the log."""
        if self.listener is not None:
            await self.listener.stop()
        await self.operators.stop()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.replica.stop(hand_over=True)
        if self.calls is not None:
            await self.calls.close()

    async def _prepare_first_start(self) -> None:
        """Form the group from the seeds when the whole system starts for the first time.

        A later empty folder is that of a lost disk; the replica then joins under a new identity.
        """
        fleet = self.settings.fleet
        if fleet is None or not fleet.first_start:
            return
        own = self.settings.rpc.endpoint()
        members = [Member(each, each, "") for each in self.seeds.addresses]
        if own not in self.seeds.addresses or not await self._is_folder_empty():
            return
        await self.replica.bootstrap(members)

    async def _is_folder_empty(self) -> bool:
        folder = self.control.data_folder
        return await asyncio.to_thread(lambda: not folder.exists() or not any(folder.iterdir()))


async def initialise(settings: DaemonSettings, control: ControlSettings, clock: Clock) -> None:
    """Write the first membership into an empty data folder.

    This is a step of its own because a replica that lost its disk has an empty folder too, and
    must not vote as if it had never voted before.

    :raises ReplicaStateError: the data folder is not empty
    """
    state = ControlState()
    replica = Replica(
        replication_settings(settings, control), state, ReplicaTransport.disconnected(), clock
    )
    await replica.bootstrap(
        [Member(each.name, each.address, each.domain) for each in control.replicas]
    )


def replication_settings(settings: DaemonSettings, control: ControlSettings) -> ReplicationSettings:
    """Return the settings of the replica."""
    return ReplicationSettings(
        # Replicas that find each other through seeds know each other by address only.
        settings.name if settings.fleet is None else settings.rpc.endpoint(),
        settings.rpc.endpoint(),
        settings.domain,
        control.data_folder,
        heartbeat=control.heartbeat,
        election_timeout_min=control.election_timeout,
        election_timeout_max=control.election_timeout * ELECTION_SPREAD,
        snapshot_threshold=control.snapshot_records,
    )
