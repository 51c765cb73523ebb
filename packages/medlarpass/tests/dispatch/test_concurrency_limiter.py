"""Guards against limits that ignore overload, collapse on one burst or exceed the slots."""

from __future__ import annotations

import pytest

from medlarpass import ManualClock
from medlarpass.dispatch import ConcurrencyLimiter
from medlarpass.dispatch import LimiterSettings


def limiter(slots: int = 4, least: float = 1.0) -> ConcurrencyLimiter:
    settings = LimiterSettings(least=least, increase=1.0)
    return ConcurrencyLimiter(settings, ManualClock(), slots)


def run(subject: ConcurrencyLimiter, latency: float) -> None:
    assert subject.try_acquire()
    assert isinstance(subject.clock, ManualClock)
    subject.clock.advance(latency)
    subject.finished(latency)


def test_limit_stays_within_the_slots() -> None:
    subject = limiter()
    assert [subject.try_acquire() for _ in range(5)] == [True] * 4 + [False]
    for _ in range(4):
        subject.finished(0.01)
    assert subject.limit == 4.0


@pytest.mark.parametrize("end", ["refused", "abandoned"])
def test_limit_falls_to_one_and_never_below(end: str) -> None:
    subject = limiter()
    for _ in range(20):
        assert subject.try_acquire()
        getattr(subject, end)()
    assert subject.limit == 1.0
    assert subject.in_flight == 0


def test_refusals_of_one_burst_reduce_once() -> None:
    subject = limiter()
    run(subject, 0.01)
    for _ in range(4):
        assert subject.try_acquire()
    for _ in range(4):
        subject.refused()
    assert subject.limit == pytest.approx(2.8)


def test_slow_answers_reduce_and_good_answers_restore() -> None:
    subject = limiter()
    run(subject, 0.01)
    run(subject, 0.2)
    assert subject.limit == pytest.approx(2.8)
    for _ in range(20):
        while subject.try_acquire():
            pass
        while subject.in_flight:
            subject.finished(0.01)
    assert subject.limit == 4.0


def test_limit_that_was_not_reached_does_not_grow() -> None:
    subject = limiter()
    run(subject, 0.01)
    subject.try_acquire()
    subject.refused()
    before = subject.limit
    run(subject, 0.01)
    assert subject.limit == before


def test_limit_below_one_spaces_requests_in_time() -> None:
    subject = limiter(slots=1, least=0.25)
    run(subject, 0.1)
    assert isinstance(subject.clock, ManualClock)
    for _ in range(10):
        subject.clock.advance(1.0)
        assert subject.try_acquire()
        subject.refused()
    assert subject.limit == 0.25
    assert subject.ready_in() == pytest.approx(0.3)
    assert not subject.try_acquire()
    subject.clock.advance(0.301)
    assert subject.try_acquire()
    assert subject.ready_in() is None


def test_one_slow_answer_among_usual_ones_changes_nothing() -> None:
    subject = limiter()
    for latency in [0.1, 0.2, 0.05, 0.1, 0.5, 0.1]:
        run(subject, latency)
    assert subject.limit == 4.0


def test_limit_recovers_from_its_lower_bound() -> None:
    subject = limiter(slots=3, least=0.1)
    subject.limit = 0.1
    for _ in range(200):
        wait = subject.ready_in()
        assert wait is not None
        assert isinstance(subject.clock, ManualClock)
        subject.clock.advance(wait + 1e-6)
        while subject.try_acquire():
            pass
        while subject.in_flight:
            subject.finished(0.01)
    assert subject.limit == 3.0
