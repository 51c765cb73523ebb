"""Interfaces that the user of a replica implements."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from medlarpass.replication.membership import Member
    from medlarpass.rpc.replication_pb2 import AppendRequest
    from medlarpass.rpc.replication_pb2 import AppendResponse
    from medlarpass.rpc.replication_pb2 import SnapshotChunk
    from medlarpass.rpc.replication_pb2 import SnapshotResponse
    from medlarpass.rpc.replication_pb2 import VoteRequest
    from medlarpass.rpc.replication_pb2 import VoteResponse


class StateMachine(Protocol):
    """Deterministic state machine that every replica feeds with the same records.

    All methods are called on the event loop's thread. An exception stops the replica, because
    its state would no longer match that of the other replicas.
    """

    def apply(self, index: int, payload: bytes) -> bytes:
        """Apply a committed record and return its result."""
        ...

    def snapshot(self) -> bytes:
        """Return the complete state in serialised form."""
        ...

    def restore(self, data: bytes) -> None:
        """Replace the complete state by a serialised one."""
        ...


class Transport(Protocol):
    """RPC client for the other replicas. Any exception is treated as a lost call."""

    async def request_vote(self, member: Member, request: VoteRequest) -> VoteResponse:
        """Request a vote."""
        ...

    async def append(self, member: Member, request: AppendRequest) -> AppendResponse:
        """Send records or a heartbeat."""
        ...

    async def install_snapshot(
        self,
        member: Member,
        chunks: AsyncIterator[SnapshotChunk],
    ) -> SnapshotResponse:
        """Send a snapshot."""
        ...
