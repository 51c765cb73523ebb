"""Exchange of reports between the entries of a failure domain."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING

import grpc

from medlarpass import MedlarpassError
from medlarpass.rpc import domain_pb2
from medlarpass.rpc import domain_pb2_grpc
from medlarpass_daemon.entry.events import CONFIGURATION_APPLIED
from medlarpass_daemon.entry.events import PEER_UNREACHABLE
from medlarpass_daemon.entry.events import SERVER_REFUSED

if TYPE_CHECKING:
    from collections.abc import Callable

    from medlarpass.registry import ServerRegistry
    from medlarpass_daemon.entry.configuration_store import ConfigurationStore
    from medlarpass_daemon.entry.load_reports import LoadReports
    from medlarpass_daemon.rpc_channels import RpcChannels
    from medlarpass_daemon.settings import DaemonSettings
    from medlarpass_daemon.settings import EntrySettings
    from medlarpass_daemon.settings import MemberSettings

CALL_TIMEOUT_SECONDS = 1.0


class PeerExchange:
    """Exchanges reports with each peer in a task of its own.

    :param settings: settings of the process
    :param entry: settings of the role entry
    :param registry: servers known to this entry
    :param store: configuration in force
    :param loads: loads reported by the entries
    :param add_own_loads: adds the load measured by this entry to a report
    :param channels: gRPC channels
    """

    __slots__ = (
        "add_own_loads",
        "channels",
        "entry",
        "loads",
        "registry",
        "send_now_event",
        "settings",
        "store",
    )

    def __init__(
        self,
        settings: DaemonSettings,
        entry: EntrySettings,
        registry: ServerRegistry,
        store: ConfigurationStore,
        loads: LoadReports,
        add_own_loads: Callable[[domain_pb2.PeerReport], None],
        channels: RpcChannels,
    ) -> None:
        self.settings = settings
        self.entry = entry
        self.registry = registry
        self.store = store
        self.loads = loads
        self.add_own_loads = add_own_loads
        self.channels = channels
        #: Set and then replaced when the next reports have to be sent at once.
        self.send_now_event = asyncio.Event()

    async def run(self) -> None:
        """Exchange with all peers until cancelled."""
        async with asyncio.TaskGroup() as group:
            for peer in self.entry.peers:
                if peer.domain == self.settings.domain and peer.name != self.settings.name:
                    group.create_task(self._run_peer(peer))
            group.create_task(self._run_own_reports())

    def send_now(self) -> None:
        """Send the next reports at once, for example because a server is draining."""
        self.send_now_event.set()
        self.send_now_event = asyncio.Event()

    def record_report(self, report: domain_pb2.PeerReport) -> domain_pb2.PeerReport:
        """Record a peer's report and return that of this entry.

        :param report: report of a peer of this domain
        :returns: report of this entry, with the configuration if the peer's is older
        """
        self._apply(report)
        return self._own_report(report.configuration_revision)

    async def _run_peer(self, peer: MemberSettings) -> None:
        known_revision = self.store.revision
        while True:
            try:
                stub = domain_pb2_grpc.DomainStub(self.channels.to(peer.address))
                response = await stub.ExchangePeers(
                    self._own_report(known_revision), timeout=CALL_TIMEOUT_SECONDS
                )
            except grpc.aio.AioRpcError as error:
                PEER_UNREACHABLE.log(peer=peer.name, status=error.code().name)
            else:
                known_revision = response.configuration_revision
                self._apply(response)
            await self._wait_for_interval()

    async def _run_own_reports(self) -> None:
        while True:
            self.loads.record_report(self._own_report(self.store.revision))
            self.registry.remove_expired()
            await self._wait_for_interval()

    async def _wait_for_interval(self) -> None:
        send_now_event = self.send_now_event
        try:
            async with asyncio.timeout(self.entry.sync_interval):
                await send_now_event.wait()
        except TimeoutError:
            return

    def _own_report(self, peer_revision: int) -> domain_pb2.PeerReport:
        report = domain_pb2.PeerReport(
            entry=self.settings.name,
            configuration_revision=self.store.revision,
            servers=self.registry.direct_statuses(),
        )
        if peer_revision < self.store.revision:
            report.configuration.CopyFrom(self.store.configuration)
        self.add_own_loads(report)
        return report

    def _apply(self, report: domain_pb2.PeerReport) -> None:
        for server in report.servers:
            try:
                self.registry.record_peer_report(server)
            except MedlarpassError as error:
                SERVER_REFUSED.log(server=server.identity, code=error.code, message=error.message)
        self.loads.record_report(report)
        if report.HasField("configuration") and self.store.apply_if_newer(report.configuration):
            CONFIGURATION_APPLIED.log(revision=self.store.revision, source=report.entry)
