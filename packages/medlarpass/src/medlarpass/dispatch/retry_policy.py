"""Decision whether a request is retried."""

from __future__ import annotations

from enum import Enum
from functools import singledispatch
from typing import TYPE_CHECKING

from medlarpass.dispatch.request_kinds import Download
from medlarpass.dispatch.request_kinds import Enquiry
from medlarpass.dispatch.request_kinds import Order
from medlarpass.dispatch.request_kinds import RequestKind
from medlarpass.outcome import Outcome

if TYPE_CHECKING:
    from medlarpass.dispatch.retry_budget import RetryBudget
    from medlarpass.dispatch.settings import RetrySettings


class RetryDecision(Enum):
    """Whether to retry, or the reason against it."""

    RETRY = "retry"
    NOT_SAFE = "not-safe"
    ATTEMPTS_USED = "attempts-used"
    NO_TIME = "no-time"
    NO_BUDGET = "no-budget"


@singledispatch
def is_safe_to_retry(kind: RequestKind, outcome: Outcome) -> bool:
    """Return whether a retry is safe after an attempt with this outcome.

    A request class without a rule of its own is never retried.
    """
    return False


@is_safe_to_retry.register
def _(kind: Enquiry, outcome: Outcome) -> bool:
    return outcome is not Outcome.RUN


@is_safe_to_retry.register
def _(kind: Order, outcome: Outcome) -> bool:
    return outcome is Outcome.NOT_RUN


@is_safe_to_retry.register
def _(kind: Download, outcome: Outcome) -> bool:
    return outcome is not Outcome.RUN and not kind.response_started


class RetryPolicy:
    """Checks safety, the attempt limit, the deadline and the retry budget, in this order.

    :param settings: settings of the policy
    :param budget: retry budget of the route
    """

    __slots__ = ("budget", "settings")

    def __init__(self, settings: RetrySettings, budget: RetryBudget) -> None:
        self.settings = settings
        self.budget = budget

    def decide(
        self, kind: RequestKind, outcome: Outcome, attempts: int, remaining: float
    ) -> RetryDecision:
        """Decide on a retry; ``RETRY`` has withdrawn its token from the budget.

        :param outcome: outcome of the latest attempt
        :param attempts: attempts made so far
        :param remaining: seconds until the deadline
        """
        if not is_safe_to_retry(kind, outcome):
            return RetryDecision.NOT_SAFE
        if attempts >= self.settings.max_attempts:
            return RetryDecision.ATTEMPTS_USED
        if remaining < self.settings.min_remaining:
            return RetryDecision.NO_TIME
        if not self.budget.try_withdraw():
            return RetryDecision.NO_BUDGET
        return RetryDecision.RETRY
