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
from medlarpass.replication.receiver import Receiver
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
    """One replica; all methods belong to the event loop it was created in.

    :param settings: settings
    :param state_machine: receives committed payloads
    :param transport: calls to other replicas
    :param clock: clock of timeouts
    :param file_system: file operations
    """

    __slots__ = ("applier", "election", "receiver", "state")

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
        self.receiver = Receiver(self.state, self._take_over)

    @property
    def identity(self) -> str:
        """Identity of this replica, known after :meth:`start`."""
        return self.state.identity

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads, as far as it knows; see :meth:`confirm_leadership`."""
        return self.state.leadership is not None

    @property
    def leader(self) -> Member | None:
        """The known leader of the present term."""
        return self.state.leader

    @property
    def term(self) -> int:
        """Newest term seen."""
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
        """The error after which this replica takes no further part."""
        return self.state.failure

    async def wait_failed(self) -> BaseException:
        """Wait for an error after which the process has to end, and return it."""
        await self.state.changed.wait_for(lambda: self.state.failure is not None)
        assert self.state.failure is not None
        return self.state.failure

    async def bootstrap(self, members: Iterable[Member]) -> None:
        """Prepare an empty data folder for a new cluster, before :meth:`start`.

        Must be called once per replica in the life of a cluster, with the same members on all
        of them. A replica whose disk was lost must not be bootstrapped again: it could vote
        twice. It is started without, and replaces its old identity with
        :meth:`replace_replica`.

        :raises ReplicaStateError: the folder is not empty or the replica is not a voter
        :raises StorageFailedError: a file operation failed
        """
        await asyncio.to_thread(self.state.votes.bootstrap, Membership(members))

    async def start(self) -> None:
        """Read the data folder and take part.

        :raises DamagedFileError: a file is damaged
        :raises StorageFailedError: a file operation failed
        """
        state = self.state
        await asyncio.to_thread(state.votes.open)
        snapshot = await asyncio.to_thread(state.snapshots.open)
        await state.log.open()
        state.history = MembershipHistory(state.votes.initial)
        await self._restore(snapshot)
        state.quiet_since = state.clock.now()
        if state.term:
            # A leader may rely on the contact that it had with this replica before a restart.
            state.leader_seen_at = state.quiet_since
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
            raise DamagedLogError(log.folder, 0, f"records behind the snapshot at {index} missing")
        if snapshot is not None:
            if log.base_index == index:
                log.base_term = snapshot.term
            state.state_machine.restore(snapshot.data)
            state.applied_index = state.commit_index = index
            state.history.rebase(index, snapshot.membership)
            if log.last_index < index or log.term_at(index) != snapshot.term:
                # The process ended between the installation of a snapshot and the reset.
                await log.reset(index, snapshot.term)
            await log.drop_prefix(index)
        for record in log.records:
            if record.kind == ENTRY_KIND_MEMBERSHIP:
                state.history.add(record.index, Membership.decode(record.payload))

    async def stop(self, hand_over: bool = True) -> None:
        """Stop taking part.

        :param hand_over: transfer leadership first, within ``transfer_timeout``
        """
        state = self.state
        if hand_over and state.leadership is not None:
            await state.leadership.hand_over()
        state.running = False
        state.step_down()
        tasks = list(state.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await state.log.close()
        events.REPLICA_STOPPED.log(identity=state.identity)

    def _leadership(self) -> Leadership:
        leadership = self.state.leadership
        if leadership is None or leadership.transferring:
            raise NotLeaderError(None if self.is_leader else self.state.leader_address)
        return leadership

    async def propose(self, payload: bytes) -> bytes:
        """Append a payload and return the state machine's result once it is committed.

        :raises NotLeaderError: certainly not appended
        :raises ProposalTooLargeError: certainly not appended
        :raises ProposalUnknownError: it is not known whether it will be committed
        """
        if len(payload) > self.state.settings.payload_max_bytes:
            raise ProposalTooLargeError(f"{len(payload)} bytes are too many")
        leadership = self._leadership()
        return await leadership.result(leadership.append(ENTRY_KIND_COMMAND, payload))

    async def confirm_leadership(self) -> None:
        """Return after a quorum round that began after the call.

        :raises NotLeaderError: this replica does not lead
        """
        await self._leadership().confirm()

    async def read_index(self) -> int:
        """Return an index; a state that has applied it contains all writes acknowledged before.

        :raises NotLeaderError: this replica does not lead
        """
        leadership = self._leadership()
        await leadership.wait_established()
        index = self.state.commit_index
        await leadership.confirm()
        return index

    async def wait_applied(self, index: int) -> None:
        """Wait until an index has been applied here.

        :raises ReplicaStateError: the replica stopped or failed
        """
        state = self.state
        await state.changed.wait_for(
            lambda: state.applied_index >= index or state.failure is not None or not state.running,
        )
        if state.applied_index < index:
            state.check_running()

    async def add_replica(self, member: Member) -> None:
        """Add a learner, which is promoted once it has caught up; returns when committed.

        :raises NotLeaderError: certainly not appended
        :raises MembershipError: identity or address is in use
        :raises MembershipPendingError: an earlier change is not committed
        :raises ProposalUnknownError: it is not known whether it will be committed
        """
        await self._change(lambda membership: membership.add(member))

    async def remove_replica(self, replica: str) -> None:
        """Remove a member; returns when committed. Errors as for :meth:`add_replica`."""
        await self._change(lambda membership: membership.remove(replica))

    async def replace_replica(self, replica: str, member: Member) -> None:
        """Remove a member and add a learner in one change, for example after a lost disk.

        Errors as for :meth:`add_replica`.
        """
        await self._change(lambda membership: membership.replace(replica, member))

    async def _change(self, change: Callable[[Membership], Membership]) -> None:
        leadership = self._leadership()
        await leadership.wait_established()
        index = leadership.change_membership(change(self.state.membership))
        await leadership.result(index)

    def _take_over(self) -> None:
        self.state.spawn(self.election.campaign(transfer=True))

    async def handle_vote(self, request: VoteRequest) -> VoteResponse:
        """Answer ``RequestVote``.

        :raises ReplicationError: the call counts as lost
        """
        return await self.state.shielded(self.receiver.vote(request))

    async def handle_append(self, request: AppendRequest) -> AppendResponse:
        """Answer ``AppendEntries``.

        :raises ReplicationError: the call counts as lost
        """
        return await self.state.shielded(self.receiver.append(request))

    async def handle_snapshot(self, chunks: AsyncIterator[SnapshotChunk]) -> SnapshotResponse:
        """Answer ``InstallSnapshot``.

        :raises ReplicationError: the call counts as lost
        """
        self.state.check_running()
        return await self.receiver.snapshot(chunks)
