"""Exchange of news between the entries of a failure domain."""

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

CALL_TIMEOUT = 1.0


class PeerExchange:
    """One task for each peer sends this entry's report and takes the peer's.

    :param settings: settings of the process
    :param entry: settings of the role entry
    :param registry: servers known to this entry
    :param store: configuration in force
    :param loads: where the peers' loads are kept
    :param own_loads: fills in the load seen by this entry
    :param channels: gRPC channels
    """

    __slots__ = (
        "channels",
        "entry",
        "loads",
        "own_loads",
        "registry",
        "settings",
        "store",
        "urgent",
    )

    def __init__(
        self,
        settings: DaemonSettings,
        entry: EntrySettings,
        registry: ServerRegistry,
        store: ConfigurationStore,
        loads: LoadReports,
        own_loads: Callable[[domain_pb2.PeerReport], None],
        channels: RpcChannels,
    ) -> None:
        self.settings = settings
        self.entry = entry
        self.registry = registry
        self.store = store
        self.loads = loads
        self.own_loads = own_loads
        self.channels = channels
        #: Replaced and set when the peers should hear of something at once.
        self.urgent = asyncio.Event()

    async def run(self) -> None:
        """Exchange with all peers until cancelled."""
        async with asyncio.TaskGroup() as group:
            for peer in self.entry.peers:
                if peer.domain == self.settings.domain and peer.name != self.settings.name:
                    group.create_task(self._run_peer(peer))
            group.create_task(self._run_own())

    def hurry(self) -> None:
        """Send the next reports at once, for example because a server drains."""
        self.urgent.set()
        self.urgent = asyncio.Event()

    def take(self, report: domain_pb2.PeerReport) -> domain_pb2.PeerReport:
        """Take a peer's report.

        :param report: from a peer of this domain
        :returns: this entry's own, with the configuration if the peer's is older
        """
        self._apply(report)
        return self._own(report.configuration_revision)

    async def _run_peer(self, peer: MemberSettings) -> None:
        known_revision = self.store.revision
        while True:
            try:
                stub = domain_pb2_grpc.DomainStub(self.channels.to(peer.address))
                answer = await stub.ExchangePeers(self._own(known_revision), timeout=CALL_TIMEOUT)
            except grpc.aio.AioRpcError as error:
                PEER_UNREACHABLE.log(peer=peer.name, status=error.code().name)
            else:
                known_revision = answer.configuration_revision
                self._apply(answer)
            await self._pause()

    async def _run_own(self) -> None:
        while True:
            self.loads.take(self._own(self.store.revision))
            self.registry.remove_expired()
            await self._pause()

    async def _pause(self) -> None:
        urgent = self.urgent
        try:
            async with asyncio.timeout(self.entry.sync_interval):
                await urgent.wait()
        except TimeoutError:
            return

    def _own(self, peer_revision: int) -> domain_pb2.PeerReport:
        report = domain_pb2.PeerReport(
            entry=self.settings.name,
            configuration_revision=self.store.revision,
            servers=self.registry.direct_statuses(),
        )
        if peer_revision < self.store.revision:
            report.configuration.CopyFrom(self.store.configuration)
        self.own_loads(report)
        return report

    def _apply(self, report: domain_pb2.PeerReport) -> None:
        for server in report.servers:
            try:
                self.registry.record_peer_report(server)
            except MedlarpassError as error:
                SERVER_REFUSED.log(server=server.identity, code=error.code, message=error.message)
        self.loads.take(report)
        if report.HasField("configuration") and self.store.offer(report.configuration):
            CONFIGURATION_APPLIED.log(revision=self.store.revision, source=report.entry)
