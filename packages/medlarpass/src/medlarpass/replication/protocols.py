"""What a replica needs from its user."""

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
    """State that every replica derives from the same records.

    All calls come from the event loop's thread. An exception ends the replica, because the
    replicas would differ from then on.
    """

    def apply(self, index: int, payload: bytes) -> bytes:
        """Apply a committed record and return its result."""
        ...

    def snapshot(self) -> bytes:
        """Return the whole state."""
        ...

    def restore(self, data: bytes) -> None:
        """Replace the whole state."""
        ...


class Transport(Protocol):
    """Calls to other replicas. Any exception counts as a lost call."""

    async def request_vote(self, member: Member, request: VoteRequest) -> VoteResponse:
        """Ask for a vote."""
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
