"""Guards against a second vote in a term and against partial snapshots after a crash."""

from __future__ import annotations

from pathlib import Path

import pytest

from medlarpass.replication import DamagedSnapshotError
from medlarpass.replication import DamagedVoteError
from medlarpass.replication import Member
from medlarpass.replication import Membership
from medlarpass.replication import MembershipError
from medlarpass.replication import ReplicaStateError
from medlarpass.replication import Snapshot
from medlarpass.replication import SnapshotStore
from medlarpass.replication import StorageFailedError
from medlarpass.replication import VoteStore
from packages.medlarpass.tests.replication.memory_file_system import CrashMode
from packages.medlarpass.tests.replication.memory_file_system import MemoryFileSystem

FOLDER = Path("/data")
MEMBERS = Membership([Member("a", "1:1", "x"), Member("b", "1:2", "y"), Member("c", "1:3", "z")])


def open_vote_store(file_system: MemoryFileSystem, replica: str = "a") -> VoteStore:
    votes = VoteStore(FOLDER, replica, file_system)
    votes.open()
    return votes


def bootstrap_vote_store(file_system: MemoryFileSystem) -> VoteStore:
    VoteStore(FOLDER, "a", file_system).bootstrap(MEMBERS)
    return open_vote_store(file_system)


@pytest.mark.parametrize("mode", CrashMode)
def test_vote_survives_a_crash_after_every_operation(mode: CrashMode) -> None:
    crash_after = 0
    stopped = True
    while stopped:
        stopped = False
        file_system = MemoryFileSystem()
        file_system.stop_after = crash_after
        saved: list[tuple[int, str | None]] = []
        in_progress: tuple[int, str | None] = (0, None)
        try:
            votes = bootstrap_vote_store(file_system)
            saved.append(in_progress)
            for term in range(1, 4):
                in_progress = (term, "b")
                votes.save(*in_progress)
                saved.append(in_progress)
        except StorageFailedError:
            stopped = True
        file_system = file_system.crash(mode)
        votes = open_vote_store(file_system)
        if saved:
            assert (votes.term, votes.vote) in (saved[-1], in_progress), crash_after
        votes.save(9, "c")
        file_system = file_system.crash(CrashMode.LOST)
        assert (open_vote_store(file_system).term, open_vote_store(file_system).vote) == (9, "c")
        assert votes.identity == "a" or not votes.initial_membership.members
        crash_after += 1


def test_empty_folder_gets_a_new_identity_and_no_members() -> None:
    votes = open_vote_store(MemoryFileSystem())
    assert votes.identity.startswith("a-")
    assert votes.initial_membership == Membership(())
    assert open_vote_store(MemoryFileSystem()).identity != votes.identity


@pytest.mark.parametrize("lost", [False, True], ids=["foreign", "vote file lost"])
def test_foreign_folder_never_votes_under_the_old_identity(lost: bool) -> None:
    file_system = MemoryFileSystem()
    bootstrap_vote_store(file_system).save(7, "c")
    SnapshotStore(FOLDER / "snapshots", file_system).save(Snapshot(3, 1, MEMBERS, b"state"))
    if lost:
        file_system.remove(FOLDER / "vote")
    votes = open_vote_store(file_system, replica="a" if lost else "b")
    assert votes.identity not in MEMBERS.voters
    assert (votes.term, votes.vote, votes.initial_membership) == (0, None, Membership(()))
    assert SnapshotStore(FOLDER / "snapshots", file_system).open() is None
    assert any(name.startswith("snapshots.foreign-") for name in file_system.list_names(FOLDER))


def test_bootstrap_refuses_a_folder_in_use() -> None:
    file_system = MemoryFileSystem()
    open_vote_store(file_system)
    with pytest.raises(ReplicaStateError):
        VoteStore(FOLDER, "a", file_system).bootstrap(MEMBERS)


def test_damaged_vote_stops_the_start() -> None:
    file_system = MemoryFileSystem()
    bootstrap_vote_store(file_system)
    file_system.names[FOLDER / "vote"].content = b"00000000\n{}"
    with pytest.raises(DamagedVoteError):
        open_vote_store(file_system)


def test_vote_store_refuses_calls_after_a_failed_fsync() -> None:
    file_system = MemoryFileSystem()
    votes = bootstrap_vote_store(file_system)
    file_system.fsync_fails = True
    with pytest.raises(StorageFailedError):
        votes.save(1, "a")
    file_system.fsync_fails = False
    with pytest.raises(StorageFailedError):
        votes.save(1, "b")
    assert (votes.term, votes.vote) == (0, None)


def snapshot(index: int) -> Snapshot:
    return Snapshot(index, 1, MEMBERS, b"state %d" % index * 20)


@pytest.mark.parametrize("mode", CrashMode)
def test_snapshot_survives_a_crash_after_every_operation(mode: CrashMode) -> None:
    crash_after = 0
    stopped = True
    while stopped:
        stopped = False
        file_system = MemoryFileSystem()
        file_system.stop_after = crash_after
        saved = in_progress = 0
        try:
            store = SnapshotStore(FOLDER, file_system)
            store.open()
            for in_progress in (10, 20, 30):
                store.save(snapshot(in_progress))
                saved = in_progress
        except StorageFailedError:
            stopped = True
        found = SnapshotStore(FOLDER, file_system.crash(mode)).open()
        allowed = [None if index == 0 else snapshot(index) for index in (saved, in_progress)]
        assert found in allowed, crash_after
        crash_after += 1


def test_only_damaged_snapshots_stop_the_start() -> None:
    file_system = MemoryFileSystem()
    store = SnapshotStore(FOLDER, file_system)
    store.save(snapshot(10))
    path = next(iter(file_system.names))
    file_system.names[path].content = file_system.read(path)[:-1]
    with pytest.raises(DamagedSnapshotError):
        SnapshotStore(FOLDER, file_system).open()


def test_membership_changes_one_voter_at_a_time() -> None:
    learner = Member("d", "1:4", "x")
    assert MEMBERS.add(learner).voters == MEMBERS.voters
    assert MEMBERS.add(learner).promote("d").voters == {"a", "b", "c", "d"}
    assert MEMBERS.replace("c", Member("e", "1:3", "z")).voters == {"a", "b"}
    assert Membership.decode(MEMBERS.add(learner).encode()) == MEMBERS.add(learner)


@pytest.mark.parametrize(
    "member", [Member("a", "1:9", "x"), Member("d", "1:1", "x")], ids=["identity", "address"]
)
def test_two_members_cannot_share_identity_or_address(member: Member) -> None:
    with pytest.raises(MembershipError):
        MEMBERS.add(member)


def test_last_voter_cannot_be_removed() -> None:
    with pytest.raises(MembershipError):
        Membership([Member("a", "1:1", "x")]).remove("a")
