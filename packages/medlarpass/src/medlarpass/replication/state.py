"""State shared by the components of a replica."""

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
# After these errors, memory and disk may differ or the log may be inconsistent.
FATAL_ERRORS = (StorageFailedError, DivergedLogError)


class ReplicaState:
    """State of a replica; accessed only from the event loop.

    ``lock`` is held while the term, the vote or a follower's log changes. A vote and an append
    therefore never interleave: the log that a vote request is compared with contains every record
    acknowledged before.

    :ivar changed: notified when an index, the role or a peer's acknowledgement changes
    :ivar leader_contact_at: clock reading at the last call from the leader, in seconds
    :ivar election_timer_started_at: clock reading at the start of the election timeout, in seconds
    """

    __slots__ = (
        "applied_index",
        "changed",
        "clock",
        "commit_index",
        "election_timer_started_at",
        "failure",
        "leader_contact_at",
        "leader_id",
        "leadership",
        "lock",
        "log",
        "membership_history",
        "role",
        "running",
        "settings",
        "snapshot_store",
        "state_machine",
        "tasks",
        "transport",
        "vote_store",
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
        self.vote_store = VoteStore(folder, settings.replica, file_system)
        self.log = LogStore(folder / "log", file_system, settings.segment_bytes)
        self.snapshot_store = SnapshotStore(folder / "snapshots", file_system)
        self.membership_history = MembershipHistory(Membership(()))
        self.role = Role.FOLLOWER
        self.leader_id: str | None = None
        self.leadership: Leadership | None = None
        self.commit_index = 0
        self.applied_index = 0
        self.leader_contact_at = float("-inf")
        self.election_timer_started_at = clock.now()
        self.lock = asyncio.Lock()
        self.changed = Notifier()
        self.failure: BaseException | None = None
        self.running = False
        self.tasks: set[asyncio.Task[Any]] = set()

    @property
    def identity(self) -> str:
        """Identity of this replica."""
        return self.vote_store.identity

    @property
    def term(self) -> int:
        """Highest term seen; durable."""
        return self.vote_store.term

    @property
    def membership(self) -> Membership:
        """Membership in force."""
        return self.membership_history.current

    @property
    def leader(self) -> Member | None:
        """The leader of the current term, if known."""
        return self.membership.find(self.leader_id)

    @property
    def leader_address(self) -> str | None:
        """Address of the leader, if known."""
        return None if self.leader is None else self.leader.address

    def leader_silence(self) -> float | None:
        """Return the seconds since the last call from a leader; None before the first."""
        if self.leader_contact_at == float("-inf"):
            return None
        return round(self.clock.now() - self.leader_contact_at, 3)

    def check_running(self) -> None:
        """Raise an error unless the replica is running.

        :raises ReplicaStateError: the replica was not started, was stopped or has failed
        """
        if not self.running or self.failure is not None:
            raise ReplicaStateError(f"the replica is not running: {self.failure or 'stopped'}")

    def spawn(
        self,
        coroutine: Coroutine[Any, Any, Result],
        *,
        background: bool = True,
    ) -> asyncio.Task[Result]:
        """Run a coroutine as a task that is cancelled when the replica stops.

        :param background: whether any error stops the replica; otherwise only fatal ones do
        """
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(lambda finished: self._on_task_done(finished, background))
        return task

    async def run_shielded(self, coroutine: Coroutine[Any, Any, Result]) -> Result:
        """Run a coroutine that continues when its caller is cancelled.

        :raises ReplicaStateError: the replica is not running or stops before the coroutine ends
        """
        if not self.running or self.failure is not None:
            coroutine.close()
            self.check_running()
        task = self.spawn(coroutine, background=False)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            # The replica was stopped; the caller itself was not cancelled.
            if task.cancelled():
                raise ReplicaStateError("the replica has stopped") from None
            raise

    def _on_task_done(self, task: asyncio.Task[Any], background: bool) -> None:
        self.tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None and (background or isinstance(error, FATAL_ERRORS)):
            self.fail(error)

    def fail(self, error: BaseException) -> None:
        """Stop participating after a fatal error; the process has to exit."""
        if self.failure is not None:
            return
        self.failure = error
        events.REPLICA_FAILED.log(identity=self.identity, error=repr(error))
        self.step_down()
        self.changed.notify()

    def record_leader_contact(self, leader: str) -> None:
        """Record a call from the leader of the current term."""
        if self.role is Role.LEADER:
            raise DivergedLogError(f"{leader} also claims to be the leader of term {self.term}")
        self.role = Role.FOLLOWER
        self.leader_contact_at = self.election_timer_started_at = self.clock.now()
        if self.leader_id != leader:
            self.leader_id = leader
            self.changed.notify()

    def step_down(self) -> None:
        """Become a follower; uncommitted proposals fail with an unknown result."""
        leadership, self.leadership = self.leadership, None
        if self.role is Role.LEADER:
            events.LEADER_STEPPED_DOWN.log(identity=self.identity, term=self.term)
            self.leader_id = None
            self.election_timer_started_at = self.clock.now()
        self.role = Role.FOLLOWER
        if leadership is not None:
            leadership.close()
        self.changed.notify()

    async def save_vote(self, term: int, vote: str | None) -> None:
        """Store term and vote; ``lock`` must be held.

        A leader of an older term steps down first, so that it cannot act as leader while the
        newer term is being written.
        """
        if term > self.term:
            self.step_down()
            self.leader_id = None
        await asyncio.to_thread(self.vote_store.save, term, vote)

    async def observe_term(self, term: int) -> None:
        """Adopt a newer term found in a response."""
        async with self.lock:
            if term > self.term:
                await self.save_vote(term, None)

    def commit(self, index: int) -> None:
        """Advance the commit index."""
        if index > self.commit_index:
            self.commit_index = index
            self.changed.notify()
