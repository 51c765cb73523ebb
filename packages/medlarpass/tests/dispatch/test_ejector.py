"""Guards against ejection of most of a pool and against overload of a server after ejection."""

from __future__ import annotations

import pytest

from medlarpass import ManualClock
from medlarpass import Outcome
from medlarpass.dispatch import AttemptOutcome
from medlarpass.dispatch import Ejector
from medlarpass.dispatch import EjectorSettings

POOL = [f"s{n}" for n in range(6)]
SUCCESS = AttemptOutcome(Outcome.RUN, 0.01, 200)
NO_RESPONSE = AttemptOutcome(Outcome.UNKNOWN, 1.0)


def record_failures(ejector: Ejector, server: str, times: int = 5) -> None:
    for _ in range(times):
        ejector.record(server, NO_RESPONSE, POOL)


def make_ejector() -> tuple[Ejector, ManualClock]:
    clock = ManualClock()
    return Ejector(EjectorSettings(), clock), clock


@pytest.mark.parametrize(
    ("outcome", "is_failure"),
    [
        (SUCCESS, False),
        (AttemptOutcome(Outcome.RUN, 0.01, 404), False),
        (AttemptOutcome(Outcome.RUN, 0.01, 500), True),
        (NO_RESPONSE, True),
        (AttemptOutcome(Outcome.NOT_RUN, 0.001, 503), False),  # shed because of overload
        (AttemptOutcome(Outcome.NOT_RUN, 0.001, 409), False),  # stale fence
        (AttemptOutcome(Outcome.NOT_RUN, 0.001), True),  # connection refused
    ],
)
def test_what_counts_as_failure(outcome: AttemptOutcome, is_failure: bool) -> None:
    ejector, _ = make_ejector()
    for _ in range(5):
        ejector.record("s0", outcome, POOL)
    assert ejector.is_ejected("s0") is is_failure


def test_success_between_failures_prevents_ejection() -> None:
    ejector, _ = make_ejector()
    for _ in range(10):
        record_failures(ejector, "s0", 4)
        ejector.record("s0", SUCCESS, POOL)
    assert not ejector.is_ejected("s0")


def test_share_of_ejected_servers_is_capped() -> None:
    ejector, _ = make_ejector()
    for server in POOL * 3:
        record_failures(ejector, server)
    assert [server for server in POOL if ejector.is_ejected(server)] == ["s0", "s1"]


def test_weight_grows_gradually_after_an_ejection() -> None:
    ejector, clock = make_ejector()
    record_failures(ejector, "s0")
    assert ejector.weight("s0") == 0.0
    clock.advance(1.0)
    weights = []
    for _ in range(6):
        weights.append(round(ejector.weight("s0"), 2))
        clock.advance(1.0)
    assert weights == [0.1, 0.2, 0.4, 0.6, 0.8, 1.0]


def test_ejections_grow_until_success_at_full_weight() -> None:
    ejector, clock = make_ejector()
    durations = []
    for _ in range(8):
        record_failures(ejector, "s0")
        durations.append((ejector.records["s0"].ejected_until or 0.0) - clock.now())
        clock.advance(durations[-1])
        assert not ejector.is_ejected("s0")
        ejector.record("s0", SUCCESS, POOL)
    assert durations == pytest.approx([1.0, 2.0, 4.0, 8.0, 16.0, 32.0, 60.0, 60.0])
    clock.advance(5.0)
    ejector.record("s0", SUCCESS, POOL)
    assert ejector.records["s0"].ejections == 0


def test_server_that_left_is_forgotten() -> None:
    ejector, _ = make_ejector()
    record_failures(ejector, "s0")
    ejector.forget("s0")
    assert ejector.weight("s0") == 1.0
