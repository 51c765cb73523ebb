"""Leader of one term."""

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
    """Appends and commits records and confirms leadership during one term.

    :param state: shared state
    :param term: term in which this replica is the leader

    :ivar elected_at: clock reading at the election, in seconds
    :ivar start_index: index of the first record of the term; records of earlier terms are
        committed only together with it (Ongaro 2014, section 3.6.2)
    :ivar quorum_round: number of the last requested quorum round
    """

    __slots__ = (
        "closed",
        "elected_at",
        "peer_tasks",
        "peers",
        "proposals",
        "quorum_round",
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
        self.quorum_round = 0
        self.peers: dict[str, Peer] = {}
        self.peer_tasks: dict[str, asyncio.Task[None]] = {}
        self.tasks: list[asyncio.Task[None]] = []
        self.proposals: dict[int, asyncio.Future[bytes]] = {}
        self.transferring = False
        self.closed = False

    def start(self) -> None:
        """Start the tasks and append the first record of the term."""
        self.update_peers()
        self._start_task(self._watch_durable_index())
        self._start_task(self._watch_quorum())
        self.append(ENTRY_KIND_NO_OP, b"")

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        self.tasks.append(self.state.spawn(coroutine))

    def close(self) -> None:
        """Stop acting as the leader; pending proposals fail with an unknown result."""
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

    async def wait_result(self, index: int) -> bytes:
        """Return the result of a newly appended record once it is applied.

        :raises ProposalUnknownError: leadership ended before the record was committed
        """
        future: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        self.proposals[index] = future
        return await future

    def complete(self, index: int, result: bytes) -> None:
        """Resolve the proposal of an applied record with its result."""
        future = self.proposals.pop(index, None)
        if future is not None and not future.done():
            future.set_result(result)
        if index == self.state.membership_history.index and not self._is_member():
            # A removed leader keeps leading until its removal is committed (Ongaro 2014, 4.2.2).
            self.state.spawn(self._step_down_after_removal())

    def _is_member(self) -> bool:
        return self.state.identity in self.state.membership.voters

    async def _step_down_after_removal(self) -> None:
        await self.transfer_leadership()
        if not self.closed:
            self.state.step_down()

    def wake_peers(self) -> None:
        """Make all peers send without waiting for the next heartbeat."""
        for peer in self.peers.values():
            peer.wakeup.set()

    def update_peers(self) -> None:
        """Start and stop peers to match the membership in force."""
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
        """Commit the records that are durable on a majority of voters."""
        state = self.state
        durable_indexes = sorted(map(self._durable_index, state.membership.voters), reverse=True)
        index = durable_indexes[len(durable_indexes) // 2]
        if index >= self.start_index:
            state.commit(index)

    async def confirm(self) -> None:
        """Wait for a quorum round that starts after this call.

        :raises NotLeaderError: leadership ended first
        """
        self.quorum_round += 1
        requested_round = self.quorum_round
        self.wake_peers()
        await self._wait_for(
            lambda: self._has_majority(lambda peer: peer.acked_round >= requested_round)
        )

    async def _wait_for(self, condition: Callable[[], bool]) -> None:
        await self.state.changed.wait_for(lambda: self.closed or condition())
        if self.closed:
            raise NotLeaderError(self.state.leader_address)

    def _has_majority(self, condition: Callable[[Peer], bool]) -> bool:
        matching = {replica for replica, peer in self.peers.items() if condition(peer)}
        return self.state.membership.is_majority(matching | {self.state.identity})

    async def wait_term_committed(self) -> None:
        """Wait until a record of this term is committed.

        :raises NotLeaderError: leadership ended first
        """
        await self._wait_for(lambda: self.state.commit_index >= self.start_index)

    def change_membership(self, membership: Membership) -> int:
        """Append a membership, which takes effect immediately, and return its index.

        :raises MembershipPendingError: the previous change is not committed
        """
        state = self.state
        if max(state.membership_history.index, self.start_index) > state.commit_index:
            raise MembershipPendingError("the previous membership change is not committed yet")
        index = self.append(ENTRY_KIND_MEMBERSHIP, membership.encode())
        state.membership_history.add(index, membership)
        self.update_peers()
        events.MEMBERSHIP_CHANGED.log(
            index=index,
            voters=sorted(membership.voters),
            learners=sorted(membership.learners),
        )
        return index

    async def _watch_durable_index(self) -> None:
        log = self.state.log
        last_seen_index = -1
        while True:
            await log.durable_changed.wait_for(
                lambda: log.failure is not None
                or log.durable_index > last_seen_index,  # noqa: B023
            )
            if log.failure is not None:
                raise log.failure
            last_seen_index = log.durable_index
            self.advance_commit()

    async def _watch_quorum(self) -> None:
        """Step down without contact to a majority (check quorum) and promote learners."""
        settings = self.state.settings
        window = settings.election_timeout_max * (1 - settings.drift_margin)
        while True:
            await asyncio.sleep(settings.heartbeat)
            window_start = self.state.clock.now() - window
            if self.elected_at < window_start and not self._has_majority(
                lambda peer: peer.acked_at >= window_start  # noqa: B023
            ):
                events.QUORUM_LOST.log(
                    identity=self.state.identity, term=self.term, silent_for=self._silence()
                )
                self.state.step_down()
                return
            self._promote_learner(window_start)

    def _silence(self) -> dict[str, float]:
        """Return the seconds since the last response of each peer, or since the election."""
        now = self.state.clock.now()
        return {
            replica: round(now - max(peer.acked_at, self.elected_at), 3)
            for replica, peer in self.peers.items()
        }

    def _promote_learner(self, window_start: float) -> None:
        state = self.state
        if max(state.membership_history.index, self.start_index) > state.commit_index:
            return
        for replica in state.membership.learners:
            peer = self.peers[replica]
            if peer.match_index >= state.commit_index and peer.acked_at >= window_start:
                self.change_membership(state.membership.promote(replica))
                events.LEARNER_PROMOTED.log(replica=replica)
                return

    async def transfer_leadership(self) -> None:
        """Transfer leadership to the most up-to-date voter (Ongaro 2014, section 3.10).

        Returns once the target is the leader, or after ``transfer_timeout`` if the transfer fails.
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
                await self._transfer_to(target)
        self.transferring = False

    async def _transfer_to(self, target: Peer) -> None:
        state = self.state
        self.wake_peers()
        await self._wait_for(
            lambda: target.match_index == state.log.last_index == state.applied_index,
        )
        if await target.send_timeout_now():
            await state.changed.wait_for(lambda: state.leader_id == target.member.replica)
