"""gRPC service for calls between entries."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from medlarpass.rpc import domain_pb2_grpc

if TYPE_CHECKING:
    from medlarpass.ownership import LeaseAcceptor
    from medlarpass.rpc import domain_pb2
    from medlarpass_daemon.entry.coordinator_task import CoordinatorTask
    from medlarpass_daemon.entry.peer_exchange import PeerExchange


class DomainService(domain_pb2_grpc.DomainServicer):
    """Delegates calls to the acceptor, the coordinator and the peer exchange of this entry.

    :param acceptor: acceptor of the coordinator lease
    :param coordinator: coordinator task, active while this entry holds the lease
    :param exchange: exchange of reports with the peers
    """

    def __init__(
        self, acceptor: LeaseAcceptor, coordinator: CoordinatorTask, exchange: PeerExchange
    ) -> None:
        self.acceptor = acceptor
        self.coordinator = coordinator
        self.exchange = exchange

    async def Prepare(
        self, request: domain_pb2.PrepareRequest, context: Any
    ) -> domain_pb2.PrepareResponse:
        """Promise not to accept a lower ballot."""
        return self.acceptor.prepare(request)

    async def Accept(
        self, request: domain_pb2.AcceptRequest, context: Any
    ) -> domain_pb2.AcceptResponse:
        """Accept a lease for its term."""
        return self.acceptor.accept(request)

    async def ReplicateGrants(
        self, request: domain_pb2.ReplicateGrantsRequest, context: Any
    ) -> domain_pb2.ReplicateGrantsResponse:
        """Store the grants of the coordinator."""
        return self.acceptor.replicate_grants(request)

    async def ForwardHeartbeat(
        self, request: domain_pb2.HeartbeatRequest, context: Any
    ) -> domain_pb2.HeartbeatResponse:
        """Respond to a heartbeat that a server sent to another entry."""
        return await self.coordinator.heartbeat(request)

    async def WatchDomain(
        self, request: domain_pb2.WatchDomainRequest, context: Any
    ) -> domain_pb2.WatchDomainResponse:
        """Return the grants and servers of this domain."""
        return await self.coordinator.watch(request)

    async def ExchangePeers(
        self, request: domain_pb2.PeerReport, context: Any
    ) -> domain_pb2.PeerReport:
        """Record a peer's report and return this entry's own."""
        return self.exchange.record_report(request)
