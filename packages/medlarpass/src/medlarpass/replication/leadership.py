"""Work of a leader during one term."""

from __future__ import annotations

import asyncio
import contextlib

from typing import TYPE_CHECKING
from typing import Any

from medlarpass.replication import events
from medlarpass.replication.exceptions import MembershipPendingError
from medlarpass.replication.exceptions import NotLeaderError
from medlarpass.replication.exceptions import ProposalUnknownError
from medlarpass.replication.exceptions import StorageFailedError
from medlarpass.replication.peer import Peer
from medlarpass.replication.record import Record
from medlarpass.rpc.replication_pb2 import ENTRY_KIND_MEMBERSHIP
from medlarpass.rpc.replication_pb2 import ENTRY_KIND_NO_OP
from medlarpass.rpc.replication_pb2 import EntryKind

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

    from medlarpass.replication.membership import Membership
    from medlarpass.replication.state import ReplicaState


class Leadership:
    """Appends, commits and confirms as the leader of one term.

    :param state: shared state
    :param term: the term

    :ivar elected_at: clock reading of the election, in seconds
    :ivar start_index: index of the first record of the term; commits of earlier terms count
        only with it (Ongaro 2014, section 3.6.2)
    :ivar sequence: number of quorum rounds that have been asked for
    """

    __slots__ = (
        "closed",
        "elected_at",
        "peer_tasks",
        "peers",
        "proposals",
        "sequence",
        "start_index",
        "state",
        "tasks",
        "term",
        "transferring",
    )

    def __init__(self, state: ReplicaState, term: int) -> None:
        self.state = state
        self.term = term
        self.elected_at = state.clock.now()
        self.start_index = state.log.last_index + 1
        self.sequence = 0
        self.peers: dict[str, Peer] = {}
        self.peer_tasks: dict[str, asyncio.Task[None]] = {}
        self.tasks: list[asyncio.Task[None]] = []
        self.proposals: dict[int, asyncio.Future[bytes]] = {}
        self.transferring = False
        self.closed = False

    def start(self) -> None:
        """Append the first record of the term and start the tasks."""
        self.sync_peers()
        self._run(self._watch_disk())
        self._run(self._watch_members())
        self.append(ENTRY_KIND_NO_OP, b"")

    def _run(self, work: Coroutine[Any, Any, None]) -> None:
        self.tasks.append(self.state.spawn(work))

    def close(self) -> None:
        """End the term here; pending proposals get an unknown result."""
        self.closed = True
        for task in (*self.tasks, *self.peer_tasks.values()):
            task.cancel()
        for future in self.proposals.values():
            if not future.done():
                future.set_exception(ProposalUnknownError("leadership ended before the commit"))
        self.proposals.clear()

    def append(self, kind: EntryKind, payload: bytes) -> int:
        """Append a record and return its index."""
        index = self.state.log.last_index + 1
        try:
            self.state.log.append([Record(index, self.term, kind, payload)])
        except StorageFailedError as error:
            self.state.fail(error)
            raise
        self.wake_peers()
        return index

    async def result(self, index: int) -> bytes:
        """Wait for the result of a record that was just appended.

        :raises ProposalUnknownError: leadership ended before the record was committed
        """
        future: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        self.proposals[index] = future
        return await future

    def complete(self, index: int, result: bytes) -> None:
        """Hand over the result of an applied record."""
        future = self.proposals.pop(index, None)
        if future is not None and not future.done():
            future.set_result(result)
        if index == self.state.history.index and not self._is_member():
            # A removed leader serves until its removal is committed (Ongaro 2014, section 4.2.2).
            self.state.spawn(self._leave())

    def _is_member(self) -> bool:
        return self.state.identity in self.state.membership.voters

    async def _leave(self) -> None:
        await self.hand_over()
        if not self.closed:
            self.state.step_down()

    def wake_peers(self) -> None:
        """Let all peers send at once."""
        for peer in self.peers.values():
            peer.woken.set()

    def sync_peers(self) -> None:
        """Follow the membership in force."""
        members = {
            member.replica: member
            for member in self.state.membership.members
            if member.replica != self.state.identity
        }
        for replica in self.peers.keys() - members.keys():
            del self.peers[replica]
            self.peer_tasks.pop(replica).cancel()
        for replica in members.keys() - self.peers.keys():
            peer = Peer(self, members[replica])
            self.peers[replica] = peer
            self.peer_tasks[replica] = self.state.spawn(peer.run())
        for replica, peer in self.peers.items():
            peer.member = members[replica]

    def _durable_index(self, voter: str) -> int:
        if voter == self.state.identity:
            return self.state.log.durable_index
        return self.peers[voter].match_index

    def advance_commit(self) -> None:
        """Commit what a majority of voters has made durable."""
        state = self.state
        durable = sorted(map(self._durable_index, state.membership.voters), reverse=True)
        index = durable[len(durable) // 2]
        if index >= self.start_index:
            state.commit(index)

    async def confirm(self) -> None:
        """Wait for a quorum round that begins after this call.

        :raises NotLeaderError: leadership ended before
        """
        self.sequence += 1
        wanted = self.sequence
        self.wake_peers()
        await self._wait_for(lambda: self._has_majority(lambda peer: peer.acked_sequence >= wanted))

    async def _wait_for(self, condition: Callable[[], bool]) -> None:
        await self.state.changed.wait_for(lambda: self.closed or condition())
        if self.closed:
            raise NotLeaderError(self.state.leader_address)

    def _has_majority(self, condition: Callable[[Peer], bool]) -> bool:
        found = {replica for replica, peer in self.peers.items() if condition(peer)}
        return self.state.membership.is_majority(found | {self.state.identity})

    async def wait_established(self) -> None:
        """Wait until a record of this term is committed.

        :raises NotLeaderError: leadership ended before
        """
        await self._wait_for(lambda: self.state.commit_index >= self.start_index)

    def change_membership(self, membership: Membership) -> int:
        """Append a membership, which is in force at once, and return its index.

        :raises MembershipPendingError: the change before it is not committed
        """
        state = self.state
        if max(state.history.index, self.start_index) > state.commit_index:
            raise MembershipPendingError("an earlier membership change is not committed")
        index = self.append(ENTRY_KIND_MEMBERSHIP, membership.encode())
        state.history.add(index, membership)
        self.sync_peers()
        events.MEMBERSHIP_CHANGED.log(
            index=index,
            voters=sorted(membership.voters),
            learners=sorted(membership.learners),
        )
        return index

    async def _watch_disk(self) -> None:
        log = self.state.log
        seen = -1
        while True:
            await log.durable.wait_for(
                lambda: log.failure is not None or log.durable_index > seen,  # noqa: B023
            )
            if log.failure is not None:
                raise log.failure
            seen = log.durable_index
            self.advance_commit()

    async def _watch_members(self) -> None:
        """Step down without a majority (check-quorum) and promote learners that caught up."""
        settings = self.state.settings
        window = settings.election_timeout_max * (1 - settings.drift_margin)
        while True:
            await asyncio.sleep(settings.heartbeat)
            oldest = self.state.clock.now() - window
            if self.elected_at < oldest and not self._has_majority(
                lambda peer: peer.acked_at >= oldest  # noqa: B023
            ):
                events.QUORUM_LOST.log(identity=self.state.identity, term=self.term)
                self.state.step_down()
                return
            self._promote(oldest)

    def _promote(self, oldest: float) -> None:
        state = self.state
        if max(state.history.index, self.start_index) > state.commit_index:
            return
        for replica in state.membership.learners:
            peer = self.peers[replica]
            if peer.match_index >= state.commit_index and peer.acked_at >= oldest:
                self.change_membership(state.membership.promote(replica))
                events.LEARNER_PROMOTED.log(replica=replica)
                return

    async def hand_over(self) -> None:
        """Transfer leadership to the voter that is furthest (Ongaro 2014, section 3.10).

        Returns once the other replica leads, or after ``transfer_timeout`` without success.
        """
        state = self.state
        voters = [peer for replica, peer in self.peers.items() if peer.member.voter]
        target = max(voters, key=lambda peer: (peer.match_index, peer.acked_at), default=None)
        if target is None:
            return
        self.transferring = True
        events.LEADERSHIP_TRANSFER.log(identity=state.identity, target=target.member.replica)
        with contextlib.suppress(TimeoutError, NotLeaderError):
            async with asyncio.timeout(state.settings.transfer_timeout):
                await self._transfer(target)
        self.transferring = False

    async def _transfer(self, target: Peer) -> None:
        state = self.state
        self.wake_peers()
        await self._wait_for(
            lambda: target.match_index == state.log.last_index == state.applied_index,
        )
        if await target.ask_to_take_over():
            await state.changed.wait_for(lambda: state.leader_id == target.member.replica)
