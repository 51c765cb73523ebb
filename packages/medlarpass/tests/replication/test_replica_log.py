"""Guards against the loss, repetition and reordering of acknowledged records."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING
from typing import cast

import google_crc32c
import pytest

from medlarpass import ManualClock
from medlarpass.replication import Member
from medlarpass.replication import NotLeaderError
from medlarpass.replication import ProposalTooLargeError
from medlarpass.replication import ProposalUnknownError
from medlarpass.replication import SnapshotTransferError
from medlarpass.replication import StorageFailedError
from medlarpass.rpc.replication_pb2 import AppendRequest
from medlarpass.rpc.replication_pb2 import LogEntry
from medlarpass.rpc.replication_pb2 import SnapshotChunk
from packages.medlarpass.tests.replication.memory_file_system import CrashMode
from packages.medlarpass.tests.replication.replica_cluster import Cluster
from packages.medlarpass.tests.replication.replica_cluster import Node

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


async def test_lost_repeated_and_reordered_calls() -> None:
    async with Cluster(3) as cluster:
        await cluster.propose()
        cluster.network.loss_ratio = 0.1
        cluster.network.duplicate_ratio = 0.3
        cluster.network.max_delay_seconds = 0.02
        for _ in range(40):
            await cluster.propose()
        cluster.network.heal()
        await cluster.check()


async def test_nothing_is_acknowledged_before_a_majority_has_synced() -> None:
    async with Cluster(3, election_timeout_min=60, election_timeout_max=120) as cluster:
        await cluster.nodes[0].replica.election.campaign()
        leader = await cluster.leader()
        await cluster.propose()
        followers = [node for node in cluster.nodes if node is not leader]
        await cluster.wait(
            lambda: all(n.replica.last_index == leader.replica.last_index for n in followers)
        )
        for node in followers:
            node.file_system.fsync_gate.clear()
        before = leader.replica.commit_index
        pending = asyncio.create_task(leader.replica.propose(b"waits"))
        await cluster.wait(
            lambda: all(n.replica.last_index == leader.replica.last_index for n in followers),
            "records received",
        )
        assert leader.replica.state.log.durable_index >= before
        assert not pending.done()
        assert leader.replica.commit_index == before
        followers[0].file_system.fsync_gate.set()
        assert await pending == b"result of waits"
        followers[1].file_system.fsync_gate.set()


async def test_leader_counts_itself_only_after_its_own_fsync() -> None:
    async with Cluster(3, clock=ManualClock) as cluster:
        await cluster.nodes[0].replica.election.campaign()
        leader = await cluster.leader()
        cluster.network.isolate(cluster.nodes[2].member.address)
        leader.file_system.fsync_gate.clear()
        pending = asyncio.create_task(leader.replica.propose(b"waits"))
        leadership = leader.replica.state.leadership
        assert leadership is not None
        await cluster.wait(lambda: leadership.peers["r1"].match_index == 2)
        assert leader.replica.commit_index == 1
        leader.file_system.fsync_gate.set()
        assert await pending == b"result of waits"


async def test_record_of_an_older_term_is_not_committed_by_counting_replicas() -> None:
    async with Cluster(3, clock=ManualClock) as cluster:
        node = cluster.nodes[0]
        await node.replica.election.campaign()
        await cluster.leader()
        cluster.network.isolate(node.member.address)
        pending = asyncio.create_task(node.replica.propose(b"older"))
        await cluster.wait(lambda: node.replica.last_index == 2)
        node.replica.state.step_down()
        await asyncio.gather(pending, return_exceptions=True)
        cluster.network.heal()
        for other in cluster.nodes:
            cast("ManualClock", other.clock).advance(100)
        await node.replica.election.campaign()
        cluster.network.isolate(node.member.address)
        leadership = node.replica.state.leadership
        assert leadership is not None
        leadership.peers["r1"].match_index = 2
        leadership.advance_commit()
        assert node.replica.commit_index == 1


async def test_follower_commits_only_what_the_leader_has_checked() -> None:
    async with Cluster(3, clock=ManualClock) as cluster:
        follower = cluster.nodes[1].replica
        request = AppendRequest(term=1, leader="r0", receiver="r1")
        request.entries.extend(LogEntry(index=index, term=1) for index in (1, 2, 3))
        assert (await follower.handle_append(request)).match_index == 3
        # Records 2 and 3 were not compared with those of the new leader and may differ.
        request = AppendRequest(
            term=2, leader="r2", receiver="r1", previous_index=1, previous_term=1, commit_index=3
        )
        assert (await follower.handle_append(request)).success
        assert follower.commit_index == 1


async def test_damaged_snapshot_chunk_is_refused() -> None:
    async def chunks() -> AsyncIterator[SnapshotChunk]:
        yield SnapshotChunk(
            term=1, leader="r0", receiver="r1", last_index=9, data=b"[]", done=True, crc32c=1
        )

    async with Cluster(3, clock=ManualClock) as cluster:
        with pytest.raises(SnapshotTransferError):
            await cluster.nodes[1].replica.handle_snapshot(chunks())
        assert cluster.nodes[1].replica.commit_index == 0


async def snapshot_chunks() -> AsyncIterator[SnapshotChunk]:
    data = b'["a", "b"]'
    yield SnapshotChunk(
        term=2,
        leader="r2",
        receiver="r1",
        last_index=3,
        last_term=2,
        data=data,
        done=True,
        crc32c=google_crc32c.value(data),
    )


@pytest.mark.parametrize("mode", CrashMode)
async def test_crash_at_each_step_of_a_snapshot_installation(mode: CrashMode) -> None:
    installed = False
    operations = 0
    while not installed:
        # Each record fills a segment, and all of them conflict with the snapshot.
        async with Cluster(3, clock=ManualClock, segment_bytes=1) as cluster:
            node = cluster.nodes[1]
            for index in range(1, 6):
                request = AppendRequest(
                    term=1, leader="r0", receiver="r1", previous_index=index - 1
                )
                request.previous_term = min(index - 1, 1)
                request.entries.add(index=index, term=1)
                assert (await node.replica.handle_append(request)).success
            node.file_system.stop_after = node.file_system.operations + operations
            try:
                installed = (await node.replica.handle_snapshot(snapshot_chunks())).installed
            except StorageFailedError:
                await node.replica.wait_failed()
            await node.kill()
            await node.restart(mode)
            replica = node.replica
            if replica.applied_index == 3:
                assert node.state_machine.applied == ["a", "b"]
                assert (replica.last_index, replica.state.log.last_term) == (3, 2)
            else:
                assert not installed
                assert (replica.applied_index, replica.last_index) == (0, 5)
            operations += 1
    assert operations > 15


async def propose_until_failure(cluster: Cluster, node: Node, count: int) -> None:
    for _ in range(count):
        cluster.proposed += 1
        payload = f"p{cluster.proposed}"
        try:
            await node.replica.propose(payload.encode())
        except (NotLeaderError, ProposalUnknownError, StorageFailedError):
            return
        cluster.acknowledged.append(payload)


@pytest.mark.parametrize("mode", CrashMode)
@pytest.mark.parametrize("victim", ["leader", "follower", "all"])
async def test_crash_at_each_step_of_an_append(victim: str, mode: CrashMode) -> None:
    async with Cluster(3, segment_bytes=100) as cluster:
        # Two appends take about 6 file operations on each replica.
        for operations in range(8):
            leader = await cluster.leader()
            chosen = {
                "leader": [leader],
                "follower": [next(n for n in cluster.nodes if n is not leader)],
                "all": cluster.nodes,
            }[victim]
            for node in chosen:
                node.file_system.stop_after = node.file_system.operations + operations
            proposals = asyncio.create_task(propose_until_failure(cluster, leader, 3))
            if victim == "follower":
                await proposals
            for node in chosen:
                await node.replica.wait_failed() if victim == "leader" else None
                await node.kill()
            await proposals
            for node in chosen:
                await node.restart(mode)
            await cluster.check()


async def test_two_of_five_are_lost_with_their_disks() -> None:
    async with Cluster(5) as cluster:
        for _ in range(5):
            await cluster.propose()
        leader = await cluster.leader()
        follower = next(node for node in cluster.nodes if node is not leader)
        await asyncio.gather(leader.kill(), follower.kill())
        await cluster.check()


@pytest.mark.parametrize("promoted", [False, True])
async def test_second_replica_is_lost_right_after_a_repair(promoted: bool) -> None:
    async with Cluster(5) as cluster:
        await cluster.propose()
        leader = await cluster.leader()
        lost, *others = [node for node in cluster.nodes if node is not leader]
        await lost.kill()
        await cluster.propose()
        await lost.restart_empty()
        member = Member(lost.replica.identity, lost.member.address, "domain")
        leader = await cluster.leader()
        await leader.replica.replace_replica(lost.settings.replica, member)
        if not promoted:
            # Four voters remain, so the loss of one leaves a majority.
            await leader.kill()
            await cluster.check()
            return
        await cluster.wait(
            lambda: lost.replica.identity in leader.replica.membership.voters
            and leader.replica.commit_index >= leader.replica.state.membership_history.index,
            "promotion",
        )
        await asyncio.gather(leader.kill(), others[0].kill())
        await cluster.check()


@pytest.mark.parametrize("threshold", [10_000, 50], ids=["log", "snapshot"])
async def test_replica_returns_after_500_records(threshold: int) -> None:
    async with Cluster(3, snapshot_threshold=threshold, snapshot_trailing=10) as cluster:
        leader = await cluster.leader()
        lagging = next(node for node in cluster.nodes if node is not leader)
        await cluster.propose()
        await lagging.kill()
        for _ in range(10):
            await asyncio.gather(*(cluster.propose() for _ in range(50)))
        await lagging.restart()
        await cluster.check()
        assert (lagging.state_machine.restored > 0) is (threshold == 50)
        # A restart must recover the same state from the snapshot and the log.
        await lagging.kill()
        await lagging.restart(CrashMode.KILLED)
        await cluster.check()


async def test_interrupted_snapshot_transfer_starts_again() -> None:
    async with Cluster(
        3, snapshot_threshold=20, snapshot_trailing=2, snapshot_chunk_bytes=16
    ) as cluster:
        leader = await cluster.leader()
        lagging = next(node for node in cluster.nodes if node is not leader)
        await lagging.kill()
        for _ in range(60):
            await cluster.propose()
        cluster.network.snapshot_chunk_limit = 3
        await lagging.restart()
        await cluster.propose()
        assert lagging.state_machine.restored == 0
        cluster.network.snapshot_chunk_limit = None
        await cluster.check()
        assert lagging.state_machine.restored == 1


async def test_truncated_records_of_a_deposed_leader() -> None:
    async with Cluster(3) as cluster:
        old_leader = await cluster.leader()
        await cluster.propose()
        cluster.network.isolate(old_leader.member.address)
        pending = [asyncio.create_task(old_leader.replica.propose(b"x%d" % n)) for n in range(5)]
        others = [node for node in cluster.nodes if node is not old_leader]
        for _ in range(3):
            await cluster.propose(of=others)
        cluster.network.heal()
        results = await asyncio.gather(*pending, return_exceptions=True)
        assert all(isinstance(result, ProposalUnknownError) for result in results)
        await cluster.check()
        assert not any(payload.startswith("x") for payload in old_leader.state_machine.applied)


async def test_failed_fsync_ends_the_replica() -> None:
    async with Cluster(3) as cluster:
        leader = await cluster.leader()
        leader.file_system.fsync_fails = True
        with pytest.raises((ProposalUnknownError, StorageFailedError)):
            await leader.replica.propose(b"x")
        assert isinstance(await leader.replica.wait_failed(), StorageFailedError)
        assert not leader.replica.is_leader
        await leader.kill()
        await cluster.check()


async def test_payload_above_the_limit_is_not_appended() -> None:
    async with Cluster(1, payload_max_bytes=10) as cluster:
        leader = await cluster.leader()
        before = leader.replica.last_index
        with pytest.raises(ProposalTooLargeError):
            await leader.replica.propose(b"x" * 11)
        assert leader.replica.last_index == before
