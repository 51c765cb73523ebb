"""Everything that a process with the role control runs."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING

from medlarpass.control import ControlState
from medlarpass.replication import Member
from medlarpass.replication import Replica
from medlarpass.replication import ReplicationSettings
from medlarpass.rpc import control_pb2_grpc
from medlarpass.rpc import replication_pb2_grpc
from medlarpass_daemon.control.control_service import ControlService
from medlarpass_daemon.control.delegator import Delegator
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
    from medlarpass_daemon.observability import Metrics
    from medlarpass_daemon.rpc_channels import RpcChannels
    from medlarpass_daemon.settings import ControlSettings
    from medlarpass_daemon.settings import DaemonSettings

#: The greatest election timeout over the least.
ELECTION_SPREAD = 2.0


class ControlRole:
    """A replica with its services.

    :param settings: settings of the process
    :param control: settings of the role
    :param channels: gRPC channels
    :param metrics: metrics of the process
    :param clock: clock of this process
    """

    __slots__ = (
        "control",
        "delegator",
        "log",
        "operators",
        "places",
        "poller",
        "replica",
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
    ) -> None:
        self.settings = settings
        self.control = control
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
        self.tasks: list[asyncio.Task[None]] = []

    def add_services(self, server: grpc.aio.Server) -> None:
        """Add the gRPC services of this role."""
        service = ControlService(self.log, self.delegator, self.places)
        control_pb2_grpc.add_ControlServicer_to_server(service, server)
        replication_pb2_grpc.add_ReplicationServicer_to_server(
            ReplicationService(self.replica), server
        )

    async def start(self) -> None:
        """Start the replica; the gRPC server must be serving."""
        await self.replica.start()
        self.tasks = [
            asyncio.create_task(supervise("delegator", self.delegator.run)),
            asyncio.create_task(supervise("status poller", self.poller.run)),
        ]
        await self.operators.start()

    async def stop(self) -> None:
        """Finish operators' calls, hand over leadership and close the log."""
        await self.operators.stop()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.replica.stop(hand_over=True)


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
        settings.name,
        settings.rpc.endpoint(),
        settings.domain,
        control.data_folder,
        heartbeat=control.heartbeat,
        election_timeout_min=control.election_timeout,
        election_timeout_max=control.election_timeout * ELECTION_SPREAD,
        snapshot_threshold=control.snapshot_records,
    )
