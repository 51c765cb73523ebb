from __future__ import annotations

import pytest

from medlarpass import ManualClock
from medlarpass.ranges import HoldBook
from medlarpass.ranges import RangeAssignment

HOLD = 10.0
#: A server's clock may run 2% slow.
LONGEST = HOLD * 1.02


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock(100.0)


@pytest.fixture
def book(clock: ManualClock) -> HoldBook:
    return HoldBook(clock, HOLD)


def test_an_answered_grant_lasts_its_hold_at_the_slowest_clock(
    book: HoldBook, clock: ManualClock
) -> None:
    """Guards against keys given away while a server with a slow clock still holds them."""
    book.sending(1, 1.0)
    clock.advance(0.5)
    book.answered(1)
    clock.advance(LONGEST)
    assert not book.is_over(1)
    clock.advance(0.5)
    assert book.is_over(1)


def test_a_grant_without_answer_counts_from_when_it_was_given_up(
    book: HoldBook, clock: ManualClock
) -> None:
    """Guards against a grant that arrived just before its connection was reset."""
    book.sending(1, 1.0)
    clock.advance(1.0)
    book.unanswered(1)
    clock.advance(LONGEST)
    assert not book.is_over(1)
    assert not book.is_certain(1)


def test_a_later_answer_does_not_make_a_lost_grant_certain(
    book: HoldBook, clock: ManualClock
) -> None:
    """Guards against a lost grant that is carried out after the release of its keys."""
    book.sending(1, 1.0)
    book.unanswered(1)
    book.sending(1, 1.0)
    book.answered(1)
    assert not book.is_certain(1)
    clock.advance(LONGEST + 0.5)
    assert book.is_certain(1)


def test_a_new_leader_presumes_a_renewal_at_its_election(
    book: HoldBook, clock: ManualClock
) -> None:
    """Guards against a new leader that gives away what the old one has just renewed."""
    book.presume([RangeAssignment("p", 0, 9, "a", 1, fence=4)])
    clock.advance(LONGEST)
    assert not book.is_over(4)
    assert not book.is_certain(4)


def test_an_unknown_fence_is_held_by_nobody(book: HoldBook) -> None:
    """Guards against keys that stay free for ever because no hold ends."""
    assert book.is_over(99)
    assert book.is_certain(99)
