"""Reports of a coordinator to the control leader, which renews the domain's delegations."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING

import grpc

from medlarpass.rpc import control_pb2
from medlarpass.rpc import control_pb2_grpc
from medlarpass_daemon.entry.events import COORDINATOR_REPORT_FAILED

if TYPE_CHECKING:
    from medlarpass import Clock
    from medlarpass.ownership import Coordinator
    from medlarpass.ownership import LeaseProposer
    from medlarpass.registry import ServerRegistry
    from medlarpass_daemon.entry.configuration_store import ConfigurationStore
    from medlarpass_daemon.entry.control_directory import ControlDirectory
    from medlarpass_daemon.entry.grant_planner import GrantPlanner
    from medlarpass_daemon.rpc_channels import RpcChannels
    from medlarpass_daemon.settings import DaemonSettings

MILLISECONDS_PER_SECOND = 1000
#: Interval of reports; the release of a shard sends the next one at once.
REPORT_INTERVAL_SECONDS = 1.0
REPORT_TIMEOUT_SECONDS = 1.0
#: Delay before a failed report is sent to the next replica.
RETRY_INTERVAL_SECONDS = 0.05


class DomainReporter:
    """Sends reports and applies the delegations in the responses.

    :param settings: settings of the process
    :param proposer: proposer of the coordinator lease
    :param coordinator: sessions and grants
    :param planner: provides the load of the domain
    :param registry: servers known to this entry
    :param store: configuration in force
    :param control: addresses of the control replicas
    :param channels: gRPC channels
    :param clock: clock of this process
    """

    __slots__ = (
        "channels",
        "clock",
        "control",
        "coordinator",
        "planner",
        "proposer",
        "registry",
        "report_due",
        "settings",
        "store",
    )

    def __init__(
        self,
        settings: DaemonSettings,
        proposer: LeaseProposer,
        coordinator: Coordinator,
        planner: GrantPlanner,
        registry: ServerRegistry,
        store: ConfigurationStore,
        control: ControlDirectory,
        channels: RpcChannels,
        clock: Clock,
    ) -> None:
        self.settings = settings
        self.proposer = proposer
        self.coordinator = coordinator
        self.planner = planner
        self.registry = registry
        self.store = store
        self.control = control
        self.channels = channels
        self.clock = clock
        #: Set when a report is due before the interval has passed.
        self.report_due = asyncio.Event()

    async def send_next_report(self) -> None:
        """Wait until a report is due, and repeat it until the leader has confirmed it."""
        try:
            async with asyncio.timeout(REPORT_INTERVAL_SECONDS):
                await self.report_due.wait()
        except TimeoutError:
            pass
        self.report_due.clear()
        while True:
            if await self._report():
                return
            await asyncio.sleep(RETRY_INTERVAL_SECONDS)

    async def _report(self) -> bool:
        address = self.control.leader or self.control.next_address()
        readings = dict(self.proposer.clock_readings)
        sent_at = self.clock.now()
        stub = control_pb2_grpc.ControlStub(self.channels.to(address))
        try:
            response: control_pb2.DomainReportResponse = await stub.ReportDomain(
                self._domain_report(), timeout=REPORT_TIMEOUT_SECONDS
            )
        except grpc.aio.AioRpcError as error:
            COORDINATOR_REPORT_FAILED.log(address=address, status=error.code().name)
            self.control.leader = ""
            return False
        self.control.leader = response.leader_address
        if not response.confirmed:
            return False
        self.coordinator.grants.apply_report(response, sent_at, readings)
        if response.new_epochs:
            self.proposer.clear_needs_new_epochs()
        return True

    def _domain_report(self) -> control_pb2.DomainReport:
        grants = self.coordinator.grants
        return control_pb2.DomainReport(
            domain=self.settings.domain,
            coordinator=self.settings.name,
            ballot=self.proposer.ballot.number,
            needs_new_epochs=grants.epochs_pending,
            loads=self.planner.pool_loads(self.store.pools),
            released=grants.released_delegations(),
            servers=self._servers(),
            grants=grants.committed_grants(),
        )

    def _servers(self) -> list[control_pb2.ServerStatus]:
        servers = self.registry.statuses(self.settings.domain)
        for server in servers:
            session = self.coordinator.sessions.live_session(server.identity, server.incarnation)
            if session is not None:
                server.holds_session = True
                remaining = session.expiry - self.clock.now()
                server.session_remaining_ms = max(0, int(remaining * MILLISECONDS_PER_SECOND))
        return servers
