"""Bound on the load that retries add."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from medlarpass.dispatch.events import RETRY_BUDGET_EMPTY

if TYPE_CHECKING:
    from medlarpass.clock import Clock
    from medlarpass.dispatch.settings import RetryBudgetSettings

# Allowances of one tenth of the term are kept together.
PARTS = 10


class RetryBudget:
    """Tokens of one route: each request deposits a part of a token, each retry takes a whole one.

    The method is that of Finagle's ``RetryBudget``, without its minimum rate of retries, which
    would break the bound at low load. Over any time, retries are at most ``ratio`` times the
    requests. Tokens expire, so that a long healthy time does not pay for a burst of retries.

    :param settings: settings of the policy
    :param clock: source of time
    """

    __slots__ = ("clock", "deposits", "is_empty", "settings")

    def __init__(self, settings: RetryBudgetSettings, clock: Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.deposits: deque[list[float]] = deque()
        self.is_empty = False

    def request_started(self) -> None:
        """Deposit the allowance of a first attempt."""
        now = self.clock.now()
        span = self.settings.term / PARTS
        if not self.deposits or now - self.deposits[-1][0] >= span:
            self._expire(now)
            self.deposits.append([now, 0.0])
        self.deposits[-1][1] += self.settings.ratio

    def balance(self) -> float:
        """Return the number of retries allowed now."""
        self._expire(self.clock.now())
        return sum(tokens for _, tokens in self.deposits)

    def try_withdraw(self, route: str = "") -> bool:
        """Take the allowance of one retry if there is one.

        :param route: name of the route for the log
        """
        # Sums of tenths fall short of a whole by rounding; the tolerance makes ten of them a token.
        if self.balance() < 1.0 - 1e-9:
            if not self.is_empty:
                RETRY_BUDGET_EMPTY.log(route=route)
            self.is_empty = True
            return False
        self.is_empty = False
        missing = 1.0
        for deposit in self.deposits:
            taken = min(deposit[1], missing)
            deposit[1] -= taken
            missing -= taken
        return True

    def _expire(self, now: float) -> None:
        while self.deposits and now - self.deposits[0][0] >= self.settings.term:
            self.deposits.popleft()
