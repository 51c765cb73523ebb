"""Guards against choices that overload servers which refuse, freeze, slow down or lie."""

from __future__ import annotations

import random

from collections import Counter

import pytest

from medlarpass import ManualClock
from medlarpass.dispatch import Balancer
from medlarpass.dispatch import BalancerSettings
from medlarpass.dispatch import Candidate
from medlarpass.dispatch import LeastInFlightBalancer
from medlarpass.dispatch import LeastToldBalancer
from medlarpass.dispatch import NoServerError
from medlarpass.dispatch import RandomBalancer
from medlarpass.dispatch import RoundRobinBalancer
from medlarpass.dispatch import TwoChoicesBalancer

POOL = [Candidate(f"s{n}", slots=3) for n in range(4)]
ALL = [
    Balancer,
    RandomBalancer,
    RoundRobinBalancer,
    LeastInFlightBalancer,
    LeastToldBalancer,
    TwoChoicesBalancer,
]


def balancer(clock: ManualClock, kind: type[Balancer] = Balancer) -> Balancer:
    return kind(BalancerSettings(), clock, random.Random(7))


def counts(chooser: Balancer, pool: list[Candidate], draws: int = 400) -> Counter[str]:
    """Count choices of requests that end at once, before the clock moves."""
    chosen = Counter[str]()
    for _ in range(draws):
        server = chooser.choose(pool).identity
        chosen[server] += 1
        attempt = chooser.started(server)
        del chooser.loads[server].attempts[attempt]
    return chosen


@pytest.mark.parametrize("kind", ALL)
def test_excluded_server_is_never_chosen(kind: type[Balancer]) -> None:
    chooser = balancer(ManualClock(), kind)
    chosen = {chooser.choose(POOL, {"s1", "s2"}).identity for _ in range(100)}
    assert chosen == {"s0", "s3"}


@pytest.mark.parametrize("kind", ALL)
@pytest.mark.parametrize("exclude", [{"s0", "s1", "s2", "s3"}, {"s0", "s1", "s2", "s3", "x"}])
def test_no_server_left_is_an_error_with_outcome(kind: type[Balancer], exclude: set[str]) -> None:
    with pytest.raises(NoServerError) as caught:
        balancer(ManualClock(), kind).choose(POOL, exclude)
    assert caught.value.outcome.value == "not-run"


def test_full_server_gets_far_fewer_requests() -> None:
    chooser = balancer(ManualClock())
    for _ in range(3):
        chooser.started("s0")
    assert counts(chooser, POOL)["s0"] < 20


def test_peers_requests_count_until_their_report_is_old() -> None:
    clock = ManualClock()
    chooser = balancer(clock)
    chooser.peer_report("e2", {"s0": 3}, sent_at=0.0)
    assert counts(chooser, POOL)["s0"] < 20
    clock.advance(2.1)
    assert counts(chooser, POOL)["s0"] > 60


def test_reports_of_replaced_entries_are_dropped() -> None:
    chooser = balancer(ManualClock())
    for n in range(100):
        chooser.peer_report(f"e{n}", {"s0": 1}, sent_at=float(n))
    assert len(chooser.peers.reports) == 2


def test_older_report_of_a_peer_does_not_replace_a_newer_one() -> None:
    chooser = balancer(ManualClock(1.0))
    chooser.peer_report("e2", {"s0": 2}, sent_at=1.0)
    chooser.peer_report("e2", {"s0": 0}, sent_at=0.5)
    assert chooser.estimate(POOL[0], None, 1.0) == 2.0


@pytest.mark.parametrize(
    ("told", "own", "expected"),
    [(0, 2, 2.0), (None, 2, 2.0), (1000, 2, 3.0), (2, 2, 2.0), (1, 0, 1.0)],
)
def test_told_load_is_a_bounded_hint(told: int | None, own: int, expected: float) -> None:
    chooser = Balancer(BalancerSettings(hint_limit=1.0), ManualClock(), random.Random(7))
    for _ in range(own):
        chooser.started("s0")
    assert chooser.estimate(Candidate("s0", 3, told_in_flight=told), None, 0.0) == expected


@pytest.mark.parametrize("told", [0, 3, 1000])
def test_a_lie_about_load_changes_nothing_by_default(told: int) -> None:
    honest = counts(balancer(ManualClock()), POOL)
    lying = [Candidate("s0", 3, told_in_flight=told), *POOL[1:]]
    assert counts(balancer(ManualClock()), lying) == honest


def test_report_counts_less_with_its_age_in_units_of_the_usual_latency() -> None:
    chooser = balancer(ManualClock())
    chooser.peer_report("e2", {"s0": 2}, sent_at=0.0)
    estimates = [chooser.estimate(POOL[0], 1.0, age) for age in (0.0, 0.1, 0.6, 1.9, 2.0)]
    assert estimates == pytest.approx([2.0, 1.693, 0.736, 0.0843, 0.0], abs=0.001)


def test_servers_of_equal_load_are_used_in_turn() -> None:
    clock = ManualClock()
    chooser = balancer(clock)
    used = []
    for _ in range(12):
        clock.advance(1.0)
        used.append(chooser.choose(POOL).identity)
        chooser.finished(chooser.started(used[-1]))
    assert all(set(used[n : n + 4]) == {"s0", "s1", "s2", "s3"} for n in range(0, 12, 4))


def test_avoidance_grows_with_refusals_and_ends_with_an_answer() -> None:
    clock = ManualClock()
    chooser = balancer(clock)
    spans = []
    for _ in range(10):
        chooser.refused(chooser.started("s0"))
        spans.append(chooser.loads["s0"].avoided_until - clock.now())
        assert counts(chooser, POOL, 50)["s0"] == 0
        clock.advance(spans[-1])
    assert all(0.01 * 2**n <= span <= 0.02 * 2**n for n, span in enumerate(spans[:6]))
    assert max(spans) <= 2.0
    chooser.finished(chooser.started("s0"))
    assert chooser.loads["s0"].refusals == 0


def test_all_servers_avoided_still_gives_the_one_soonest_back() -> None:
    chooser = balancer(ManualClock())
    for each in POOL:
        for _ in range(1 if each.identity == "s2" else 3):
            chooser.refused(chooser.started(each.identity))
    assert chooser.choose(POOL).identity == "s2"


def test_frozen_server_loses_requests_without_any_answer() -> None:
    clock = ManualClock()
    chooser = balancer(clock)
    for each in POOL * 5:
        attempt = chooser.started(each.identity)
        clock.advance(0.01)
        chooser.finished(attempt)
    chooser.started("s0")
    clock.advance(5.0)
    for each in POOL[1:]:
        chooser.started(each.identity)
    assert counts(chooser, POOL)["s0"] == 0


def test_slow_server_gets_fewer_requests() -> None:
    clock = ManualClock()
    chooser = balancer(clock)
    for each in POOL * 5:
        attempt = chooser.started(each.identity)
        clock.advance(0.1 if each.identity == "s0" else 0.01)
        chooser.finished(attempt)
    assert counts(chooser, POOL)["s0"] < 20


def test_server_that_was_slow_is_tried_again() -> None:
    clock = ManualClock()
    chooser = balancer(clock)
    for each in POOL * 5:
        attempt = chooser.started(each.identity)
        clock.advance(10.0 if each.identity == "s0" else 0.01)
        chooser.finished(attempt)
    assert counts(chooser, POOL)["s0"] == 0
    clock.advance(100.0)
    assert counts(chooser, POOL)["s0"] > 50


@pytest.mark.parametrize("end", ["finished", "refused", "abandoned"])
def test_an_attempt_ends_once(end: str) -> None:
    chooser = balancer(ManualClock())
    attempt = chooser.started("s0")
    other = chooser.started("s0")
    for _ in range(3):
        getattr(chooser, end)(attempt)
    assert chooser.own_report() == {"s0": 1}
    assert chooser.loads["s0"].refusals == (1 if end == "refused" else 0)
    chooser.forget("s0")
    chooser.finished(other)
    chooser.forget("s0")
    getattr(chooser, end)(attempt)
    assert chooser.own_report() == {}


def test_weight_reduces_the_share_and_zero_ends_it() -> None:
    pool = [Candidate("s0", 3, weight=0.1), Candidate("s1", 3, weight=0.0), *POOL[2:]]
    chosen = counts(balancer(ManualClock()), pool)
    assert chosen["s1"] == 0
    assert chosen["s0"] < 40
