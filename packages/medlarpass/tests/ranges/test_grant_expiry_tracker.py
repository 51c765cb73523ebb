from __future__ import annotations

import pytest

from medlarpass import ManualClock
from medlarpass.ranges import GrantExpiryTracker
from medlarpass.ranges import RangeAssignment

GRANT_LEASE_SECONDS = 10.0
#: A server's clock may run 2% slow, so that a grant is valid for longer.
MAX_LIFETIME_SECONDS = GRANT_LEASE_SECONDS * 1.02


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock(100.0)


@pytest.fixture
def tracker(clock: ManualClock) -> GrantExpiryTracker:
    return GrantExpiryTracker(clock, GRANT_LEASE_SECONDS)


def test_a_confirmed_grant_is_valid_until_it_expires_on_the_slowest_clock(
    tracker: GrantExpiryTracker, clock: ManualClock
) -> None:
    """Guards against keys reassigned while a server with a slow clock still owns them."""
    tracker.record_sending(1, 1.0)
    clock.advance(0.5)
    tracker.record_response(1)
    clock.advance(MAX_LIFETIME_SECONDS)
    assert not tracker.is_expired(1)
    clock.advance(0.5)
    assert tracker.is_expired(1)


def test_a_grant_without_response_counts_from_when_it_was_aborted(
    tracker: GrantExpiryTracker, clock: ManualClock
) -> None:
    """Guards against ignoring a grant that arrived just before its connection was reset."""
    tracker.record_sending(1, 1.0)
    clock.advance(1.0)
    tracker.record_no_response(1)
    clock.advance(MAX_LIFETIME_SECONDS)
    assert not tracker.is_expired(1)
    assert not tracker.is_certain(1)


def test_a_later_response_does_not_make_a_lost_grant_certain(
    tracker: GrantExpiryTracker, clock: ManualClock
) -> None:
    """Guards against a lost grant that is applied after the release of its keys."""
    tracker.record_sending(1, 1.0)
    tracker.record_no_response(1)
    tracker.record_sending(1, 1.0)
    tracker.record_response(1)
    assert not tracker.is_certain(1)
    clock.advance(MAX_LIFETIME_SECONDS + 0.5)
    assert tracker.is_certain(1)


def test_a_new_leader_assumes_a_renewal_at_its_election(
    tracker: GrantExpiryTracker, clock: ManualClock
) -> None:
    """Guards against a new leader reassigning keys that the old one has just renewed."""
    tracker.assume_renewed([RangeAssignment("p", 0, 9, "a", 1, fence=4)])
    clock.advance(MAX_LIFETIME_SECONDS)
    assert not tracker.is_expired(4)
    assert not tracker.is_certain(4)


def test_an_unknown_fence_has_no_owner(tracker: GrantExpiryTracker) -> None:
    """Guards against keys that stay unassigned forever because no grant of them expires."""
    assert tracker.is_expired(99)
    assert tracker.is_certain(99)
