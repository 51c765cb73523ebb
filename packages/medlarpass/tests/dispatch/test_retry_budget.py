"""Guards against retries that multiply the load of a failing pool."""

from __future__ import annotations

import pytest

from hypothesis import given
from hypothesis import strategies as st

from medlarpass import ManualClock
from medlarpass.dispatch import RetryBudget
from medlarpass.dispatch import RetryBudgetSettings


@pytest.mark.parametrize("requests", [0, 1, 9, 10, 99, 100, 1000])
def test_failing_pool_gets_a_tenth_more_load_at_most(requests: int) -> None:
    clock = ManualClock()
    budget = RetryBudget(RetryBudgetSettings(), clock)
    retries = 0
    for _ in range(requests):
        budget.request_started()
        clock.advance(0.001)
        retries += budget.try_withdraw()
    assert retries == requests // 10


@given(st.lists(st.tuples(st.booleans(), st.floats(0.0, 3.0)), max_size=200))
def test_no_pattern_of_load_breaks_the_bound(steps: list[tuple[bool, float]]) -> None:
    clock = ManualClock()
    budget = RetryBudget(RetryBudgetSettings(ratio=0.3), clock)
    requests = retries = 0
    for is_request, pause in steps:
        clock.advance(pause)
        if is_request:
            budget.request_started()
            requests += 1
        else:
            retries += budget.try_withdraw()
        assert retries <= 0.3 * requests + 1e-6


def test_tokens_of_a_healthy_hour_do_not_pay_for_a_burst() -> None:
    clock = ManualClock()
    budget = RetryBudget(RetryBudgetSettings(), clock)
    for _ in range(3600):
        budget.request_started()
        clock.advance(1.0)
    assert budget.balance() <= 1.0
    clock.advance(10.0)
    assert not budget.try_withdraw()


def test_first_second_of_a_failure_after_a_healthy_time_stays_within_the_bound() -> None:
    clock = ManualClock()
    budget = RetryBudget(RetryBudgetSettings(), clock)
    retries = 0
    for n in range(4000):
        budget.request_started()
        clock.advance(0.005)
        if n >= 3800:
            retries += budget.try_withdraw()
            retries += budget.try_withdraw()
    assert 18 <= retries <= 20


def test_route_with_few_requests_still_gets_retries() -> None:
    clock = ManualClock()
    budget = RetryBudget(RetryBudgetSettings(), clock)
    retries = 0
    for _ in range(200):
        budget.request_started()
        clock.advance(0.5)
        retries += budget.try_withdraw()
    assert retries == 20
