"""Guards against two failure domains that hold the same shard at once."""

from __future__ import annotations

import pytest

from medlarpass import ManualClock
from medlarpass.control import ControlState
from medlarpass.replication import NotLeaderError
from medlarpass.rpc import control_pb2
from medlarpass_daemon.control.delegator import Delegator
from medlarpass_daemon.exceptions import UnknownResultError

TERM_SECONDS = 10.0


class FakeReplica:
    """Replica whose leadership the test sets."""

    def __init__(self) -> None:
        self.is_leader = True
        self.term = 1
        self.has_quorum = True

    async def read_index(self) -> int:
        if not self.has_quorum:
            raise NotLeaderError(None)
        return 1

    async def wait_applied(self, index: int) -> None:
        return


class FakeLog:
    """Log that applies commands immediately or fails with an unknown result."""

    def __init__(self) -> None:
        self.replica = FakeReplica()
        self.state = ControlState()
        self.is_unknown = False

    async def propose(self, command: control_pb2.Command) -> control_pb2.CommandResult:
        if self.is_unknown:
            raise UnknownResultError("no response")
        result = self.state.apply(1, command.SerializeToString())
        return control_pb2.CommandResult.FromString(result)


class DelegatorSystem:
    def __init__(self) -> None:
        self.clock = ManualClock(100.0)
        self.log = FakeLog()
        self.delegator = Delegator(self.log, self.clock)  # type: ignore[arg-type]

    async def create_pool(self) -> None:
        document = (
            f'{{"owned": true, "shards": 4, "delegation_term_ms": {round(TERM_SECONDS * 1000)}}}'
        )
        item = control_pb2.ItemChange(
            kind=control_pb2.ITEM_KIND_POOL, name="stock", document=document
        )
        change = control_pb2.ApplyChange(change_id="c", items=[item])
        await self.log.propose(control_pb2.Command(apply_change=change))

    async def report(
        self, domain: str, slots: int = 3, **fields: object
    ) -> control_pb2.DomainReportResponse:
        load = control_pb2.PoolLoad(pool="stock", ready_servers=1, ready_slots=slots)
        report = control_pb2.DomainReport(domain=domain, loads=[load], **fields)  # type: ignore[arg-type]
        return await self.delegator.report(report)

    async def plan(self) -> None:
        assert self.delegator._check_leadership()
        await self.delegator._plan()

    def holders(self) -> dict[int, str | None]:
        table = self.log.state.delegations.delegations
        return {shard: delegation.domain for (_, shard), delegation in table.items()}


@pytest.fixture
async def system() -> DelegatorSystem:
    system = DelegatorSystem()
    await system.create_pool()
    await system.report("a")
    await system.plan()
    assert set(system.holders().values()) == {"a"}
    return system


@pytest.mark.parametrize("fault", ["follower", "no quorum"])
async def test_replica_that_cannot_confirm_leadership_renews_nothing(
    system: DelegatorSystem, fault: str
) -> None:
    system.log.replica.is_leader = fault != "follower"
    system.log.replica.has_quorum = fault != "no quorum"
    response = await system.report("a")
    assert not response.confirmed
    assert not response.delegations


async def test_silent_domain_keeps_its_shards_for_the_whole_term(system: DelegatorSystem) -> None:
    system.clock.advance(TERM_SECONDS)
    await system.report("b")
    await system.plan()
    assert set(system.holders().values()) == {"a"}
    system.clock.advance(TERM_SECONDS * 0.02)
    await system.report("b")
    await system.plan()
    assert set(system.holders().values()) == {"b"}
    assert {delegation.epoch for delegation in (await system.report("b")).delegations} == {2}


async def test_new_leader_counts_the_term_from_its_election(system: DelegatorSystem) -> None:
    """The old leader may have renewed just before it lost leadership."""
    system.clock.advance(TERM_SECONDS * 0.9)
    system.log.replica.term = 2
    await system.report("b")
    system.clock.advance(TERM_SECONDS * 0.9)
    await system.report("b")
    await system.plan()
    assert set(system.holders().values()) == {"a"}


async def test_domain_is_not_renewed_while_its_shards_are_freed(
    system: DelegatorSystem,
) -> None:
    system.clock.advance(TERM_SECONDS * 1.02)
    system.log.is_unknown = True
    with pytest.raises(UnknownResultError):
        await system.plan()
    system.log.is_unknown = False
    assert not (await system.report("a")).confirmed


async def test_released_shard_moves_under_a_higher_epoch(system: DelegatorSystem) -> None:
    await system.report("b")
    await system.plan()
    marked = [
        delegation for delegation in (await system.report("a")).delegations if delegation.release
    ]
    assert marked
    released = [
        control_pb2.ShardEpoch(pool="stock", shard=delegation.shard, epoch=delegation.epoch)
        for delegation in marked
    ]
    response = await system.report("a", released=released)
    assert not {delegation.shard for delegation in marked} & {
        delegation.shard for delegation in response.delegations
    }
    gained = (await system.report("b")).delegations
    assert {delegation.shard for delegation in gained} == {
        delegation.shard for delegation in marked
    }
    assert {delegation.epoch for delegation in gained} == {2}


async def test_lost_grants_get_new_epochs(system: DelegatorSystem) -> None:
    response = await system.report("a", needs_new_epochs=True)
    assert response.new_epochs
    assert {delegation.epoch for delegation in response.delegations} == {2}


async def test_a_report_of_an_earlier_term_renews_nothing(system: DelegatorSystem) -> None:
    """Guards against two holders after a report outlived the term in which it arrived.

    Another leader may have freed the shards meanwhile, in a command that is not applied here yet.
    """

    async def wait_applied(index: int) -> None:
        system.log.replica.term += 2

    system.log.replica.wait_applied = wait_applied  # type: ignore[method-assign]
    response = await system.report("a")
    assert not response.confirmed
    assert not response.delegations


async def test_freeing_of_an_earlier_term_allows_no_renewal(system: DelegatorSystem) -> None:
    """Guards against a renewal while the shards of its domain are being freed in a later term."""
    propose = system.log.propose

    async def propose_late(command: control_pb2.Command) -> control_pb2.CommandResult:
        system.log.replica.term += 2
        system.delegator._check_leadership()
        system.delegator.renewals.domains_being_freed.add("a")
        return await propose(command)

    system.clock.advance(TERM_SECONDS * 1.02)
    system.log.propose = propose_late  # type: ignore[method-assign]
    await system.plan()
    assert not (await system.report("a")).confirmed
