"""Guards against orders that run twice and answers that are sent twice."""

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

N, R, U = Outcome.NOT_RUN, Outcome.RUN, Outcome.UNKNOWN
YES, UNSAFE = RetryDecision.RETRY, RetryDecision.NOT_SAFE


def policy(tokens: int = 1) -> RetryPolicy:
    budget = RetryBudget(RetryBudgetSettings(), ManualClock())
    for _ in range(10 * tokens):
        budget.request_started()
    return RetryPolicy(RetrySettings(), budget)


@pytest.mark.parametrize(
    ("kind", "outcome", "expected"),
    [
        (Enquiry(), N, YES),
        (Enquiry(), U, YES),
        (Enquiry(), R, UNSAFE),
        (Order(), N, YES),
        (Order(), U, UNSAFE),
        (Order(), R, UNSAFE),
        (Download(), N, YES),
        (Download(), U, YES),
        (Download(), R, UNSAFE),
        (Download(answer_begun=True), N, UNSAFE),
        (Download(answer_begun=True), U, UNSAFE),
        (RequestKind(), N, UNSAFE),
    ],
)
def test_safety_by_class_and_outcome(
    kind: RequestKind, outcome: Outcome, expected: RetryDecision
) -> None:
    subject = policy()
    assert subject.decide(kind, outcome, attempts=1, remaining=1.0) is expected
    assert subject.budget.balance() == pytest.approx(0.0 if expected is YES else 1.0)


@pytest.mark.parametrize(
    ("tokens", "attempts", "remaining", "expected"),
    [
        (1, 2, 1.0, YES),
        (1, 3, 1.0, RetryDecision.ATTEMPTS_USED),
        (1, 1, 0.001, RetryDecision.NO_TIME),
        (1, 1, -1.0, RetryDecision.NO_TIME),
        (0, 1, 1.0, RetryDecision.NO_BUDGET),
    ],
)
def test_limits(tokens: int, attempts: int, remaining: float, expected: RetryDecision) -> None:
    assert policy(tokens).decide(Enquiry(), N, attempts, remaining) is expected


@pytest.mark.parametrize("request_class", list(RequestClass))
def test_every_class_has_a_kind(request_class: RequestClass) -> None:
    assert kind_of(request_class).request_class is request_class
