"""Passes announcements and heartbeats to the registry and the coordinator."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING

import grpc

from medlarpass.rpc import domain_pb2
from medlarpass.rpc import domain_pb2_grpc
from medlarpass_daemon.entry.events import SERVER_ANNOUNCED
from medlarpass_daemon.entry.events import SERVER_REFUSED
from medlarpass_daemon.entry.exceptions import CoordinatorRefusedError
from medlarpass_daemon.entry.exceptions import WrongDomainError

if TYPE_CHECKING:
    from medlarpass.ownership import LeaseAcceptor
    from medlarpass.registry import ServerRegistry
    from medlarpass.rpc import control_pb2
    from medlarpass_daemon.entry.coordinator_task import CoordinatorTask
    from medlarpass_daemon.entry.peer_exchange import PeerExchange
    from medlarpass_daemon.rpc_channels import RpcChannels
    from medlarpass_daemon.settings import DaemonSettings
    from medlarpass_daemon.settings import EntrySettings

#: Added to the wait of a forwarded heartbeat, in seconds.
CALL_MARGIN = 0.2


class ServerGateway:
    """What the servers' HTTP interface calls.

    Without a coordinator a server still counts as present, so orders and downloads go on in a
    domain whose entries have no majority.

    :param settings: settings of the process
    :param entry: settings of the role entry
    :param registry: servers known to this entry
    :param acceptor: tells which entry holds the lease
    :param coordinator: coordinator duties of this entry
    :param exchange: exchange with the peers
    :param channels: gRPC channels
    """

    __slots__ = (
        "acceptor",
        "channels",
        "coordinator",
        "entry",
        "exchange",
        "registry",
        "settings",
    )

    def __init__(
        self,
        settings: DaemonSettings,
        entry: EntrySettings,
        registry: ServerRegistry,
        acceptor: LeaseAcceptor,
        coordinator: CoordinatorTask,
        exchange: PeerExchange,
        channels: RpcChannels,
    ) -> None:
        self.settings = settings
        self.entry = entry
        self.registry = registry
        self.acceptor = acceptor
        self.coordinator = coordinator
        self.exchange = exchange
        self.channels = channels

    async def announce(self, server: control_pb2.ServerStatus) -> domain_pb2.HeartbeatResponse:
        """Take an announcement.

        :param server: checked announcement
        :raises WrongDomainError: the server belongs to another failure domain
        :raises CoordinatorRefusedError: the coordinator refused it
        """
        self._hear(server)
        SERVER_ANNOUNCED.log(server=server.identity, incarnation=server.incarnation)
        request = domain_pb2.HeartbeatRequest(
            identity=server.identity,
            incarnation=server.incarnation,
            state=server.state,
            server=server,
            announcement=True,
        )
        return self._checked(await self._ask_coordinator(request))

    async def heartbeat(self, request: domain_pb2.HeartbeatRequest) -> domain_pb2.HeartbeatResponse:
        """Take a heartbeat and wait for news for the server.

        :param request: checked heartbeat
        :raises WrongDomainError: the server belongs to another failure domain
        :raises CoordinatorRefusedError: the coordinator refused it
        """
        self._hear(request.server)
        request.wait_ms = round(self.entry.heartbeat_wait * 1000)
        answer = self._checked(await self._ask_coordinator(request))
        if not answer.coordinator:
            await asyncio.sleep(self.entry.heartbeat_wait)
        return answer

    def _hear(self, server: control_pb2.ServerStatus) -> None:
        if server.domain != self.settings.domain:
            raise WrongDomainError(
                f"{server.identity} of domain {server.domain} reached domain"
                f" {self.settings.domain}"
            )
        before = self.registry.registered_servers.get(server.identity)
        known = (before.server.incarnation, before.state) if before else None
        self.registry.record_heartbeat(server)
        after = self.registry.registered_servers[server.identity]
        if known != (after.server.incarnation, after.state):
            self.exchange.hurry()

    async def _ask_coordinator(
        self, request: domain_pb2.HeartbeatRequest
    ) -> domain_pb2.HeartbeatResponse:
        if self.coordinator.in_office:
            return await self.coordinator.heartbeat(request)
        address = self.entry.address_of(self.acceptor.holder_entry(), self.settings.domain)
        if not address:
            return domain_pb2.HeartbeatResponse(coordinator=False)
        stub = domain_pb2_grpc.DomainStub(self.channels.to(address))
        timeout = request.wait_ms / 1000 + CALL_MARGIN
        try:
            answer: domain_pb2.HeartbeatResponse = await stub.ForwardHeartbeat(
                request, timeout=timeout
            )
        except grpc.aio.AioRpcError:
            return domain_pb2.HeartbeatResponse(coordinator=False)
        return answer

    def _checked(self, answer: domain_pb2.HeartbeatResponse) -> domain_pb2.HeartbeatResponse:
        if answer.HasField("failure"):
            failure = answer.failure
            SERVER_REFUSED.log(code=failure.code, message=failure.message)
            raise CoordinatorRefusedError(failure.code, failure.message)
        return answer
