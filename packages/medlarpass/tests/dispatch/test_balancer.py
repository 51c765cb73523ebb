"""Guards against a balancer that overloads servers which refuse, freeze, slow down or misreport."""

from __future__ import annotations

import random

from collections import Counter

import pytest

from medlarpass import ManualClock
from medlarpass.dispatch import Balancer
from medlarpass.dispatch import BalancerSettings
from medlarpass.dispatch import Candidate
from medlarpass.dispatch import LeastInFlightBalancer
from medlarpass.dispatch import LeastReportedBalancer
from medlarpass.dispatch import NoServerError
from medlarpass.dispatch import RandomBalancer
from medlarpass.dispatch import RoundRobinBalancer
from medlarpass.dispatch import TwoChoicesBalancer

POOL = [Candidate(f"s{n}", slots=3) for n in range(4)]
ALL_POLICIES = [
    Balancer,
    RandomBalancer,
    RoundRobinBalancer,
    LeastInFlightBalancer,
    LeastReportedBalancer,
    TwoChoicesBalancer,
]


def make_balancer(clock: ManualClock, balancer_class: type[Balancer] = Balancer) -> Balancer:
    return balancer_class(BalancerSettings(), clock, random.Random(7))


def count_choices(balancer: Balancer, pool: list[Candidate], draws: int = 400) -> Counter[str]:
    """Count the choices for requests that end before the clock advances."""
    chosen = Counter[str]()
    for _ in range(draws):
        server = balancer.choose(pool).identity
        chosen[server] += 1
        attempt = balancer.started(server)
        del balancer.loads[server].attempts[attempt]
    return chosen


@pytest.mark.parametrize("balancer_class", ALL_POLICIES)
def test_excluded_server_is_never_chosen(balancer_class: type[Balancer]) -> None:
    balancer = make_balancer(ManualClock(), balancer_class)
    chosen = {balancer.choose(POOL, {"s1", "s2"}).identity for _ in range(100)}
    assert chosen == {"s0", "s3"}


@pytest.mark.parametrize("balancer_class", ALL_POLICIES)
@pytest.mark.parametrize("exclude", [{"s0", "s1", "s2", "s3"}, {"s0", "s1", "s2", "s3", "x"}])
def test_no_server_left_is_an_error_with_outcome(
    balancer_class: type[Balancer], exclude: set[str]
) -> None:
    with pytest.raises(NoServerError) as error:
        make_balancer(ManualClock(), balancer_class).choose(POOL, exclude)
    assert error.value.outcome.value == "not-run"


def test_full_server_gets_far_fewer_requests() -> None:
    balancer = make_balancer(ManualClock())
    for _ in range(3):
        balancer.started("s0")
    assert count_choices(balancer, POOL)["s0"] < 20


def test_peers_requests_count_until_their_report_is_old() -> None:
    clock = ManualClock()
    balancer = make_balancer(clock)
    balancer.record_peer_report("e2", {"s0": 3}, sent_at=0.0)
    assert count_choices(balancer, POOL)["s0"] < 20
    clock.advance(2.1)
    assert count_choices(balancer, POOL)["s0"] > 60


def test_reports_of_replaced_entries_are_dropped() -> None:
    balancer = make_balancer(ManualClock())
    for n in range(100):
        balancer.record_peer_report(f"e{n}", {"s0": 1}, sent_at=float(n))
    assert len(balancer.peers.reports) == 2


def test_older_report_of_a_peer_does_not_replace_a_newer_one() -> None:
    balancer = make_balancer(ManualClock(1.0))
    balancer.record_peer_report("e2", {"s0": 2}, sent_at=1.0)
    balancer.record_peer_report("e2", {"s0": 0}, sent_at=0.5)
    assert balancer.estimate_in_flight(POOL[0], None, 1.0) == 2.0


@pytest.mark.parametrize(
    ("reported", "own", "expected"),
    [(0, 2, 2.0), (None, 2, 2.0), (1000, 2, 3.0), (2, 2, 2.0), (1, 0, 1.0)],
)
def test_reported_load_is_a_bounded_hint(reported: int | None, own: int, expected: float) -> None:
    balancer = Balancer(BalancerSettings(hint_limit=1.0), ManualClock(), random.Random(7))
    for _ in range(own):
        balancer.started("s0")
    assert (
        balancer.estimate_in_flight(Candidate("s0", 3, reported_in_flight=reported), None, 0.0)
        == expected
    )


@pytest.mark.parametrize("reported", [0, 3, 1000])
def test_wrong_reported_load_changes_nothing_by_default(reported: int) -> None:
    expected = count_choices(make_balancer(ManualClock()), POOL)
    misreporting = [Candidate("s0", 3, reported_in_flight=reported), *POOL[1:]]
    assert count_choices(make_balancer(ManualClock()), misreporting) == expected


def test_report_counts_less_with_its_age_in_units_of_the_median_latency() -> None:
    balancer = make_balancer(ManualClock())
    balancer.record_peer_report("e2", {"s0": 2}, sent_at=0.0)
    estimates = [
        balancer.estimate_in_flight(POOL[0], 1.0, age) for age in (0.0, 0.1, 0.6, 1.9, 2.0)
    ]
    assert estimates == pytest.approx([2.0, 1.693, 0.736, 0.0843, 0.0], abs=0.001)


def test_servers_of_equal_load_are_used_in_turn() -> None:
    clock = ManualClock()
    balancer = make_balancer(clock)
    used = []
    for _ in range(12):
        clock.advance(1.0)
        used.append(balancer.choose(POOL).identity)
        balancer.finished(balancer.started(used[-1]))
    assert all(set(used[n : n + 4]) == {"s0", "s1", "s2", "s3"} for n in range(0, 12, 4))


def test_backoff_grows_with_refusals_and_ends_with_a_response() -> None:
    clock = ManualClock()
    balancer = make_balancer(clock)
    backoffs = []
    for _ in range(10):
        balancer.refused(balancer.started("s0"))
        backoffs.append(balancer.loads["s0"].backoff_until - clock.now())
        assert count_choices(balancer, POOL, 50)["s0"] == 0
        clock.advance(backoffs[-1])
    assert all(0.01 * 2**n <= backoff <= 0.02 * 2**n for n, backoff in enumerate(backoffs[:6]))
    assert max(backoffs) <= 2.0
    balancer.finished(balancer.started("s0"))
    assert balancer.loads["s0"].refusals == 0


def test_all_servers_in_backoff_still_gives_the_one_available_first() -> None:
    balancer = make_balancer(ManualClock())
    for candidate in POOL:
        for _ in range(1 if candidate.identity == "s2" else 3):
            balancer.refused(balancer.started(candidate.identity))
    assert balancer.choose(POOL).identity == "s2"


def test_frozen_server_loses_requests_without_any_response() -> None:
    clock = ManualClock()
    balancer = make_balancer(clock)
    for candidate in POOL * 5:
        attempt = balancer.started(candidate.identity)
        clock.advance(0.01)
        balancer.finished(attempt)
    balancer.started("s0")
    clock.advance(5.0)
    for candidate in POOL[1:]:
        balancer.started(candidate.identity)
    assert count_choices(balancer, POOL)["s0"] == 0


def test_slow_server_gets_fewer_requests() -> None:
    clock = ManualClock()
    balancer = make_balancer(clock)
    for candidate in POOL * 5:
        attempt = balancer.started(candidate.identity)
        clock.advance(0.1 if candidate.identity == "s0" else 0.01)
        balancer.finished(attempt)
    assert count_choices(balancer, POOL)["s0"] < 20


def test_server_that_was_slow_is_tried_again() -> None:
    clock = ManualClock()
    balancer = make_balancer(clock)
    for candidate in POOL * 5:
        attempt = balancer.started(candidate.identity)
        clock.advance(10.0 if candidate.identity == "s0" else 0.01)
        balancer.finished(attempt)
    assert count_choices(balancer, POOL)["s0"] == 0
    clock.advance(100.0)
    assert count_choices(balancer, POOL)["s0"] > 50


@pytest.mark.parametrize("end_method", ["finished", "refused", "abandoned"])
def test_an_attempt_ends_once(end_method: str) -> None:
    balancer = make_balancer(ManualClock())
    attempt = balancer.started("s0")
    other = balancer.started("s0")
    for _ in range(3):
        getattr(balancer, end_method)(attempt)
    assert balancer.own_report() == {"s0": 1}
    assert balancer.loads["s0"].refusals == (1 if end_method == "refused" else 0)
    balancer.forget("s0")
    balancer.finished(other)
    balancer.forget("s0")
    getattr(balancer, end_method)(attempt)
    assert balancer.own_report() == {}


def test_weight_reduces_the_share_and_zero_ends_it() -> None:
    pool = [Candidate("s0", 3, weight=0.1), Candidate("s1", 3, weight=0.0), *POOL[2:]]
    chosen = count_choices(make_balancer(ManualClock()), pool)
    assert chosen["s1"] == 0
    assert chosen["s0"] < 40
