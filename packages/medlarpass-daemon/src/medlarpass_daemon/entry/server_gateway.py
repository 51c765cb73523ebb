"""Forwards announcements and heartbeats to the registry and the coordinator."""

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

#: Added to the waiting time of a forwarded heartbeat to get its timeout.
FORWARD_MARGIN_SECONDS = 0.2


class ServerGateway:
    """Handles the requests of the HTTP interface for servers.

    Without a coordinator a server is still registered, so orders and downloads continue in a domain
    whose entries have no majority.

    :param settings: settings of the process
    :param entry: settings of the role entry
    :param registry: servers known to this entry
    :param acceptor: knows which entry holds the lease
    :param coordinator: coordinator task of this entry
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
        """Register an announced server.

        :param server: validated announcement
        :raises WrongDomainError: the server belongs to another failure domain
        :raises CoordinatorRefusedError: the coordinator refused it
        """
        self._record_heartbeat(server)
        SERVER_ANNOUNCED.log(server=server.identity, incarnation=server.incarnation)
        request = domain_pb2.HeartbeatRequest(
            identity=server.identity,
            incarnation=server.incarnation,
            state=server.state,
            server=server,
            announcement=True,
        )
        return self._raise_failure(await self._forward_to_coordinator(request))

    async def heartbeat(self, request: domain_pb2.HeartbeatRequest) -> domain_pb2.HeartbeatResponse:
        """Record a heartbeat and wait for an update for the server.

        :param request: validated heartbeat
        :raises WrongDomainError: the server belongs to another failure domain
        :raises CoordinatorRefusedError: the coordinator refused it
        """
        self._record_heartbeat(request.server)
        request.wait_ms = round(self.entry.heartbeat_wait * 1000)
        response = self._raise_failure(await self._forward_to_coordinator(request))
        if not response.coordinator:
            await asyncio.sleep(self.entry.heartbeat_wait)
        return response

    def _record_heartbeat(self, server: control_pb2.ServerStatus) -> None:
        if server.domain != self.settings.domain:
            raise WrongDomainError(
                f"server {server.identity} belongs to domain {server.domain}, not to domain"
                f" {self.settings.domain}"
            )
        previous = self.registry.registered_servers.get(server.identity)
        previous_state = (previous.server.incarnation, previous.state) if previous else None
        self.registry.record_heartbeat(server)
        registered = self.registry.registered_servers[server.identity]
        if previous_state != (registered.server.incarnation, registered.state):
            self.exchange.send_now()

    async def _forward_to_coordinator(
        self, request: domain_pb2.HeartbeatRequest
    ) -> domain_pb2.HeartbeatResponse:
        if self.coordinator.is_coordinator:
            return await self.coordinator.heartbeat(request)
        address = self.entry.address_of(self.acceptor.holder_entry(), self.settings.domain)
        if not address:
            return domain_pb2.HeartbeatResponse(coordinator=False)
        stub = domain_pb2_grpc.DomainStub(self.channels.to(address))
        timeout = request.wait_ms / 1000 + FORWARD_MARGIN_SECONDS
        try:
            response: domain_pb2.HeartbeatResponse = await stub.ForwardHeartbeat(
                request, timeout=timeout
            )
        except grpc.aio.AioRpcError:
            return domain_pb2.HeartbeatResponse(coordinator=False)
        return response

    def _raise_failure(
        self, response: domain_pb2.HeartbeatResponse
    ) -> domain_pb2.HeartbeatResponse:
        if response.HasField("failure"):
            failure = response.failure
            SERVER_REFUSED.log(code=failure.code, message=failure.message)
            raise CoordinatorRefusedError(failure.code, failure.message)
        return response
