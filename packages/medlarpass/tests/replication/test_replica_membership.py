"""Guards against a second vote after a disk loss and membership changes that lose the majority."""

from __future__ import annotations

import asyncio

import pytest

from medlarpass.replication import Member
from medlarpass.replication import MembershipError
from medlarpass.replication import MembershipPendingError
from medlarpass.replication import WrongReceiverError
from medlarpass.rpc.replication_pb2 import AppendRequest
from medlarpass.rpc.replication_pb2 import VoteRequest
from packages.medlarpass.tests.replication.memory_file_system import CrashMode
from packages.medlarpass.tests.replication.replica_cluster import Cluster


async def test_added_replica_is_promoted_once_it_has_caught_up() -> None:
    async with Cluster(3, snapshot_threshold=20, snapshot_trailing=2) as cluster:
        for _ in range(50):
            await cluster.propose()
        new = await cluster.add_node("new")
        leader = (await cluster.leader(of=cluster.nodes[:3])).replica
        identity = new.replica.identity
        cluster.network.isolate(new.member.address)
        await leader.add_replica(Member(identity, new.member.address, "domain"))
        await cluster.propose(of=cluster.nodes[:3])
        assert leader.membership.learners == {identity}
        cluster.network.heal()
        await cluster.wait(lambda: identity in leader.membership.voters, "promotion")
        await cluster.check()
        await cluster.wait(lambda: identity in new.replica.membership.voters)


async def test_replica_without_membership_starts_no_election() -> None:
    async with Cluster(1) as cluster:
        new = await cluster.add_node("new")
        for _ in range(20):
            await cluster.propose(of=cluster.nodes[:1])
        await asyncio.sleep(2 * new.settings.election_timeout_max)
        assert new.replica.term == 0
        assert not new.replica.is_leader


async def test_removed_replica_and_removed_leader() -> None:
    async with Cluster(5) as cluster:
        leader = await cluster.leader()
        follower = next(node for node in cluster.nodes if node is not leader)
        await leader.replica.remove_replica(follower.member.replica)
        await follower.kill()
        leader = await cluster.leader()
        await leader.replica.remove_replica(leader.member.replica)
        await cluster.wait(lambda: not leader.replica.is_leader, "removed leader steps down")
        await leader.kill()
        new = await cluster.leader()
        assert len(new.replica.membership.voters) == 3
        await cluster.check()


async def test_replica_with_a_lost_disk_joins_under_a_new_identity() -> None:
    async with Cluster(3) as cluster:
        await cluster.propose()
        leader = await cluster.leader()
        lost = next(node for node in cluster.nodes if node is not leader)
        await lost.kill()
        await lost.restart_empty()
        replica = lost.replica
        assert replica.identity.startswith(f"{lost.settings.replica}-")
        old = lost.settings.replica
        with pytest.raises(WrongReceiverError):
            await replica.handle_vote(VoteRequest(term=99, candidate="r9", receiver=old))
        with pytest.raises(WrongReceiverError):
            await replica.handle_append(AppendRequest(term=99, leader="r9", receiver=old))
        assert replica.term == 0
        leader = await cluster.leader()
        member = Member(replica.identity, lost.member.address, "domain")
        with pytest.raises(MembershipError, match="address"):
            await leader.replica.add_replica(member)
        await leader.replica.replace_replica(old, member)
        await cluster.wait(lambda: replica.identity in leader.replica.membership.voters)
        assert old not in leader.replica.membership.voters
        await cluster.check()
        # A restart must recover the membership from the log.
        await lost.kill()
        await lost.restart(CrashMode.LOST)
        assert lost.replica.identity == member.replica
        assert lost.replica.membership.find(member.replica) is not None
        await cluster.check()


async def test_one_change_at_a_time() -> None:
    async with Cluster(3, election_timeout_min=60, election_timeout_max=120) as cluster:
        await cluster.nodes[0].replica.election.campaign()
        leader = (await cluster.leader()).replica
        cluster.network.isolate(cluster.nodes[0].member.address)
        first = asyncio.create_task(leader.add_replica(Member("a", "a:1", "domain")))
        await cluster.wait(lambda: "a" in leader.membership.learners)
        with pytest.raises(MembershipPendingError):
            await leader.add_replica(Member("b", "b:1", "domain"))
        cluster.network.heal()
        await first
        await leader.add_replica(Member("b", "b:1", "domain"))
        assert leader.membership.learners == {"a", "b"}


async def test_truncated_membership_change_is_reverted() -> None:
    async with Cluster(3) as cluster:
        old = await cluster.leader()
        cluster.network.isolate(old.member.address)
        change = asyncio.create_task(old.replica.add_replica(Member("a", "a:1", "domain")))
        await cluster.wait(lambda: "a" in old.replica.membership.learners)
        await cluster.propose(of=[node for node in cluster.nodes if node is not old])
        cluster.network.heal()
        await asyncio.gather(change, return_exceptions=True)
        await cluster.check()
        assert old.replica.membership.learners == frozenset()
