"""Guards against two live grants of one assignment, and against changes lost in an election."""

from __future__ import annotations

import pytest

from medlarpass import ManualClock
from medlarpass.ownership import Assignment
from medlarpass.ownership import Fence
from medlarpass.ownership import GrantTable
from medlarpass.ownership.exceptions import AlreadyGrantedError
from medlarpass.ownership.exceptions import EpochsPendingError
from medlarpass.ownership.exceptions import KeyNotReleasedError
from medlarpass.ownership.exceptions import NotDelegatedError
from medlarpass.ownership.exceptions import NotGrantedError
from medlarpass.ownership.exceptions import NotYetGrantableError
from medlarpass.rpc import control_pb2
from medlarpass.rpc import domain_pb2 as pb

TERM = 0.6
BALLOT = pb.Ballot(number=1000, entry="e0#1")
SHARD = Assignment("stock", 0)
KEY = Assignment("stock", 0, "hot")


def report_response(
    *shards: tuple[int, int, bool], term_ms: int = 10_000
) -> control_pb2.DomainReportResponse:
    return control_pb2.DomainReportResponse(
        confirmed=True,
        new_epochs=True,
        delegations=[
            control_pb2.ShardDelegation(pool="stock", shard=shard, epoch=epoch, release=release)
            for shard, epoch, release in shards
        ],
        terms=[control_pb2.PoolTerm(pool="stock", term_ms=term_ms)],
    )


def commit(table: GrantTable) -> pb.GrantRecord:
    record = table.record(BALLOT)
    table.commit(record.version)
    return record


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock(100.0)


@pytest.fixture
def table(clock: ManualClock) -> GrantTable:
    """A table with shard 0 at epoch 1, after the waiting time that follows the election."""
    result = GrantTable(clock, TERM)
    result.adopt(None, BALLOT, needs_new_epochs=True)
    result.apply_report(report_response((0, 1, False)), clock.now())
    clock.advance(0.61)
    return result


def test_an_assignment_is_granted_once(table: GrantTable) -> None:
    table.grant(SHARD, "a", 1)
    with pytest.raises(AlreadyGrantedError):
        table.grant(SHARD, "b", 1)


def test_nothing_is_granted_until_lost_grants_have_ended(clock: ManualClock) -> None:
    table = GrantTable(clock, TERM)
    table.adopt(None, BALLOT, needs_new_epochs=True)
    with pytest.raises(EpochsPendingError):
        table.grant(SHARD, "a", 1)
    with pytest.raises(EpochsPendingError):
        table.record(BALLOT)
    old = report_response((0, 1, False))
    old.new_epochs = False
    table.apply_report(old, clock.now())
    assert table.epochs_pending
    table.apply_report(report_response((0, 2, False)), clock.now())
    clock.advance(0.605)
    with pytest.raises(NotYetGrantableError):
        table.grant(SHARD, "a", 1)
    clock.advance(0.002)
    assert table.grant(SHARD, "a", 1).fence == Fence(2, 1)


STALE_RELEASES = [
    ("older fence", Fence(1, 0), "a", 1),
    ("newer fence", Fence(1, 2), "a", 1),
    ("other server", Fence(1, 1), "b", 1),
    ("other incarnation", Fence(1, 1), "a", 2),
]


@pytest.mark.parametrize(
    ("name", "fence", "server", "incarnation"),
    STALE_RELEASES,
    ids=[case[0] for case in STALE_RELEASES],
)
def test_a_stale_release_ends_nothing(
    table: GrantTable, name: str, fence: Fence, server: str, incarnation: int
) -> None:
    table.grant(SHARD, "a", 1)
    table.start_release(SHARD)
    assert not table.confirm_release(SHARD, fence, server, incarnation)
    assert table.holders() == {("a", 1)}


def test_a_repeated_release_does_not_end_the_next_grant(table: GrantTable) -> None:
    first = table.grant(SHARD, "a", 1)
    table.start_release(SHARD)
    assert table.confirm_release(SHARD, first.fence, "a", 1)
    second = table.grant(SHARD, "a", 1)
    assert not table.confirm_release(SHARD, first.fence, "a", 1)
    assert second.fence > first.fence
    assert table.holders() == {("a", 1)}


def test_a_release_without_grant_is_refused(table: GrantTable) -> None:
    with pytest.raises(NotGrantedError):
        table.start_release(SHARD)


def test_nothing_is_visible_before_commit(table: GrantTable) -> None:
    table.grant(SHARD, "a", 1)
    record = table.record(BALLOT)
    assert table.grants_of("a", 1) == []
    assert table.committed_grants() == []
    table.commit(record.version)
    assert [grant.server for grant in table.grants_of("a", 1)] == ["a"]
    assert [grant.server for grant in table.committed_grants()] == ["a"]


def test_a_late_commit_does_not_bring_back_an_older_version(table: GrantTable) -> None:
    grant = table.grant(SHARD, "a", 1)
    first = table.record(BALLOT)
    table.confirm_release(SHARD, grant.fence, "a", 1)
    commit(table)
    table.commit(first.version)
    assert table.committed_grants() == []


def test_a_revoked_grant_is_not_sent_although_it_is_still_committed(table: GrantTable) -> None:
    """The server may open a new session before the revocation is stored."""
    table.grant(SHARD, "a", 1)
    commit(table)
    table.revoke("a", 1)
    table.grant(SHARD, "b", 1)
    assert table.grants_of("a", 1) == []
    assert table.grants_of("b", 1) == []


def test_an_election_keeps_committed_grants_and_fences_of_free_shards(
    clock: ManualClock, table: GrantTable
) -> None:
    grant = table.grant(SHARD, "a", 1)
    table.confirm_release(SHARD, grant.fence, "a", 1)
    record = commit(table)
    successor = GrantTable(clock, TERM)
    successor.adopt(record, pb.Ballot(number=2000, entry="e1#1"), needs_new_epochs=False)
    successor.apply_report(report_response((0, 1, False)), clock.now())
    assert successor.grant(SHARD, "b", 1).fence > grant.fence
    assert successor.version > record.version


def test_uncommitted_grants_may_be_lost_in_an_election(
    clock: ManualClock, table: GrantTable
) -> None:
    table.grant(SHARD, "a", 1)
    record = commit(table)
    table.revoke("a", 1)
    table.grant(SHARD, "b", 1)
    successor = GrantTable(clock, TERM)
    successor.adopt(record, pb.Ballot(number=2000, entry="e1#1"), needs_new_epochs=False)
    assert successor.holders() == {("a", 1)}
    with pytest.raises(NotDelegatedError):
        successor.grant(SHARD, "b", 1)


def test_a_session_cannot_outlive_a_delegation(clock: ManualClock, table: GrantTable) -> None:
    table.grant(SHARD, "a", 1)
    assert table.session_limit("a", 1) == TERM
    clock.advance(9.0)
    assert table.session_limit("a", 1) == pytest.approx(9.9 - 9.61)
    clock.advance(1.0)
    assert table.session_limit("a", 1) == 0.0
    assert table.session_limit("b", 1) == TERM


def test_a_new_coordinator_renews_nothing_before_control_has_confirmed(
    clock: ManualClock, table: GrantTable
) -> None:
    table.grant(SHARD, "a", 1)
    successor = GrantTable(clock, TERM)
    successor.adopt(commit(table), BALLOT, needs_new_epochs=False)
    assert successor.session_limit("a", 1) == 0.0
    successor.apply_report(report_response((0, 1, False)), clock.now())
    assert successor.session_limit("a", 1) == TERM


def test_an_expired_delegation_ends_its_grants_and_keeps_the_fence(
    clock: ManualClock, table: GrantTable
) -> None:
    first = table.grant(SHARD, "a", 1)
    clock.advance(10.0)
    table.end_expired()
    assert table.holders() == set()
    with pytest.raises(NotDelegatedError):
        table.grant(SHARD, "a", 1)
    table.apply_report(report_response((0, 1, False)), clock.now())
    assert table.grant(SHARD, "a", 1).fence > first.fence


def test_a_delegation_counts_from_before_the_report(clock: ManualClock) -> None:
    table = GrantTable(clock, TERM)
    asked_at = clock.now()
    clock.advance(2.0)
    table.apply_report(report_response((0, 1, False), term_ms=2000), asked_at)
    with pytest.raises(NotDelegatedError):
        table.grant(SHARD, "a", 1)


def test_a_late_response_to_an_older_report_is_ignored(
    clock: ManualClock, table: GrantTable
) -> None:
    earlier = clock.now()
    clock.advance(1.0)
    table.apply_report(report_response(), clock.now())
    table.apply_report(report_response((0, 1, False)), earlier)
    with pytest.raises(NotDelegatedError):
        table.grant(SHARD, "a", 1)


def test_a_shard_is_reported_as_released_only_when_that_is_committed(
    clock: ManualClock, table: GrantTable
) -> None:
    grant = table.grant(SHARD, "a", 1)
    clock.advance(0.1)
    table.apply_report(report_response((0, 1, True)), clock.now())
    commit(table)
    assert table.released_delegations() == []
    assert [released.fence for released in table.releases_for("a", 1)] == [grant.fence.to_int()]
    assert table.confirm_release(SHARD, grant.fence, "a", 1)
    assert table.released_delegations() == []
    record = commit(table)
    assert [released.epoch for released in table.released_delegations()] == [1]
    successor = GrantTable(clock, TERM)
    successor.adopt(record, BALLOT, needs_new_epochs=False)
    clock.advance(1.0)
    # A response from before the release was applied must not make the shard grantable again.
    successor.apply_report(report_response((0, 1, False)), clock.now())
    with pytest.raises(NotDelegatedError):
        successor.grant(SHARD, "b", 1)


def test_a_shard_that_is_no_longer_listed_is_dropped(clock: ManualClock, table: GrantTable) -> None:
    table.grant(SHARD, "a", 1)
    clock.advance(0.1)
    table.apply_report(report_response((1, 1, False)), clock.now())
    assert table.holders() == set()
    with pytest.raises(NotDelegatedError):
        table.grant(SHARD, "a", 1)


def test_an_isolated_key_waits_for_the_owner_of_its_shard(table: GrantTable) -> None:
    shard = table.grant(SHARD, "a", 1)
    table.isolate("stock", 0, "hot")
    with pytest.raises(KeyNotReleasedError):
        table.grant(KEY, "b", 1)
    assert KEY not in list(table.grantable_assignments())
    assert [released.key for released in table.releases_for("a", 1)] == ["hot"]
    assert table.confirm_release(KEY, shard.fence, "a", 1)
    assert table.grant(KEY, "b", 1).fence > shard.fence


def test_the_isolation_of_a_key_is_recorded_only_after_its_release(table: GrantTable) -> None:
    """A successor would consider the recorded key free while the shard's owner serves it."""
    table.grant(SHARD, "a", 1)
    table.isolate("stock", 0, "hot")
    assert [grant.key for grant in table.record(BALLOT).grants] == [""]


def test_a_key_released_to_a_lost_coordinator_gets_served_again(
    clock: ManualClock, table: GrantTable
) -> None:
    shard = table.grant(SHARD, "a", 1)
    successor = GrantTable(clock, TERM)
    successor.adopt(commit(table), BALLOT, needs_new_epochs=False)
    assert successor.confirm_release(KEY, shard.fence, "a", 1)
    assert successor.grants[SHARD].fence > shard.fence
    assert successor.holders() == {("a", 1)}


def test_a_new_owner_of_the_shard_receives_the_isolated_keys(table: GrantTable) -> None:
    first = table.grant(SHARD, "a", 1)
    table.isolate("stock", 0, "hot")
    table.confirm_release(KEY, first.fence, "a", 1)
    table.grant(KEY, "b", 1)
    table.revoke("a", 1)
    second = table.grant(SHARD, "c", 1)
    releases = [(released.key, released.fence) for released in table.releases_for("c", 1)]
    assert releases == [("hot", second.fence.to_int())]


def test_a_key_is_merged_only_without_owner_and_with_a_new_fence(table: GrantTable) -> None:
    shard = table.grant(SHARD, "a", 1)
    table.isolate("stock", 0, "hot")
    table.confirm_release(KEY, shard.fence, "a", 1)
    key = table.grant(KEY, "b", 1)
    assert not table.merge(KEY)
    table.start_release(KEY)
    assert table.confirm_release(KEY, key.fence, "b", 1)
    assert table.merge(KEY)
    assert table.grants[SHARD].fence > key.fence
    assert table.releases_for("a", 1) == []


def test_a_merged_key_of_a_free_shard_leaves_its_fence(table: GrantTable) -> None:
    table.isolate("stock", 0, "hot")
    key = table.grant(KEY, "b", 1)
    table.revoke("b", 1)
    assert table.merge(KEY)
    assert table.grant(SHARD, "a", 1).fence > key.fence


def test_a_response_with_an_older_epoch_changes_nothing(
    clock: ManualClock, table: GrantTable
) -> None:
    """Grants under the older epoch would have lower fences than the current ones."""
    clock.advance(0.1)
    table.apply_report(report_response((0, 3, False)), clock.now())
    clock.advance(0.1)
    table.apply_report(report_response((0, 2, False)), clock.now())
    assert table.grant(SHARD, "a", 1).fence == Fence(3, 1)
