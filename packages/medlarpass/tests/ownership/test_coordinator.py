"""Guards against responses that renew a session without its live grants."""

from __future__ import annotations

from itertools import count

import pytest

from medlarpass import ManualClock
from medlarpass.ownership import Assignment
from medlarpass.ownership import Coordinator
from medlarpass.ownership import Fence
from medlarpass.ownership import GrantHolder
from medlarpass.ownership import PendingHeartbeat
from medlarpass.ownership import Refusal
from medlarpass.rpc import control_pb2
from medlarpass.rpc import domain_pb2 as pb

TERM = 0.6
SHARD = Assignment("stock", 0)
BALLOT = pb.Ballot(number=1000, entry="e0#1")
LATER_BALLOT = pb.Ballot(number=2000, entry="e1#1")


def delegation_response(term_ms: int = 10_000) -> control_pb2.DomainReportResponse:
    held = [control_pb2.ShardDelegation(pool="stock", shard=0, epoch=1)]
    terms = [control_pb2.PoolTerm(pool="stock", term_ms=term_ms)]
    return control_pb2.DomainReportResponse(
        confirmed=True, new_epochs=True, delegations=held, terms=terms
    )


class FakeLease:
    """A coordinator lease that a test can take away."""

    def __init__(self) -> None:
        self.held = True

    def is_holder(self) -> bool:
        return self.held


class FakeServer:
    """A server that exchanges messages with a coordinator without a network."""

    def __init__(self, clock: ManualClock, identity: str, incarnation: int = 1) -> None:
        self.identity, self.incarnation = identity, incarnation
        self.holder = GrantHolder(clock)

    def status(self) -> control_pb2.ServerStatus:
        return control_pb2.ServerStatus(
            identity=self.identity, incarnation=self.incarnation, ip="127.0.0.1", port=80
        )

    def announce(self, coordinator: Coordinator) -> None:
        pending = self.holder.begin_heartbeat()
        opened = coordinator.announce(self.status())
        assert opened is not None
        self.holder.apply_announcement(pending, opened[0].session_id, opened[1])

    def request(self) -> tuple[PendingHeartbeat, pb.HeartbeatRequest]:
        pending = self.holder.begin_heartbeat()
        released = [
            pb.ReleasedGrant(
                pool=assignment.pool,
                shard=assignment.shard,
                key=assignment.key or "",
                fence=fence.to_int(),
            )
            for assignment, fence in pending.released
        ]
        request = pb.HeartbeatRequest(
            identity=self.identity,
            incarnation=self.incarnation,
            session=pending.session_id,
            seen=pending.known_version,
            released=released,
            server=self.status(),
        )
        return pending, request

    def heartbeat(self, coordinator: Coordinator) -> pb.HeartbeatResponse:
        pending, request = self.request()
        coordinator.confirm_releases(request)
        response = coordinator.respond_to_heartbeat(request)
        self.holder.apply(pending, response)
        return response

    def accepts(self, sequence: int) -> bool:
        return self.holder.check("stock", 0, "k", Fence(1, sequence)) is None


def commit(coordinator: Coordinator, ballot: pb.Ballot = BALLOT) -> pb.GrantRecord:
    record = coordinator.grants.record(ballot)
    coordinator.grants.commit(record.version)
    return record


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock(100.0)


@pytest.fixture
def lease() -> FakeLease:
    return FakeLease()


def new_coordinator(clock: ManualClock, lease: FakeLease) -> Coordinator:
    numbers = count(1)
    return Coordinator(clock, TERM, lease.is_holder, lambda: f"s{next(numbers)}")


@pytest.fixture
def coordinator(clock: ManualClock, lease: FakeLease) -> Coordinator:
    """A coordinator with shard 0, after the waiting time that follows its election."""
    result = new_coordinator(clock, lease)
    result.on_elected(None, BALLOT, needs_new_epochs=True)
    result.grants.apply_report(delegation_response(), clock.now())
    clock.advance(0.61)
    commit(result)
    return result


@pytest.fixture
def owner(clock: ManualClock, coordinator: Coordinator) -> FakeServer:
    """Server ``a``, which owns shard 0 with fence (1, 1)."""
    result = FakeServer(clock, "a")
    result.announce(coordinator)
    coordinator.grants.grant(SHARD, "a", 1)
    commit(coordinator)
    result.heartbeat(coordinator)
    assert result.accepts(1)
    return result


def test_without_the_lease_nothing_is_answered(
    coordinator: Coordinator, owner: FakeServer, lease: FakeLease
) -> None:
    """An old coordinator would renew sessions that its successor considers ended."""
    lease.held = False
    assert not owner.heartbeat(coordinator).coordinator
    coordinator.confirm_releases(pb.HeartbeatRequest(identity="a", incarnation=1, session="newer"))
    assert coordinator.announce(owner.status()) is None
    assert not coordinator.watch(pb.WatchDomainRequest(), BALLOT).coordinator


def test_before_the_first_commit_nothing_is_answered(clock: ManualClock, lease: FakeLease) -> None:
    """The server would treat the empty list as the loss of all its grants."""
    coordinator = new_coordinator(clock, lease)
    coordinator.on_elected(None, BALLOT, needs_new_epochs=True)
    assert not coordinator.respond_to_heartbeat(pb.HeartbeatRequest()).coordinator


def test_a_released_grant_leaves_the_server_before_the_next_commit(
    coordinator: Coordinator, owner: FakeServer
) -> None:
    coordinator.grants.start_release(SHARD)
    coordinator.grants.confirm_release(SHARD, Fence(1, 1), "a", 1)
    response = owner.heartbeat(coordinator)
    assert response.version == coordinator.grants.committed.version
    assert response.grants_included
    assert list(response.grants) == []
    assert not owner.accepts(1)


def test_a_planned_move(clock: ManualClock, coordinator: Coordinator, owner: FakeServer) -> None:
    other = FakeServer(clock, "b")
    other.announce(coordinator)
    coordinator.grants.start_release(SHARD)
    _, waiting_request = owner.request()
    assert coordinator.has_update(waiting_request)
    owner.heartbeat(coordinator)
    assert owner.holder.check("stock", 0, "k", Fence(1, 1)) is Refusal.NOT_OWNER
    owner.heartbeat(coordinator)
    coordinator.grants.grant(SHARD, "b", 1)
    commit(coordinator)
    other.heartbeat(coordinator)
    assert other.accepts(2)


def test_a_release_that_takes_long_does_not_end_every_long_poll(
    coordinator: Coordinator, owner: FakeServer
) -> None:
    coordinator.grants.start_release(SHARD)
    with owner.holder.track_request("stock", 0, "k"):
        owner.heartbeat(coordinator)
        _, waiting_request = owner.request()
        assert list(waiting_request.released) == []
        assert not coordinator.has_update(waiting_request)


def test_a_frozen_server_refuses_before_its_shard_moves(
    clock: ManualClock, coordinator: Coordinator, owner: FakeServer
) -> None:
    other = FakeServer(clock, "b")
    other.announce(coordinator)
    delayed_heartbeat, request = owner.request()
    delayed_response = coordinator.respond_to_heartbeat(request)
    clock.advance(0.605)
    coordinator.tick()
    assert not owner.accepts(1)
    clock.advance(0.002)
    coordinator.tick()
    coordinator.grants.grant(SHARD, "b", 1)
    commit(coordinator)
    owner.holder.apply(delayed_heartbeat, delayed_response)
    assert not owner.accepts(1)
    assert coordinator.respond_to_heartbeat(request).failure.code == "session_unknown"


def test_an_old_coordinator_grants_nothing_that_a_server_sees(
    clock: ManualClock, coordinator: Coordinator, owner: FakeServer, lease: FakeLease
) -> None:
    """It moves the shard in memory, but a majority no longer stores its record."""
    record = coordinator.grants.record(BALLOT)
    other = FakeServer(clock, "b")
    other.announce(coordinator)
    coordinator.grants.revoke("a", 1)
    coordinator.grants.grant(SHARD, "b", 1)
    other.heartbeat(coordinator)
    assert not other.accepts(2)
    lease.held = False
    successor = new_coordinator(clock, FakeLease())
    successor.on_elected(record, LATER_BALLOT, needs_new_epochs=False)
    successor.grants.apply_report(delegation_response(), clock.now())
    commit(successor, LATER_BALLOT)
    owner.heartbeat(successor)
    assert owner.accepts(1)
    assert not other.heartbeat(coordinator).coordinator


def test_a_new_coordinator_keeps_a_silent_servers_shard_for_a_full_term(
    clock: ManualClock, coordinator: Coordinator, owner: FakeServer
) -> None:
    clock.advance(0.5)
    successor = new_coordinator(clock, FakeLease())
    successor.on_elected(coordinator.grants.record(BALLOT), LATER_BALLOT, needs_new_epochs=False)
    successor.grants.apply_report(delegation_response(), clock.now())
    clock.advance(0.605)
    successor.tick()
    assert successor.grants.holders() == {("a", 1)}
    clock.advance(0.002)
    successor.tick()
    assert successor.grants.holders() == set()


def test_a_session_ends_with_the_delegation(
    clock: ManualClock, coordinator: Coordinator, owner: FakeServer
) -> None:
    coordinator.grants.delegations["stock", 0].expiry = clock.now() + 0.2
    coordinator.grants.earliest_expiry = clock.now() + 0.2
    clock.advance(0.1)
    # The earlier response granted the full term; from now on the term is shorter.
    assert owner.heartbeat(coordinator).term_ms in (99, 100)


def test_an_entry_sees_committed_grants_and_remaining_sessions(
    clock: ManualClock, coordinator: Coordinator, owner: FakeServer
) -> None:
    clock.advance(0.1)
    response = coordinator.watch(pb.WatchDomainRequest(), BALLOT)
    assert [grant.server for grant in response.grants] == ["a"]
    assert response.servers[0].session_remaining_ms in (505, 506)
    known = pb.WatchDomainRequest(known_version=response.version, known_ballot=BALLOT)
    assert not coordinator.watch(known, BALLOT).grants_included
