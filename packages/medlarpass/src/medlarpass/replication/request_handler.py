"""Handling of calls from other replicas."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING

import google_crc32c

from medlarpass.replication import events
from medlarpass.replication.exceptions import DivergedLogError
from medlarpass.replication.exceptions import SnapshotTransferError
from medlarpass.replication.exceptions import WrongReceiverError
from medlarpass.replication.membership import Membership
from medlarpass.replication.record import Record
from medlarpass.replication.role import Role
from medlarpass.replication.snapshot_store import Snapshot
from medlarpass.rpc.replication_pb2 import ENTRY_KIND_MEMBERSHIP
from medlarpass.rpc.replication_pb2 import AppendRequest
from medlarpass.rpc.replication_pb2 import AppendResponse
from medlarpass.rpc.replication_pb2 import SnapshotChunk
from medlarpass.rpc.replication_pb2 import SnapshotResponse
from medlarpass.rpc.replication_pb2 import VoteRequest
from medlarpass.rpc.replication_pb2 import VoteResponse

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from medlarpass.replication.state import ReplicaState


class RequestHandler:
    """Handles vote requests, appended records and snapshots from other replicas.

    :param state: shared state
    :param start_election: starts an election immediately, for a leadership transfer
    """

    __slots__ = ("start_election", "state")

    def __init__(self, state: ReplicaState, start_election: Callable[[], None]) -> None:
        self.state = state
        self.start_election = start_election

    def _check_receiver(self, receiver: str) -> None:
        if receiver != self.state.identity:
            raise WrongReceiverError(f"this replica is {self.state.identity}, not {receiver}")

    async def vote(self, request: VoteRequest) -> VoteResponse:
        """Handle a vote request of a candidate.

        :raises WrongReceiverError: the request is addressed to another identity
        """
        self._check_receiver(request.receiver)
        state = self.state
        if request.pre_vote:
            granted = request.term > state.term and self._can_grant_vote(request)
            return VoteResponse(term=state.term, granted=granted)
        async with state.lock:
            granted = request.term >= state.term and self._can_grant_vote(request)
            protected = not request.leadership_transfer and self._has_live_leader()
            if protected or request.term < state.term:
                return VoteResponse(term=state.term, granted=False)
            if request.term == state.term and state.vote_store.vote not in (
                None,
                request.candidate,
            ):
                granted = False
            if granted or request.term > state.term:
                await state.save_vote(request.term, request.candidate if granted else None)
            if granted:
                state.election_timer_started_at = state.clock.now()
            return VoteResponse(term=state.term, granted=granted)

    def _can_grant_vote(self, request: VoteRequest) -> bool:
        log = self.state.log
        if not request.leadership_transfer and self._has_live_leader():
            return False
        return (request.last_term, request.last_index) >= (log.last_term, log.last_index)

    def _has_live_leader(self) -> bool:
        state = self.state
        silence = state.clock.now() - state.leader_contact_at
        return state.role is Role.LEADER or silence < state.settings.election_timeout_min

    async def append(self, request: AppendRequest) -> AppendResponse:
        """Store records of the leader and return once they are durable.

        :raises WrongReceiverError: the request is addressed to another identity
        :raises StorageFailedError: a file operation failed
        """
        self._check_receiver(request.receiver)
        state = self.state
        async with state.lock:
            if request.term < state.term:
                return AppendResponse(term=state.term, success=False)
            if request.term > state.term:
                await state.save_vote(request.term, None)
            state.record_leader_contact(request.leader)
            if request.timeout_now:
                self.start_election()
                return AppendResponse(term=state.term, success=True)
            conflict = self._find_conflict(request.previous_index, request.previous_term)
            if conflict is not None:
                return AppendResponse(term=state.term, success=False, conflict_index=conflict)
            await self._store_records([Record.from_entry(entry) for entry in request.entries])
            match = request.previous_index + len(request.entries)
            state.commit(min(request.commit_index, match))
            state.record_leader_contact(request.leader)
            return AppendResponse(term=state.term, success=True, match_index=match)

    def _find_conflict(self, index: int, term: int) -> int | None:
        log = self.state.log
        if index > log.last_index:
            return log.last_index + 1
        # Records covered by the local snapshot are committed and therefore identical.
        if index < log.base_index or log.term_at(index) == term:
            return None
        return log.first_index_of_term(index)

    async def _store_records(self, records: list[Record]) -> None:
        log = self.state.log
        new = [record for record in records if record.index > log.base_index]
        # A delayed or repeated call contains records that are already stored. Only a record with
        # another term means that the rest of the local log conflicts with the leader's.
        while new and new[0].index <= log.last_index:
            if log.term_at(new[0].index) != new[0].term:
                await self._truncate(new[0].index)
                break
            del new[0]
        if new:
            log.append(new)
            for record in new:
                self._record_membership(record)
        if records:
            await log.sync(min(records[-1].index, log.last_index))

    async def _truncate(self, first: int) -> None:
        state = self.state
        if first <= state.commit_index:
            raise DivergedLogError(f"committed record {first} differs from the leader's")
        state.membership_history.truncate(first)
        await state.log.truncate_suffix(first)

    def _record_membership(self, record: Record) -> None:
        if record.kind == ENTRY_KIND_MEMBERSHIP:
            self.state.membership_history.add(record.index, Membership.decode(record.payload))
            self.state.changed.notify()

    async def snapshot(self, chunks: AsyncIterator[SnapshotChunk]) -> SnapshotResponse:
        """Receive a snapshot and install it once it is complete.

        :raises WrongReceiverError: the snapshot is addressed to another identity
        :raises SnapshotTransferError: the transfer was incomplete, out of order or damaged
        :raises StorageFailedError: a file operation failed
        """
        state = self.state
        data = bytearray()
        crc = 0
        async for chunk in chunks:
            self._check_receiver(chunk.receiver)
            if chunk.term < state.term:
                return SnapshotResponse(term=state.term, installed=False)
            crc = google_crc32c.extend(crc, chunk.data)
            if chunk.offset != len(data) or chunk.crc32c != crc:
                raise SnapshotTransferError(
                    f"snapshot chunk at offset {chunk.offset} is out of order or damaged"
                )
            data += chunk.data
            if chunk.done:
                return await state.run_shielded(self._install(chunk, bytes(data)))
        raise SnapshotTransferError(f"the snapshot transfer ended early, after {len(data)} bytes")

    async def _install(self, chunk: SnapshotChunk, data: bytes) -> SnapshotResponse:
        state = self.state
        async with state.lock:
            if chunk.term < state.term:
                return SnapshotResponse(term=state.term, installed=False)
            if chunk.term > state.term:
                await state.save_vote(chunk.term, None)
            state.record_leader_contact(chunk.leader)
            if chunk.last_index > state.commit_index:
                membership = Membership.from_record(chunk.membership)
                await self._replace_state(
                    Snapshot(chunk.last_index, chunk.last_term, membership, data),
                )
            state.record_leader_contact(chunk.leader)
            return SnapshotResponse(term=state.term, installed=True)

    async def _replace_state(self, snapshot: Snapshot) -> None:
        state = self.state
        log = state.log
        await asyncio.to_thread(state.snapshot_store.save, snapshot)
        keeps_suffix = (
            snapshot.index <= log.last_index and log.term_at(snapshot.index) == snapshot.term
        )
        # The state is replaced before the log, so that the apply loop never looks up a record that
        # the log reset removes.
        state.state_machine.restore(snapshot.data)
        state.applied_index = snapshot.index
        state.commit(snapshot.index)
        if not keeps_suffix:
            state.membership_history.truncate(1)
        state.membership_history.rebase(snapshot.index, snapshot.membership)
        state.changed.notify()
        if keeps_suffix:
            await log.drop_prefix(snapshot.index)
        else:
            await log.reset(snapshot.index, snapshot.term)
        events.SNAPSHOT_INSTALLED.log(identity=state.identity, index=snapshot.index)
