"""Guards against two leaders, needless elections and reads from a deposed leader."""

from __future__ import annotations

import asyncio

from typing import cast

import pytest

from medlarpass import ManualClock
from medlarpass.replication import NotLeaderError
from medlarpass.replication import ProposalUnknownError
from medlarpass.replication import WrongReceiverError
from medlarpass.rpc.replication_pb2 import VoteRequest
from packages.medlarpass.tests.replication.replica_cluster import Cluster


@pytest.mark.parametrize("size", [1, 3, 5])
async def test_one_leader_is_elected(size: int) -> None:
    async with Cluster(size) as cluster:
        leader = await cluster.leader()
        assert leader.replica.elected_at is not None
        await cluster.check()
        await cluster.wait(
            lambda: all(node.replica.leader == leader.member for node in cluster.nodes)
        )


async def test_returning_replica_does_not_depose_the_leader() -> None:
    async with Cluster(3, clock=ManualClock) as cluster:
        await cluster.nodes[0].replica.election.campaign()
        leader = await cluster.leader()
        assert leader is cluster.nodes[0]
        await cluster.wait(lambda: all(n.replica.term == 1 for n in cluster.nodes))
        isolated = cluster.nodes[2]
        cluster.network.isolate(isolated.member.address)
        cast("ManualClock", isolated.clock).advance(100)
        for _ in range(3):
            await isolated.replica.election.campaign()
        assert isolated.replica.term == 1
        cluster.network.heal()
        await isolated.replica.election.campaign()
        assert [node.replica.term for node in cluster.nodes] == [1, 1, 1]
        assert leader.replica.is_leader


async def test_a_paused_replica_reads_the_calls_of_the_leader_before_it_campaigns() -> None:
    """Guards against elections started by replicas that did not run while the leader called.

    Followers that were short of processor time found their timeouts expired before they read the
    leader's calls from their connections.
    """
    async with Cluster(3, clock=ManualClock) as cluster:
        await cluster.nodes[0].replica.election.campaign()
        await cluster.wait(lambda: all(n.replica.term == 1 for n in cluster.nodes))
        paused = cluster.nodes[2]
        state = paused.replica.state
        paused_at = state.clock.now()
        cast("ManualClock", paused.clock).advance(100)
        waiting = asyncio.create_task(
            paused.replica.election._wait_for_timeout(state.settings.election_timeout_min)
        )
        await cluster.wait(lambda: state.leader_contact_at > paused_at, "call of the leader")
        assert not waiting.done()
        waiting.cancel()


async def test_a_replica_that_is_always_late_campaigns() -> None:
    """Guards against a cluster of slow replicas that never elects a leader."""
    async with Cluster(1, clock=ManualClock) as cluster:
        replica = cluster.nodes[0].replica
        waiting = asyncio.create_task(replica.election._wait_for_timeout(0.5))
        while not waiting.done():
            cast("ManualClock", cluster.nodes[0].clock).advance(10)
            await asyncio.sleep(0.01)


async def test_leader_in_a_minority_steps_down() -> None:
    async with Cluster(5) as cluster:
        old_leader = await cluster.leader()
        cluster.network.isolate(old_leader.member.address)
        pending = asyncio.create_task(old_leader.replica.propose(b"lost"))
        others = [node for node in cluster.nodes if node is not old_leader]
        await cluster.leader(of=others)
        await cluster.wait(lambda: not old_leader.replica.is_leader, "step-down")
        with pytest.raises(ProposalUnknownError):
            await pending
        with pytest.raises(NotLeaderError):
            await old_leader.replica.propose(b"refused")
        await cluster.propose(of=others)
        cluster.network.heal()
        await cluster.check()
        assert "lost" not in old_leader.state_machine.applied


async def test_confirmation_needs_a_majority_after_the_call() -> None:
    async with Cluster(3, clock=ManualClock) as cluster:
        await cluster.nodes[0].replica.election.campaign()
        leader = (await cluster.leader()).replica
        await leader.confirm_leadership()
        assert await leader.read_index() == leader.commit_index
        cluster.network.isolate(cluster.nodes[0].member.address)
        confirmation = asyncio.create_task(leader.confirm_leadership())
        reading = asyncio.create_task(leader.read_index())
        # Responses to calls made before the partition must not count as confirmation.
        await asyncio.sleep(0.1)
        assert not confirmation.done()
        assert not reading.done()
        cast("ManualClock", cluster.nodes[0].clock).advance(100)
        for waiting in (confirmation, reading):
            with pytest.raises(NotLeaderError):
                await waiting


async def test_graceful_stop_transfers_leadership() -> None:
    async with Cluster(3, clock=ManualClock) as cluster:
        await cluster.nodes[0].replica.election.campaign()
        old_leader = await cluster.leader()
        await cluster.propose()
        await old_leader.replica.stop(transfer_leadership=True)
        old_leader.running = False
        # The clocks do not advance, so only a leadership transfer can cause an election.
        new = await cluster.leader()
        assert new is not old_leader
        assert new.replica.term == 2
        await cluster.propose()


async def test_proposals_during_a_graceful_stop_complete_or_are_refused() -> None:
    async with Cluster(3) as cluster:
        old_leader = await cluster.leader()
        pending = [asyncio.create_task(old_leader.replica.propose(b"%d" % n)) for n in range(50)]
        await asyncio.sleep(0)
        await old_leader.replica.stop(transfer_leadership=True)
        old_leader.running = False
        assert [await task for task in pending] == [b"result of %d" % n for n in range(50)]
        with pytest.raises(NotLeaderError):
            await old_leader.replica.propose(b"late")


async def test_proposal_during_a_transfer_is_refused() -> None:
    async with Cluster(3, clock=ManualClock, transfer_timeout=0.2) as cluster:
        await cluster.nodes[0].replica.election.campaign()
        leader = await cluster.leader()
        cluster.network.isolate(leader.member.address)
        pending = asyncio.create_task(leader.replica.propose(b"keeps the transfer waiting"))
        stop = asyncio.create_task(leader.replica.stop(transfer_leadership=True))
        await asyncio.sleep(0)
        assert leader.replica.is_leader
        with pytest.raises(NotLeaderError):
            await leader.replica.propose(b"refused")
        await stop
        leader.running = False
        with pytest.raises(ProposalUnknownError):
            await pending


async def test_vote_survives_a_restart() -> None:
    async with Cluster(3, clock=ManualClock) as cluster:
        voter = cluster.nodes[1]
        request = VoteRequest(term=9, candidate="r2", receiver="r1")
        assert (await voter.replica.handle_vote(request)).granted
        await voter.kill()
        await voter.restart()
        assert voter.replica.term == 9
        request.candidate = "r0"
        assert not (await voter.replica.handle_vote(request)).granted


@pytest.mark.parametrize("pre_vote", [False, True])
async def test_vote_is_refused_for_a_shorter_log_or_another_identity(pre_vote: bool) -> None:
    async with Cluster(3, clock=ManualClock) as cluster:
        voter = cluster.nodes[1].replica
        await cluster.nodes[0].replica.election.campaign()
        await cluster.propose()
        await cluster.wait(lambda: voter.commit_index > 0)
        cast("ManualClock", cluster.nodes[1].clock).advance(100)
        cluster.network.isolate(cluster.nodes[1].member.address)
        request = VoteRequest(
            term=9, candidate="r2", receiver="r1", last_term=1, last_index=1, pre_vote=pre_vote
        )
        assert not (await voter.handle_vote(request)).granted
        request.last_index = voter.last_index
        request.receiver = "r0"
        with pytest.raises(WrongReceiverError):
            await voter.handle_vote(request)
        request.receiver = "r1"
        assert (await voter.handle_vote(request)).granted
        request.candidate = "r0"
        assert (await voter.handle_vote(request)).granted is pre_vote
