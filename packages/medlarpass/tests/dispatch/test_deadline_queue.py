"""Guards against requests that wait although their answer must come too late."""

from __future__ import annotations

import pytest

from hypothesis import given
from hypothesis import strategies as st

from medlarpass import ManualClock
from medlarpass import Outcome
from medlarpass.dispatch import DeadlineQueue
from medlarpass.dispatch import DeadlineTooCloseError
from medlarpass.dispatch import QueueFullError
from medlarpass.dispatch import QueueSettings


def queue(clock: ManualClock, limit: int = 8) -> DeadlineQueue[str]:
    return DeadlineQueue(QueueSettings(limit=limit), clock)


def busy_queue(clock: ManualClock) -> DeadlineQueue[str]:
    """Return a queue of 4 requests that has measured 0.1 s between departures."""
    subject = queue(clock)
    for n in range(7):
        subject.push(f"r{n}", 10.0 + n)
    for _ in range(3):
        subject.pop()
        clock.advance(0.1)
    return subject


@given(st.lists(st.floats(0.1, 100.0), min_size=1, max_size=8))
def test_requests_leave_in_the_order_of_their_deadlines(deadlines: list[float]) -> None:
    subject: DeadlineQueue[float] = DeadlineQueue(QueueSettings(limit=8), ManualClock())
    for deadline in deadlines:
        subject.push(deadline, deadline)
    assert [subject.pop() for _ in deadlines] == sorted(deadlines)
    assert subject.pop() is None


def test_full_queue_refuses_as_not_run() -> None:
    subject = queue(ManualClock(), limit=1)
    subject.push("a", 1.0)
    with pytest.raises(QueueFullError) as caught:
        subject.push("b", 0.5)
    assert caught.value.outcome is Outcome.NOT_RUN
    assert len(subject) == 1


@pytest.mark.parametrize(
    ("deadline", "expected_run", "accepted"),
    [
        (0.3, 0.0, False),  # no time remains
        (0.31, 0.02, False),  # the run itself does not fit
        (0.35, 0.0, True),  # first in the order, so no wait
        (12.5, 0.0, True),  # waits 0 s behind earlier deadlines
        (99.0, 98.0, True),
        (99.0, 98.4, False),  # 0.4 s behind four requests, then 98.4 s of run
    ],
)
def test_request_without_enough_time_is_refused_at_once(
    deadline: float, expected_run: float, accepted: bool
) -> None:
    clock = ManualClock()
    subject = busy_queue(clock)
    if accepted:
        subject.push("x", deadline, expected_run)
        return
    with pytest.raises(DeadlineTooCloseError) as caught:
        subject.push("x", deadline, expected_run)
    assert caught.value.outcome is Outcome.NOT_RUN
    assert len(subject) == 4


def test_expired_requests_are_never_handed_out() -> None:
    clock = ManualClock()
    subject = queue(clock)
    subject.push("old", 1.0)
    subject.push("live", 5.0)
    clock.advance(2.0)
    assert subject.pop() == "live"
    assert subject.pop_expired() == ["old"]
    assert len(subject) == 0


def test_time_with_an_empty_queue_is_not_taken_for_slow_servers() -> None:
    clock = ManualClock()
    subject = queue(clock)
    for _ in range(5):
        subject.push("a", clock.now() + 1000.0)
        subject.pop()
        clock.advance(60.0)
    assert subject.expected_wait(clock.now() + 1.0) == 0.0


def test_request_of_a_gone_caller_is_removed_once() -> None:
    subject = queue(ManualClock())
    ticket = subject.push("a", 1.0)
    assert subject.remove(ticket) == "a"
    assert subject.remove(ticket) is None
    assert subject.pop() is None


def test_ticket_of_a_request_that_left_removes_no_other_request() -> None:
    subject = queue(ManualClock())
    ticket = subject.push("a", 1.0)
    subject.pop()
    subject.push("b", 1.0)
    assert subject.remove(ticket) is None
    assert subject.pop() == "b"


def test_stopped_servers_lengthen_the_expected_wait() -> None:
    clock = ManualClock()
    subject = busy_queue(clock)
    clock.advance(2.0)
    with pytest.raises(DeadlineTooCloseError):
        subject.push("x", 20.0, expected_run=10.0)
