"""Guards against ejections that remove most of a pool, or that overload a returning server."""

from __future__ import annotations

import pytest

from medlarpass import ManualClock
from medlarpass import Outcome
from medlarpass.dispatch import AttemptOutcome
from medlarpass.dispatch import Ejector
from medlarpass.dispatch import EjectorSettings

POOL = [f"s{n}" for n in range(6)]
GOOD = AttemptOutcome(Outcome.RUN, 0.01, 200)
LOST = AttemptOutcome(Outcome.UNKNOWN, 1.0)


def fail(subject: Ejector, server: str, times: int = 5) -> None:
    for _ in range(times):
        subject.record(server, LOST, POOL)


def ejector() -> tuple[Ejector, ManualClock]:
    clock = ManualClock()
    return Ejector(EjectorSettings(), clock), clock


@pytest.mark.parametrize(
    ("outcome", "is_failure"),
    [
        (GOOD, False),
        (AttemptOutcome(Outcome.RUN, 0.01, 404), False),
        (AttemptOutcome(Outcome.RUN, 0.01, 500), True),
        (LOST, True),
        (AttemptOutcome(Outcome.NOT_RUN, 0.001, 503), False),  # shedding is load, not a fault
        (AttemptOutcome(Outcome.NOT_RUN, 0.001, 409), False),  # stale fence
        (AttemptOutcome(Outcome.NOT_RUN, 0.001), True),  # connection refused
    ],
)
def test_what_counts_as_failure(outcome: AttemptOutcome, is_failure: bool) -> None:
    subject, _ = ejector()
    for _ in range(5):
        subject.record("s0", outcome, POOL)
    assert subject.is_ejected("s0") is is_failure


def test_success_between_failures_prevents_ejection() -> None:
    subject, _ = ejector()
    for _ in range(10):
        fail(subject, "s0", 4)
        subject.record("s0", GOOD, POOL)
    assert not subject.is_ejected("s0")


def test_share_of_ejected_servers_is_capped() -> None:
    subject, _ = ejector()
    for server in POOL * 3:
        fail(subject, server)
    assert [server for server in POOL if subject.is_ejected(server)] == ["s0", "s1"]


def test_return_is_gradual() -> None:
    subject, clock = ejector()
    fail(subject, "s0")
    assert subject.weight("s0") == 0.0
    clock.advance(1.0)
    weights = []
    for _ in range(6):
        weights.append(round(subject.weight("s0"), 2))
        clock.advance(1.0)
    assert weights == [0.1, 0.2, 0.4, 0.6, 0.8, 1.0]


def test_ejections_grow_until_success_at_full_weight() -> None:
    subject, clock = ejector()
    spans = []
    for _ in range(8):
        fail(subject, "s0")
        spans.append((subject.records["s0"].ejected_until or 0.0) - clock.now())
        clock.advance(spans[-1])
        assert not subject.is_ejected("s0")
        subject.record("s0", GOOD, POOL)
    assert spans == pytest.approx([1.0, 2.0, 4.0, 8.0, 16.0, 32.0, 60.0, 60.0])
    clock.advance(5.0)
    subject.record("s0", GOOD, POOL)
    assert subject.records["s0"].ejections == 0


def test_server_that_left_is_forgotten() -> None:
    subject, _ = ejector()
    fail(subject, "s0")
    subject.forget("s0")
    assert subject.weight("s0") == 1.0
