"""Decision whether a request gets a further attempt."""

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
    """Whether to try again, or why not."""

    RETRY = "retry"
    NOT_SAFE = "not-safe"
    ATTEMPTS_USED = "attempts-used"
    NO_TIME = "no-time"
    NO_BUDGET = "no-budget"


@singledispatch
def is_safe(kind: RequestKind, outcome: Outcome) -> bool:
    """Return whether a further attempt can do no harm after an attempt with this outcome.

    A class without a rule of its own is never sent again.
    """
    return False


@is_safe.register
def _(kind: Enquiry, outcome: Outcome) -> bool:
    return outcome is not Outcome.RUN


@is_safe.register
def _(kind: Order, outcome: Outcome) -> bool:
    return outcome is Outcome.NOT_RUN


@is_safe.register
def _(kind: Download, outcome: Outcome) -> bool:
    return outcome is not Outcome.RUN and not kind.answer_begun


class RetryPolicy:
    """Applies safety, attempts, deadline and budget, in this order.

    :param settings: settings of the policy
    :param budget: budget of the route
    """

    __slots__ = ("budget", "settings")

    def __init__(self, settings: RetrySettings, budget: RetryBudget) -> None:
        self.settings = settings
        self.budget = budget

    def decide(
        self, kind: RequestKind, outcome: Outcome, attempts: int, remaining: float
    ) -> RetryDecision:
        """Decide on a further attempt; ``RETRY`` has taken its allowance from the budget.

        :param outcome: outcome of the newest attempt
        :param attempts: attempts made so far
        :param remaining: seconds until the deadline
        """
        if not is_safe(kind, outcome):
            return RetryDecision.NOT_SAFE
        if attempts >= self.settings.attempts:
            return RetryDecision.ATTEMPTS_USED
        if remaining < self.settings.least_remaining:
            return RetryDecision.NO_TIME
        if not self.budget.try_withdraw():
            return RetryDecision.NO_BUDGET
        return RetryDecision.RETRY
