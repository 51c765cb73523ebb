"""Guards against a limit that ignores overload, collapses after one burst or exceeds the slots."""

from __future__ import annotations

import pytest

from medlarpass import ManualClock
from medlarpass.dispatch import ConcurrencyLimiter
from medlarpass.dispatch import LimiterSettings


def make_limiter(slots: int = 4, min_limit: float = 1.0) -> ConcurrencyLimiter:
    settings = LimiterSettings(min_limit=min_limit, increase=1.0)
    return ConcurrencyLimiter(settings, ManualClock(), slots)


def run_request(limiter: ConcurrencyLimiter, latency: float) -> None:
    assert limiter.try_acquire()
    assert isinstance(limiter.clock, ManualClock)
    limiter.clock.advance(latency)
    limiter.finished(latency)


def test_limit_stays_within_the_slots() -> None:
    limiter = make_limiter()
    assert [limiter.try_acquire() for _ in range(5)] == [True] * 4 + [False]
    for _ in range(4):
        limiter.finished(0.01)
    assert limiter.limit == 4.0


@pytest.mark.parametrize("end_method", ["refused", "abandoned"])
def test_limit_falls_to_one_and_never_below(end_method: str) -> None:
    limiter = make_limiter()
    for _ in range(20):
        assert limiter.try_acquire()
        getattr(limiter, end_method)()
    assert limiter.limit == 1.0
    assert limiter.in_flight == 0


def test_refusals_of_one_burst_reduce_once() -> None:
    limiter = make_limiter()
    run_request(limiter, 0.01)
    for _ in range(4):
        assert limiter.try_acquire()
    for _ in range(4):
        limiter.refused()
    assert limiter.limit == pytest.approx(2.8)


def test_slow_responses_reduce_and_timely_responses_restore() -> None:
    limiter = make_limiter()
    run_request(limiter, 0.01)
    run_request(limiter, 0.2)
    assert limiter.limit == pytest.approx(2.8)
    for _ in range(20):
        while limiter.try_acquire():
            pass
        while limiter.in_flight:
            limiter.finished(0.01)
    assert limiter.limit == 4.0


def test_limit_that_was_not_reached_does_not_grow() -> None:
    limiter = make_limiter()
    run_request(limiter, 0.01)
    limiter.try_acquire()
    limiter.refused()
    previous = limiter.limit
    run_request(limiter, 0.01)
    assert limiter.limit == previous


def test_limit_below_one_paces_requests() -> None:
    limiter = make_limiter(slots=1, min_limit=0.25)
    run_request(limiter, 0.1)
    assert isinstance(limiter.clock, ManualClock)
    for _ in range(10):
        limiter.clock.advance(1.0)
        assert limiter.try_acquire()
        limiter.refused()
    assert limiter.limit == 0.25
    assert limiter.ready_in() == pytest.approx(0.3)
    assert not limiter.try_acquire()
    limiter.clock.advance(0.301)
    assert limiter.try_acquire()
    assert limiter.ready_in() is None


def test_one_slow_response_among_normal_ones_changes_nothing() -> None:
    limiter = make_limiter()
    for latency in [0.1, 0.2, 0.05, 0.1, 0.5, 0.1]:
        run_request(limiter, latency)
    assert limiter.limit == 4.0


def test_limit_recovers_from_its_lower_bound() -> None:
    limiter = make_limiter(slots=3, min_limit=0.1)
    limiter.limit = 0.1
    for _ in range(200):
        wait = limiter.ready_in()
        assert wait is not None
        assert isinstance(limiter.clock, ManualClock)
        limiter.clock.advance(wait + 1e-6)
        while limiter.try_acquire():
            pass
        while limiter.in_flight:
            limiter.finished(0.01)
    assert limiter.limit == 3.0
