"""Replication to one other replica."""

from __future__ import annotations

import asyncio
import contextlib

from typing import TYPE_CHECKING

import google_crc32c

from medlarpass.replication import events
from medlarpass.replication.exceptions import ReplicaStateError
from medlarpass.rpc.replication_pb2 import AppendRequest
from medlarpass.rpc.replication_pb2 import AppendResponse
from medlarpass.rpc.replication_pb2 import SnapshotChunk
from medlarpass.rpc.replication_pb2 import SnapshotResponse

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from medlarpass.replication.leadership import Leadership
    from medlarpass.replication.membership import Member
    from medlarpass.replication.snapshot_store import Snapshot


class Peer:
    """Replication state of another replica, kept by the leader during one term.

    :param leadership: leadership of the term
    :param member: the other replica

    :ivar next_index: index of the next record to send
    :ivar match_index: index of the last record known to be durable on the replica
    :ivar acked_round: last quorum round that the replica acknowledged
    :ivar acked_at: clock reading at its last response, in seconds
    """

    __slots__ = (
        "acked_at",
        "acked_round",
        "leadership",
        "match_index",
        "member",
        "next_index",
        "state",
        "wakeup",
    )

    def __init__(self, leadership: Leadership, member: Member) -> None:
        self.leadership = leadership
        self.state = leadership.state
        self.member = member
        self.next_index = self.state.log.last_index + 1
        self.match_index = 0
        self.acked_round = 0
        self.acked_at = float("-inf")
        self.wakeup = asyncio.Event()

    async def run(self) -> None:
        """Send records and heartbeats, one call at a time, until the leadership ends."""
        log = self.state.log
        heartbeat = self.state.settings.heartbeat
        while not self.leadership.closed:
            self.wakeup.clear()
            if self.next_index <= log.base_index:
                responded = await self._send_snapshot()
            else:
                responded = await self._send_records()
            if not responded:
                await asyncio.sleep(heartbeat)
            elif self.next_index > log.last_index:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(heartbeat):
                        await self.wakeup.wait()

    async def send_timeout_now(self) -> bool:
        """Send ``TimeoutNow`` for a leadership transfer; return whether the replica responded."""
        request = self._request(self.match_index, self.state.log.term_at(self.match_index))
        request.timeout_now = True
        return await self._send_append(request) is not None

    def _request(self, previous_index: int, previous_term: int) -> AppendRequest:
        return AppendRequest(
            term=self.leadership.term,
            leader=self.state.identity,
            previous_index=previous_index,
            previous_term=previous_term,
            commit_index=self.state.commit_index,
            receiver=self.member.replica,
        )

    async def _send_records(self) -> bool:
        state = self.state
        previous = self.next_index - 1
        records = state.log.read(
            self.next_index,
            state.settings.append_max_records,
            state.settings.append_max_bytes,
        )
        request = self._request(previous, state.log.term_at(previous))
        request.entries.extend(record.to_entry() for record in records)
        response = await self._send_append(request)
        if response is None:
            return False
        if response.success:
            self._record_match(previous + len(records))
        else:
            self.next_index = max(1, min(response.conflict_index, previous))
        return True

    def _record_match(self, index: int) -> None:
        self.next_index = index + 1
        if index > self.match_index:
            self.match_index = index
            self.leadership.advance_commit()
            self.state.changed.notify()

    async def _send_append(self, request: AppendRequest) -> AppendResponse | None:
        quorum_round = self.leadership.quorum_round
        sent_at = self.state.clock.now()
        try:
            # asyncio.wait_for in Python 3.11 swallows a cancellation if the call has just finished.
            async with asyncio.timeout(self.state.settings.call_timeout):
                response = await self.state.transport.append(self.member, request)
        except Exception as error:
            # The transport defines its own errors; any of them counts as a lost call.
            self._log_if_slow(request, sent_at, type(error).__name__)
            return None
        self._log_if_slow(request, sent_at, "")
        if not self._is_current_term(response.term):
            return None
        self.acked_round = max(self.acked_round, quorum_round)
        self.acked_at = self.state.clock.now()
        self.state.changed.notify()
        return response

    def _log_if_slow(self, request: AppendRequest, sent_at: float, error: str) -> None:
        seconds = self.state.clock.now() - sent_at
        if seconds >= self.state.settings.election_timeout_min:
            events.APPEND_SLOW.log(
                receiver=self.member.replica,
                term=request.term,
                records=len(request.entries),
                seconds=round(seconds, 3),
                error=error,
            )

    def _is_current_term(self, term: int) -> bool:
        if term > self.leadership.term:
            self.state.spawn(self.state.observe_term(term))
        return term == self.leadership.term and not self.leadership.closed

    async def _send_snapshot(self) -> bool:
        state = self.state
        snapshot = await asyncio.to_thread(state.snapshot_store.load)
        if snapshot is None:
            raise ReplicaStateError(f"no snapshot contains record {self.next_index}")
        transfer = asyncio.ensure_future(self._transfer_snapshot(snapshot))
        try:
            # Heartbeats continue, since a transfer may take longer than an election timeout.
            while not transfer.done():
                await asyncio.wait({transfer}, timeout=state.settings.heartbeat)
                await self._send_append(self._request(0, 0))
        finally:
            transfer.cancel()
        response = transfer.result()
        if response is None or not self._is_current_term(response.term) or not response.installed:
            return False
        events.SNAPSHOT_SENT.log(
            identity=state.identity, receiver=self.member.replica, index=snapshot.index
        )
        self._record_match(snapshot.index)
        return True

    async def _transfer_snapshot(self, snapshot: Snapshot) -> SnapshotResponse | None:
        state = self.state
        try:
            async with asyncio.timeout(state.settings.snapshot_timeout):
                chunks = self._chunks(snapshot)
                return await state.transport.install_snapshot(self.member, chunks)
        except Exception:
            # As in _send_append; the next transfer starts again from the first chunk.
            return None

    async def _chunks(self, snapshot: Snapshot) -> AsyncIterator[SnapshotChunk]:
        size = self.state.settings.snapshot_chunk_bytes
        crc = 0
        for offset in range(0, max(1, len(snapshot.data)), size):
            data = snapshot.data[offset : offset + size]
            crc = google_crc32c.extend(crc, data)
            yield SnapshotChunk(
                term=self.leadership.term,
                leader=self.state.identity,
                last_index=snapshot.index,
                last_term=snapshot.term,
                membership=snapshot.membership.to_record(),
                offset=offset,
                data=data,
                done=offset + size >= len(snapshot.data),
                crc32c=crc,
                receiver=self.member.replica,
            )
