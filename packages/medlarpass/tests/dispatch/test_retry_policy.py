"""Guards against orders that run twice and responses that are sent twice."""

from __future__ import annotations

import pytest

from medlarpass import ManualClock
from medlarpass import Outcome
from medlarpass.dispatch import Download
from medlarpass.dispatch import Enquiry
from medlarpass.dispatch import Order
from medlarpass.dispatch import RequestClass
from medlarpass.dispatch import RequestKind
from medlarpass.dispatch import RetryBudget
from medlarpass.dispatch import RetryBudgetSettings
from medlarpass.dispatch import RetryDecision
from medlarpass.dispatch import RetryPolicy
from medlarpass.dispatch import RetrySettings
from medlarpass.dispatch import kind_of

NOT_RUN, RUN, UNKNOWN = Outcome.NOT_RUN, Outcome.RUN, Outcome.UNKNOWN
RETRY, NOT_SAFE = RetryDecision.RETRY, RetryDecision.NOT_SAFE


def make_policy(tokens: int = 1) -> RetryPolicy:
    budget = RetryBudget(RetryBudgetSettings(), ManualClock())
    for _ in range(10 * tokens):
        budget.request_started()
    return RetryPolicy(RetrySettings(), budget)


@pytest.mark.parametrize(
    ("kind", "outcome", "expected"),
    [
        (Enquiry(), NOT_RUN, RETRY),
        (Enquiry(), UNKNOWN, RETRY),
        (Enquiry(), RUN, NOT_SAFE),
        (Order(), NOT_RUN, RETRY),
        (Order(), UNKNOWN, NOT_SAFE),
        (Order(), RUN, NOT_SAFE),
        (Download(), NOT_RUN, RETRY),
        (Download(), UNKNOWN, RETRY),
        (Download(), RUN, NOT_SAFE),
        (Download(response_started=True), NOT_RUN, NOT_SAFE),
        (Download(response_started=True), UNKNOWN, NOT_SAFE),
        (RequestKind(), NOT_RUN, NOT_SAFE),
    ],
)
def test_safety_by_class_and_outcome(
    kind: RequestKind, outcome: Outcome, expected: RetryDecision
) -> None:
    policy = make_policy()
    assert policy.decide(kind, outcome, attempts=1, remaining=1.0) is expected
    assert policy.budget.balance() == pytest.approx(0.0 if expected is RETRY else 1.0)


@pytest.mark.parametrize(
    ("tokens", "attempts", "remaining", "expected"),
    [
        (1, 2, 1.0, RETRY),
        (1, 3, 1.0, RetryDecision.ATTEMPTS_USED),
        (1, 1, 0.001, RetryDecision.NO_TIME),
        (1, 1, -1.0, RetryDecision.NO_TIME),
        (0, 1, 1.0, RetryDecision.NO_BUDGET),
    ],
)
def test_attempts_deadline_and_budget_limit_retries(
    tokens: int, attempts: int, remaining: float, expected: RetryDecision
) -> None:
    assert make_policy(tokens).decide(Enquiry(), NOT_RUN, attempts, remaining) is expected


@pytest.mark.parametrize("request_class", list(RequestClass))
def test_every_class_has_a_kind(request_class: RequestClass) -> None:
    assert kind_of(request_class).request_class is request_class
