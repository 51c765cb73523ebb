from __future__ import annotations

import pytest

from medlarpass.capacity import ServerCapacity


def feed(
    capacity: ServerCapacity, rate: float, mean_seconds: float, unqueued_seconds: float = 0.0
) -> None:
    """Report 30 s of responses of the server ``a``, a fifth of them unqueued if that is known."""
    for _ in range(60):
        count = round(rate * 0.5)
        unqueued = max(count // 5, 1) if unqueued_seconds else 0
        capacity.add("a", count, count * mean_seconds, unqueued, unqueued * unqueued_seconds)
        capacity.apply_decay()


def test_an_idle_server_has_the_capacity_of_its_slots() -> None:
    """Guards against taking the load of an idle server for its capacity."""
    capacity = ServerCapacity()
    feed(capacity, rate=4, mean_seconds=0.3)
    assert capacity.rate_of("a", 3) == pytest.approx(10.0)


def test_the_completions_correct_response_times_that_include_queueing() -> None:
    """Guards against a low estimate at 3 slots, 0.3 s of work and 0.6 s in the queue."""
    capacity = ServerCapacity()
    feed(capacity, rate=10, mean_seconds=0.9)
    rate = capacity.rate_of("a", 3)
    assert rate is not None
    assert 8.5 <= rate <= 10.5


def test_unqueued_responses_take_precedence() -> None:
    """Guards against a low estimate for a server that is often, but not always, busy."""
    capacity = ServerCapacity()
    feed(capacity, rate=6, mean_seconds=0.6, unqueued_seconds=0.25)
    assert capacity.rate_of("a", 3) == pytest.approx(12.0, rel=0.05)


def test_a_server_with_few_responses_is_unknown() -> None:
    """Guards against an estimate from a few responses, whose times vary by a factor of ten."""
    capacity = ServerCapacity()
    assert capacity.rate_of("a", 3) is None
    capacity.add("a", 4, 0.4)
    assert capacity.rate_of("a", 3) is None
    capacity.add("a", 1, 0.1)
    assert capacity.rate_of("a", 3) == pytest.approx(30.0)


def test_the_estimate_follows_a_change_within_seconds() -> None:
    """Guards against a plan by the speed that a server had before it became slow."""
    capacity = ServerCapacity()
    feed(capacity, rate=6, mean_seconds=0.3)
    for _ in range(20):
        capacity.add("a", 2, 2 * 1.0)
        capacity.apply_decay()
    rate = capacity.rate_of("a", 3)
    assert rate is not None
    assert rate < 5.5


def test_a_server_without_responses_becomes_unknown() -> None:
    """Guards against memory that grows with each server that was ever seen."""
    capacity = ServerCapacity()
    capacity.add("a", 10, 3.0, 10, 3.0)
    for _ in range(60):
        capacity.apply_decay()
    assert capacity.rate_of("a", 3) is None
    assert not capacity.all_times.sums
    assert not capacity.unqueued_times.sums


def test_a_burst_does_not_lower_the_estimate() -> None:
    """Guards against a limit far below what a server can do, when its load has doubled."""
    capacity = ServerCapacity()
    feed(capacity, rate=6, mean_seconds=0.3)
    for mean in (0.5, 0.9, 1.3, 1.4):
        assert capacity.rate_of("a", 3) is not None
        capacity.add("a", 5, 5 * mean)
        capacity.apply_decay()
    rate = capacity.rate_of("a", 3)
    assert rate is not None
    assert rate >= 7.0


def test_an_idle_server_is_not_judged_by_its_busy_time() -> None:
    """Guards against a limit for a server whose hot key has ended, by responses that queued."""
    capacity = ServerCapacity()
    for _ in range(40):
        capacity.rate_of("a", 3)
        capacity.add("a", 6, 6 * 1.3)
        capacity.apply_decay()
    assert capacity.rate_of("a", 3) == pytest.approx(10.8, rel=0.1)
    for _ in range(5):
        capacity.apply_decay()
    assert capacity.rate_of("a", 3) is None
