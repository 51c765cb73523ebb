"""Clients for the acceptors of the coordinator lease."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import grpc

from medlarpass.rpc import domain_pb2
from medlarpass.rpc import domain_pb2_grpc

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from google.protobuf.message import Message

    from medlarpass.ownership import LeaseAcceptor
    from medlarpass_daemon.rpc_channels import RpcChannels


class LocalAcceptorClient:
    """Calls the acceptor of this process.

    :param acceptor: acceptor of this entry
    """

    __slots__ = ("acceptor",)

    def __init__(self, acceptor: LeaseAcceptor) -> None:
        self.acceptor = acceptor

    async def prepare(self, request: domain_pb2.PrepareRequest) -> domain_pb2.PrepareResponse:
        """Call ``Prepare``."""
        return self.acceptor.prepare(request)

    async def accept(self, request: domain_pb2.AcceptRequest) -> domain_pb2.AcceptResponse:
        """Call ``Accept``."""
        return self.acceptor.accept(request)

    async def replicate_grants(
        self, request: domain_pb2.ReplicateGrantsRequest
    ) -> domain_pb2.ReplicateGrantsResponse:
        """Call ``ReplicateGrants``."""
        return self.acceptor.replicate_grants(request)


class RpcAcceptorClient:
    """Calls the acceptor of another entry.

    :param channels: gRPC channels
    :param address: ``IP:PORT`` of the entry
    :param timeout: timeout of a call in seconds
    """

    __slots__ = ("address", "channels", "timeout")

    def __init__(self, channels: RpcChannels, address: str, timeout: float) -> None:
        self.channels = channels
        self.address = address
        self.timeout = timeout

    async def prepare(self, request: domain_pb2.PrepareRequest) -> domain_pb2.PrepareResponse:
        """Call ``Prepare``.

        :raises ConnectionError: when the entry did not respond
        """
        response: domain_pb2.PrepareResponse = await self._call(self._stub().Prepare, request)
        return response

    async def accept(self, request: domain_pb2.AcceptRequest) -> domain_pb2.AcceptResponse:
        """Call ``Accept``.

        :raises ConnectionError: when the entry did not respond
        """
        response: domain_pb2.AcceptResponse = await self._call(self._stub().Accept, request)
        return response

    async def replicate_grants(
        self, request: domain_pb2.ReplicateGrantsRequest
    ) -> domain_pb2.ReplicateGrantsResponse:
        """Call ``ReplicateGrants``.

        :raises ConnectionError: when the entry did not respond
        """
        response: domain_pb2.ReplicateGrantsResponse = await self._call(
            self._stub().ReplicateGrants, request
        )
        return response

    async def _call(self, method: Callable[..., Awaitable[Any]], request: Message) -> Any:
        try:
            return await method(request, timeout=self.timeout)
        except grpc.aio.AioRpcError as error:
            raise ConnectionError(self.address) from error

    def _stub(self) -> domain_pb2_grpc.DomainStub:
        return domain_pb2_grpc.DomainStub(self.channels.to(self.address))
