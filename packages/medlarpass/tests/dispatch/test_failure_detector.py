"""Guards against slow failure detection and false suspicions by a paused observer."""

from __future__ import annotations

import pytest

from medlarpass import ManualClock
from medlarpass.dispatch import DetectorSettings
from medlarpass.dispatch import FailureDetector

SERVERS = ("s0", "s1", "s2")
TICK_SECONDS = 0.05


def run_detector(
    detector: FailureDetector, clock: ManualClock, seconds: float, alive: tuple[str, ...] = SERVERS
) -> list[frozenset[str]]:
    """Tick every 50 ms and deliver a heartbeat of each live server every 150 ms."""
    suspects_by_tick = []
    for step in range(round(seconds / TICK_SECONDS)):
        clock.advance(TICK_SECONDS)
        detector.tick()
        if step % 3 == 2:
            for server in alive:
                detector.record_heartbeat(server)
        suspects_by_tick.append(detector.suspects())
    return suspects_by_tick


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock(100.0)


@pytest.fixture
def detector(clock: ManualClock) -> FailureDetector:
    detector = FailureDetector(DetectorSettings(), clock)
    run_detector(detector, clock, 10.0)
    return detector


def test_silent_server_is_suspected_within_half_a_second(
    detector: FailureDetector, clock: ManualClock
) -> None:
    suspects_by_tick = run_detector(detector, clock, 0.5, alive=("s0", "s2"))
    assert suspects_by_tick[-1] == {"s1"}
    assert not suspects_by_tick[2]


def test_heartbeat_ends_the_suspicion(detector: FailureDetector, clock: ManualClock) -> None:
    run_detector(detector, clock, 1.0, alive=("s0", "s2"))
    detector.record_heartbeat("s1")
    assert detector.suspects() == frozenset()


def test_measured_jitter_is_tolerated(clock: ManualClock) -> None:
    detector = FailureDetector(DetectorSettings(pause_threshold=1.0), clock)
    for n in range(100):
        clock.advance(0.1 if n % 2 else 0.4)
        assert n < 4 or detector.suspects() == frozenset()
        detector.record_heartbeat("s0")


@pytest.mark.parametrize("pause", [0.3, 1.0, 30.0, 3600.0])
@pytest.mark.parametrize("first", ["tick", "suspects", "heartbeat", "unanswered"])
def test_pause_of_the_observer_suspects_nobody(
    detector: FailureDetector, clock: ManualClock, pause: float, first: str
) -> None:
    clock.advance(pause)
    if first == "tick":
        assert detector.tick() == pytest.approx(pause)
    elif first == "heartbeat":
        detector.record_heartbeat("s0")
    elif first == "unanswered":
        for _ in range(10):
            detector.request_unanswered("s0")
    assert detector.suspects() == frozenset()
    assert not any(run_detector(detector, clock, 3.0))


def test_server_lost_during_a_pause_is_suspected_afterwards(
    detector: FailureDetector, clock: ManualClock
) -> None:
    clock.advance(5.0)
    assert run_detector(detector, clock, 1.5, alive=("s0", "s2"))[-1] == {"s1"}


@pytest.mark.parametrize(
    ("events", "suspected"),
    [
        (["lost", "lost"], False),
        (["lost", "lost", "lost"], True),
        (["lost", "lost", "answer", "lost"], False),
        (["lost", "lost", "lost", "answer"], False),
        (["lost", "lost", "beat", "lost"], False),
    ],
)
def test_unanswered_requests(detector: FailureDetector, events: list[str], suspected: bool) -> None:
    for event in events:
        if event == "lost":
            detector.request_unanswered("s1")
        elif event == "answer":
            detector.request_answered("s1")
        else:
            detector.record_heartbeat("s1")
    assert detector.suspects() == (frozenset({"s1"}) if suspected else frozenset())


def test_unknown_and_forgotten_servers_are_not_suspected(
    detector: FailureDetector, clock: ManualClock
) -> None:
    detector.request_unanswered("other")
    detector.forget("s1")
    run_detector(detector, clock, 2.0, alive=("s0", "s2"))
    assert detector.suspects() == frozenset()
