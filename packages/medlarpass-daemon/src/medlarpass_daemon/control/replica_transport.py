"""gRPC transport between replicas."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.rpc import replication_pb2_grpc
from medlarpass_daemon.rpc_channels import RpcChannels

if TYPE_CHECKING:
    from collections.abc import AsyncIterable

    from medlarpass.replication import Member
    from medlarpass.rpc import replication_pb2


class ReplicaTransport:
    """Transport of the replicated log over gRPC.

    :param channels: gRPC channels
    """

    __slots__ = ("channels",)

    def __init__(self, channels: RpcChannels) -> None:
        self.channels = channels

    @classmethod
    def disconnected(cls) -> ReplicaTransport:
        """Return a transport for a replica that makes no calls."""
        return cls(RpcChannels(None))

    async def request_vote(
        self, member: Member, request: replication_pb2.VoteRequest
    ) -> replication_pb2.VoteResponse:
        """Request a vote from a replica."""
        response: replication_pb2.VoteResponse = await self._stub(member).RequestVote(request)
        return response

    async def append(
        self, member: Member, request: replication_pb2.AppendRequest
    ) -> replication_pb2.AppendResponse:
        """Send records or a heartbeat to a replica."""
        response: replication_pb2.AppendResponse = await self._stub(member).AppendEntries(request)
        return response

    async def install_snapshot(
        self, member: Member, chunks: AsyncIterable[replication_pb2.SnapshotChunk]
    ) -> replication_pb2.SnapshotResponse:
        """Send a snapshot to a replica."""
        response: replication_pb2.SnapshotResponse = await self._stub(member).InstallSnapshot(
            chunks
        )
        return response

    def _stub(self, member: Member) -> replication_pb2_grpc.ReplicationStub:
        return replication_pb2_grpc.ReplicationStub(self.channels.to(member.address))
