"""State that the parts of a replica share."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar

from medlarpass.replication import events
from medlarpass.replication.exceptions import DivergedLogError
from medlarpass.replication.exceptions import ReplicaStateError
from medlarpass.replication.exceptions import StorageFailedError
from medlarpass.replication.log_store import LogStore
from medlarpass.replication.membership import Member
from medlarpass.replication.membership import Membership
from medlarpass.replication.membership import MembershipHistory
from medlarpass.replication.notifier import Notifier
from medlarpass.replication.role import Role
from medlarpass.replication.snapshot_store import SnapshotStore
from medlarpass.replication.vote_store import VoteStore

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from medlarpass.clock import Clock
    from medlarpass.replication.file_system import FileSystem
    from medlarpass.replication.leadership import Leadership
    from medlarpass.replication.protocols import StateMachine
    from medlarpass.replication.protocols import Transport
    from medlarpass.replication.settings import ReplicationSettings

Result = TypeVar("Result")
# Errors after which memory and disk may differ or the log is not trustworthy.
FATAL = (StorageFailedError, DivergedLogError)


class ReplicaState:
    """State of a replica, owned by the event loop.

    ``lock`` is held while the term, the vote or the log of a follower changes. A vote and an
    append thus never interleave: an acknowledged record is always part of the log that a later
    vote is compared with.

    :ivar changed: notified when any of the indexes, the role or the acknowledgements change
    :ivar leader_seen_at: clock reading of the last call from the leader, in seconds
    :ivar quiet_since: start of the present election timeout, in seconds
    """

    __slots__ = (
        "applied_index",
        "changed",
        "clock",
        "commit_index",
        "failure",
        "history",
        "leader_id",
        "leader_seen_at",
        "leadership",
        "lock",
        "log",
        "quiet_since",
        "role",
        "running",
        "settings",
        "snapshots",
        "state_machine",
        "tasks",
        "transport",
        "votes",
    )

    def __init__(
        self,
        settings: ReplicationSettings,
        state_machine: StateMachine,
        transport: Transport,
        clock: Clock,
        file_system: FileSystem,
    ) -> None:
        self.settings = settings
        self.state_machine = state_machine
        self.transport = transport
        self.clock = clock
        folder = settings.data_folder
        self.votes = VoteStore(folder, settings.replica, file_system)
        self.log = LogStore(folder / "log", file_system, settings.segment_bytes)
        self.snapshots = SnapshotStore(folder / "snapshots", file_system)
        self.history = MembershipHistory(Membership(()))
        self.role = Role.FOLLOWER
        self.leader_id: str | None = None
        self.leadership: Leadership | None = None
        self.commit_index = 0
        self.applied_index = 0
        self.leader_seen_at = float("-inf")
        self.quiet_since = clock.now()
        self.lock = asyncio.Lock()
        self.changed = Notifier()
        self.failure: BaseException | None = None
        self.running = False
        self.tasks: set[asyncio.Task[Any]] = set()

    @property
    def identity(self) -> str:
        """Identity of this replica."""
        return self.votes.identity

    @property
    def term(self) -> int:
        """Newest term seen, durable."""
        return self.votes.term

    @property
    def membership(self) -> Membership:
        """Membership in force."""
        return self.history.current

    @property
    def leader(self) -> Member | None:
        """The known leader of the present term."""
        return self.membership.find(self.leader_id)

    @property
    def leader_address(self) -> str | None:
        """Address of the known leader."""
        return None if self.leader is None else self.leader.address

    def check_running(self) -> None:
        """Refuse a call to a replica that is not running.

        :raises ReplicaStateError: not started, stopped or failed
        """
        if not self.running or self.failure is not None:
            raise ReplicaStateError(f"the replica is not running: {self.failure or 'stopped'}")

    def spawn(
        self,
        work: Coroutine[Any, Any, Result],
        *,
        background: bool = True,
    ) -> asyncio.Task[Result]:
        """Run work until the replica stops.

        :param background: whether any error ends the replica; otherwise only fatal ones do
        """
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(lambda done: self._finish(done, background))
        return task

    async def shielded(self, work: Coroutine[Any, Any, Result]) -> Result:
        """Run work that a caller who gives up must not interrupt.

        :raises ReplicaStateError: the replica is not running or stops meanwhile
        """
        if not self.running or self.failure is not None:
            work.close()
            self.check_running()
        task = self.spawn(work, background=False)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            # The end of this replica is no cancellation of the caller.
            if task.cancelled():
                raise ReplicaStateError("the replica has stopped") from None
            raise

    def _finish(self, task: asyncio.Task[Any], background: bool) -> None:
        self.tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None and (background or isinstance(error, FATAL)):
            self.fail(error)

    def fail(self, error: BaseException) -> None:
        """Stop taking part; the process has to end."""
        if self.failure is not None:
            return
        self.failure = error
        events.REPLICA_FAILED.log(identity=self.identity, error=repr(error))
        self.step_down()
        self.changed.notify()

    def touch_leader(self, leader: str) -> None:
        """Note a call from the leader of the present term."""
        if self.role is Role.LEADER:
            raise DivergedLogError(f"{leader} claims to lead term {self.term} too")
        self.role = Role.FOLLOWER
        self.leader_seen_at = self.quiet_since = self.clock.now()
        if self.leader_id != leader:
            self.leader_id = leader
            self.changed.notify()

    def step_down(self) -> None:
        """Become a follower; proposals that are not committed get an unknown result."""
        leadership, self.leadership = self.leadership, None
        if self.role is Role.LEADER:
            events.LEADER_STEPPED_DOWN.log(identity=self.identity, term=self.term)
            self.leader_id = None
            self.quiet_since = self.clock.now()
        self.role = Role.FOLLOWER
        if leadership is not None:
            leadership.close()
        self.changed.notify()

    async def save_vote(self, term: int, vote: str | None) -> None:
        """Store term and vote; ``lock`` must be held.

        The leader of an older term steps down before, so that it cannot act while a vote
        against it is being written.
        """
        if term > self.term:
            self.step_down()
            self.leader_id = None
        await asyncio.to_thread(self.votes.save, term, vote)

    async def observe_term(self, term: int) -> None:
        """Adopt a newer term found in an answer."""
        async with self.lock:
            if term > self.term:
                await self.save_vote(term, None)

    def commit(self, index: int) -> None:
        """Raise the commit index."""
        if index > self.commit_index:
            self.commit_index = index
            self.changed.notify()
