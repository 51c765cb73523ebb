"""Guards against requests that wait although they cannot meet their deadline."""

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


def make_queue(clock: ManualClock, limit: int = 8) -> DeadlineQueue[str]:
    return DeadlineQueue(QueueSettings(limit=limit), clock)


def make_busy_queue(clock: ManualClock) -> DeadlineQueue[str]:
    """Return a queue of 4 requests with a measured departure interval of 0.1 s."""
    queue = make_queue(clock)
    for n in range(7):
        queue.push(f"r{n}", 10.0 + n)
    for _ in range(3):
        queue.pop()
        clock.advance(0.1)
    return queue


@given(st.lists(st.floats(0.1, 100.0), min_size=1, max_size=8))
def test_requests_leave_in_the_order_of_their_deadlines(deadlines: list[float]) -> None:
    queue: DeadlineQueue[float] = DeadlineQueue(QueueSettings(limit=8), ManualClock())
    for deadline in deadlines:
        queue.push(deadline, deadline)
    assert [queue.pop() for _ in deadlines] == sorted(deadlines)
    assert queue.pop() is None


def test_full_queue_refuses_as_not_run() -> None:
    queue = make_queue(ManualClock(), limit=1)
    queue.push("a", 1.0)
    with pytest.raises(QueueFullError) as error:
        queue.push("b", 0.5)
    assert error.value.outcome is Outcome.NOT_RUN
    assert len(queue) == 1


@pytest.mark.parametrize(
    ("deadline", "expected_run_time", "accepted"),
    [
        (0.3, 0.0, False),  # no time remains
        (0.31, 0.02, False),  # the run time exceeds the remaining time
        (0.35, 0.0, True),  # first in the queue, so no wait
        (12.5, 0.0, True),  # waits 0 s behind earlier deadlines
        (99.0, 98.0, True),
        (99.0, 98.4, False),  # 0.4 s wait behind four requests, then 98.4 s run time
    ],
)
def test_request_without_enough_time_is_refused_at_once(
    deadline: float, expected_run_time: float, accepted: bool
) -> None:
    clock = ManualClock()
    queue = make_busy_queue(clock)
    if accepted:
        queue.push("x", deadline, expected_run_time)
        return
    with pytest.raises(DeadlineTooCloseError) as error:
        queue.push("x", deadline, expected_run_time)
    assert error.value.outcome is Outcome.NOT_RUN
    assert len(queue) == 4


def test_expired_requests_are_never_handed_out() -> None:
    clock = ManualClock()
    queue = make_queue(clock)
    queue.push("old", 1.0)
    queue.push("live", 5.0)
    clock.advance(2.0)
    assert queue.pop() == "live"
    assert queue.pop_expired() == ["old"]
    assert len(queue) == 0


def test_time_with_an_empty_queue_does_not_lengthen_the_expected_wait() -> None:
    clock = ManualClock()
    queue = make_queue(clock)
    for _ in range(5):
        queue.push("a", clock.now() + 1000.0)
        queue.pop()
        clock.advance(60.0)
    assert queue.expected_wait(clock.now() + 1.0) == 0.0


def test_request_of_a_disconnected_caller_is_removed_once() -> None:
    queue = make_queue(ManualClock())
    ticket = queue.push("a", 1.0)
    assert queue.remove(ticket) == "a"
    assert queue.remove(ticket) is None
    assert queue.pop() is None


def test_ticket_of_a_request_that_left_removes_no_other_request() -> None:
    queue = make_queue(ManualClock())
    ticket = queue.push("a", 1.0)
    queue.pop()
    queue.push("b", 1.0)
    assert queue.remove(ticket) is None
    assert queue.pop() == "b"


def test_stopped_servers_lengthen_the_expected_wait() -> None:
    clock = ManualClock()
    queue = make_busy_queue(clock)
    clock.advance(2.0)
    with pytest.raises(DeadlineTooCloseError):
        queue.push("x", 20.0, expected_run_time=10.0)
