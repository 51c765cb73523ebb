"""Replica of a replicated log."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING

from medlarpass.clock import BootClock
from medlarpass.clock import Clock
from medlarpass.replication import events
from medlarpass.replication.applier import Applier
from medlarpass.replication.election import Election
from medlarpass.replication.exceptions import DamagedLogError
from medlarpass.replication.exceptions import NotLeaderError
from medlarpass.replication.exceptions import ProposalTooLargeError
from medlarpass.replication.file_system import FileSystem
from medlarpass.replication.membership import Member
from medlarpass.replication.membership import Membership
from medlarpass.replication.membership import MembershipHistory
from medlarpass.replication.request_handler import RequestHandler
from medlarpass.replication.state import ReplicaState
from medlarpass.rpc.replication_pb2 import ENTRY_KIND_COMMAND
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
    from collections.abc import Iterable

    from medlarpass.replication.leadership import Leadership
    from medlarpass.replication.protocols import StateMachine
    from medlarpass.replication.protocols import Transport
    from medlarpass.replication.settings import ReplicationSettings
    from medlarpass.replication.snapshot_store import Snapshot


class Replica:
    """One replica; all methods must be called on the event loop that it was created in.

    :param settings: settings of the replica
    :param state_machine: state machine that committed payloads are applied to
    :param transport: calls to other replicas
    :param clock: clock used for timeouts
    :param file_system: file operations
    """

    __slots__ = ("applier", "election", "request_handler", "state")

    def __init__(
        self,
        settings: ReplicationSettings,
        state_machine: StateMachine,
        transport: Transport,
        clock: Clock | None = None,
        file_system: FileSystem | None = None,
    ) -> None:
        self.state = ReplicaState(
            settings,
            state_machine,
            transport,
            BootClock() if clock is None else clock,
            FileSystem() if file_system is None else file_system,
        )
        self.election = Election(self.state)
        self.applier = Applier(self.state)
        self.request_handler = RequestHandler(self.state, self._start_transfer_election)

    @property
    def identity(self) -> str:
        """Identity of this replica, known after :meth:`start`."""
        return self.state.identity

    @property
    def is_leader(self) -> bool:
        """Whether this replica believes that it is the leader; see :meth:`confirm_leadership`."""
        return self.state.leadership is not None

    @property
    def leader(self) -> Member | None:
        """The leader of the current term, if known."""
        return self.state.leader

    @property
    def term(self) -> int:
        """Highest term seen."""
        return self.state.term

    @property
    def commit_index(self) -> int:
        """Last index known to be committed."""
        return self.state.commit_index

    @property
    def last_index(self) -> int:
        """Last index in the log."""
        return self.state.log.last_index

    @property
    def applied_index(self) -> int:
        """Last index applied to the state machine."""
        return self.state.applied_index

    @property
    def membership(self) -> Membership:
        """Membership in force."""
        return self.state.membership

    @property
    def elected_at(self) -> float | None:
        """Clock reading when this replica became the leader, in seconds; else ``None``."""
        leadership = self.state.leadership
        return None if leadership is None else leadership.elected_at

    @property
    def failure(self) -> BaseException | None:
        """The error after which this replica stopped participating, if any."""
        return self.state.failure

    async def wait_failed(self) -> BaseException:
        """Wait for a fatal error, after which the process has to exit, and return it."""
        await self.state.changed.wait_for(lambda: self.state.failure is not None)
        assert self.state.failure is not None
        return self.state.failure

    async def bootstrap(self, members: Iterable[Member]) -> None:
        """Prepare an empty data folder for a new cluster, before :meth:`start`.

        Must be called exactly once per replica of a new cluster, with the same members on each.
        A replica that lost its disk must not be bootstrapped again, because it could vote twice
        in one term. It is started without a bootstrap and takes the place of its old identity by
        :meth:`replace_replica`.

        :raises ReplicaStateError: the folder is not empty or the replica is not a voter
        :raises StorageFailedError: a file operation failed
        """
        await asyncio.to_thread(self.state.vote_store.bootstrap, Membership(members))

    async def start(self) -> None:
        """Recover from the data folder and start participating.

        :raises DamagedFileError: a file is damaged
        :raises StorageFailedError: a file operation failed
        """
        state = self.state
        await asyncio.to_thread(state.vote_store.open)
        snapshot = await asyncio.to_thread(state.snapshot_store.open)
        await state.log.open()
        state.membership_history = MembershipHistory(state.vote_store.initial_membership)
        await self._restore(snapshot)
        state.election_timer_started_at = state.clock.now()
        if state.term:
            # A leader may still count on this replica's contact from before the restart.
            state.leader_contact_at = state.election_timer_started_at
        state.running = True
        state.spawn(self.applier.run())
        state.spawn(self.election.run())
        events.REPLICA_STARTED.log(
            identity=state.identity, term=state.term, last_index=state.log.last_index
        )

    async def _restore(self, snapshot: Snapshot | None) -> None:
        state = self.state
        log = state.log
        index = 0 if snapshot is None else snapshot.index
        if log.base_index > index:
            raise DamagedLogError(
                log.folder, 0, f"records after the snapshot at {index} are missing"
            )
        if snapshot is not None:
            if log.base_index == index:
                log.base_term = snapshot.term
            state.state_machine.restore(snapshot.data)
            state.applied_index = state.commit_index = index
            state.membership_history.rebase(index, snapshot.membership)
            if log.last_index < index or log.term_at(index) != snapshot.term:
                # The process exited after installing a snapshot and before resetting the log.
                await log.reset(index, snapshot.term)
            await log.drop_prefix(index)
        for record in log.records:
            if record.kind == ENTRY_KIND_MEMBERSHIP:
                state.membership_history.add(record.index, Membership.decode(record.payload))

    async def stop(self, transfer_leadership: bool = True) -> None:
        """Stop participating.

        :param transfer_leadership: transfer leadership first, within ``transfer_timeout``
        """
        state = self.state
        if transfer_leadership and state.leadership is not None:
            await state.leadership.transfer_leadership()
        state.running = False
        state.step_down()
        tasks = list(state.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await state.log.close()
        events.REPLICA_STOPPED.log(identity=state.identity)

    def _active_leadership(self) -> Leadership:
        leadership = self.state.leadership
        if leadership is None or leadership.transferring:
            raise NotLeaderError(None if self.is_leader else self.state.leader_address)
        return leadership

    async def propose(self, payload: bytes) -> bytes:
        """Append a payload and return the state machine's result once it is applied.

        :raises NotLeaderError: the payload was not appended
        :raises ProposalTooLargeError: the payload was not appended
        :raises ProposalUnknownError: it is not known whether it will be committed
        """
        if len(payload) > self.state.settings.payload_max_bytes:
            raise ProposalTooLargeError(f"payload of {len(payload)} bytes exceeds the limit")
        leadership = self._active_leadership()
        return await leadership.wait_result(leadership.append(ENTRY_KIND_COMMAND, payload))

    async def confirm_leadership(self) -> None:
        """Return after a quorum round that started after the call.

        :raises NotLeaderError: this replica is not the leader
        """
        await self._active_leadership().confirm()

    async def read_index(self) -> int:
        """Return an index for a linearizable read.

        A state that has applied this index contains all writes acknowledged before the call.

        :raises NotLeaderError: this replica is not the leader
        """
        leadership = self._active_leadership()
        await leadership.wait_term_committed()
        index = self.state.commit_index
        await leadership.confirm()
        return index

    async def wait_applied(self, index: int) -> None:
        """Wait until an index has been applied on this replica.

        :raises ReplicaStateError: the replica was stopped or failed
        """
        state = self.state
        await state.changed.wait_for(
            lambda: state.applied_index >= index or state.failure is not None or not state.running,
        )
        if state.applied_index < index:
            state.check_running()

    async def add_replica(self, member: Member) -> None:
        """Add a learner, which is promoted once it has caught up; return when committed.

        :raises NotLeaderError: the change was not appended
        :raises MembershipError: identity or address is already in use
        :raises MembershipPendingError: the previous change is not committed
        :raises ProposalUnknownError: it is not known whether it will be committed
        """
        await self._change_membership(lambda membership: membership.add(member))

    async def remove_replica(self, replica: str) -> None:
        """Remove a member; return when committed. Raises the errors of :meth:`add_replica`."""
        await self._change_membership(lambda membership: membership.remove(replica))

    async def replace_replica(self, replica: str, member: Member) -> None:
        """Remove a member and add a learner in one change, for example after a disk loss.

        Raises the errors of :meth:`add_replica`.
        """
        await self._change_membership(lambda membership: membership.replace(replica, member))

    async def _change_membership(self, change: Callable[[Membership], Membership]) -> None:
        leadership = self._active_leadership()
        await leadership.wait_term_committed()
        index = leadership.change_membership(change(self.state.membership))
        await leadership.wait_result(index)

    def _start_transfer_election(self) -> None:
        self.state.spawn(self.election.campaign(transfer=True))

    async def handle_vote(self, request: VoteRequest) -> VoteResponse:
        """Handle ``RequestVote``.

        :raises ReplicationError: the caller treats the call as lost
        """
        return await self.state.run_shielded(self.request_handler.vote(request))

    async def handle_append(self, request: AppendRequest) -> AppendResponse:
        """Handle ``AppendEntries``.

        :raises ReplicationError: the caller treats the call as lost
        """
        return await self.state.run_shielded(self.request_handler.append(request))

    async def handle_snapshot(self, chunks: AsyncIterator[SnapshotChunk]) -> SnapshotResponse:
        """Handle ``InstallSnapshot``.

        :raises ReplicationError: the caller treats the call as lost
        """
        self.state.check_running()
        return await self.request_handler.snapshot(chunks)
