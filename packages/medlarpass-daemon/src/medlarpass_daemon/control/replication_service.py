"""gRPC service for calls from other replicas."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import grpc

from medlarpass import MedlarpassError
from medlarpass.rpc import replication_pb2_grpc

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from medlarpass.replication import Replica
    from medlarpass.rpc import replication_pb2


class ReplicationService(replication_pb2_grpc.ReplicationServicer):
    """Forwards calls to the local replica.

    :param replica: replica of this process
    """

    def __init__(self, replica: Replica) -> None:
        self.replica = replica

    async def RequestVote(
        self, request: replication_pb2.VoteRequest, context: Any
    ) -> replication_pb2.VoteResponse:
        """Handle a vote request of a candidate."""
        try:
            return await self.replica.handle_vote(request)
        except MedlarpassError as error:
            await _abort(context, error)
            raise

    async def AppendEntries(
        self, request: replication_pb2.AppendRequest, context: Any
    ) -> replication_pb2.AppendResponse:
        """Append records of the leader."""
        try:
            return await self.replica.handle_append(request)
        except MedlarpassError as error:
            await _abort(context, error)
            raise

    async def InstallSnapshot(
        self, request_iterator: AsyncIterator[replication_pb2.SnapshotChunk], context: Any
    ) -> replication_pb2.SnapshotResponse:
        """Install a snapshot of the leader."""
        try:
            return await self.replica.handle_snapshot(request_iterator)
        except MedlarpassError as error:
            await _abort(context, error)
            raise


async def _abort(context: Any, error: MedlarpassError) -> None:
    await context.abort(grpc.StatusCode.FAILED_PRECONDITION, f"{error.code}: {error.message}")
