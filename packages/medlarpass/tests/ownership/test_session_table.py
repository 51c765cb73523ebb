"""Guards against a server whose grants move while it may still rely on its session."""

from __future__ import annotations

from itertools import count

import pytest

from medlarpass import ManualClock
from medlarpass.ownership import SessionTable
from medlarpass.ownership.exceptions import IdentityConflictError
from medlarpass.ownership.exceptions import IncarnationSupersededError
from medlarpass.ownership.exceptions import SessionUnconfirmedError
from medlarpass.ownership.exceptions import SessionUnknownError

TERM = 0.6


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock(50.0)


@pytest.fixture
def table(clock: ManualClock) -> SessionTable:
    numbers = count(1)
    return SessionTable(clock, TERM, lambda: f"s{next(numbers)}")


def test_a_session_ends_after_term_and_margin(clock: ManualClock, table: SessionTable) -> None:
    table.announce("a", 1, "ip:1", TERM)
    clock.advance(0.605)
    assert table.remove_ended() == []
    clock.advance(0.002)
    assert [session.identity for session in table.remove_ended()] == ["a"]


def test_a_shorter_renewal_does_not_cut_an_earlier_one(
    clock: ManualClock, table: SessionTable
) -> None:
    session = table.announce("a", 1, "ip:1", TERM)
    table.renew(session, 0.0)
    clock.advance(0.6)
    assert table.live_session("a", 1) is session


def test_an_ended_session_is_never_renewed(clock: ManualClock, table: SessionTable) -> None:
    session = table.announce("a", 1, "ip:1", TERM)
    clock.advance(0.61)
    with pytest.raises(SessionUnknownError):
        table.find("a", 1, session.session_id, "ip:1")
    with pytest.raises(SessionUnknownError):
        table.renew(session, TERM)


@pytest.mark.parametrize(
    ("incarnation", "address", "session", "error"),
    [
        (1, "ip:2", "s1", IdentityConflictError),
        (1, "ip:1", "s9", SessionUnknownError),
        (1, "ip:1", "", SessionUnknownError),
        (2, "ip:1", "s1", SessionUnknownError),
    ],
    ids=["same identity elsewhere", "other session", "no session", "unknown incarnation"],
)
def test_heartbeats_of_others_are_refused(
    table: SessionTable, incarnation: int, address: str, session: str, error: type[Exception]
) -> None:
    table.announce("a", 1, "ip:1", TERM)
    with pytest.raises(error):
        table.find("a", incarnation, session, address)


def test_two_servers_with_one_identity_and_incarnation_conflict(table: SessionTable) -> None:
    table.announce("a", 1, "ip:1", TERM)
    with pytest.raises(IdentityConflictError):
        table.announce("a", 1, "ip:2", TERM)


def test_a_repeated_announcement_keeps_the_session(table: SessionTable) -> None:
    first = table.announce("a", 1, "ip:1", TERM)
    assert table.announce("a", 1, "ip:1", TERM) is first


def test_a_newer_incarnation_does_not_end_the_older_session(
    clock: ManualClock, table: SessionTable
) -> None:
    """The older process may be suspended and resume before its term ends."""
    older = table.announce("a", 1, "ip:1", TERM)
    clock.advance(0.3)
    table.announce("a", 2, "ip:2", TERM)
    assert table.live_session("a", 1) is older
    assert not table.is_newest("a", 1)
    for refused_call in (
        lambda: table.find("a", 1, older.session_id, "ip:1"),
        lambda: table.announce("a", 1, "ip:1", TERM),
    ):
        with pytest.raises(IncarnationSupersededError):
            refused_call()
    clock.advance(0.307)
    assert table.remove_ended() == [older]


def test_a_new_coordinator_assumes_that_every_session_was_renewed(
    clock: ManualClock, table: SessionTable
) -> None:
    table.adopt([("a", 1)])
    clock.advance(0.605)
    assert table.remove_ended() == []
    clock.advance(0.002)
    assert len(table.remove_ended()) == 1


def test_after_an_election_only_the_holder_of_the_session_id_continues(
    table: SessionTable,
) -> None:
    """A second process with the same identity and incarnation never got a session id."""
    table.adopt([("a", 1)])
    with pytest.raises(SessionUnconfirmedError):
        table.announce("a", 1, "ip:2", TERM)
    assert table.find("a", 1, "old", "ip:1").address == "ip:1"
    with pytest.raises(IdentityConflictError):
        table.find("a", 1, "old", "ip:2")


def test_after_an_election_older_incarnations_stay_superseded(table: SessionTable) -> None:
    table.adopt([("a", 2), ("a", 1)])
    with pytest.raises(IncarnationSupersededError):
        table.find("a", 1, "old", "ip:1")
