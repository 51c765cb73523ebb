"""Bound on the load that retries add."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from medlarpass.dispatch.events import RETRY_BUDGET_EMPTY

if TYPE_CHECKING:
    from medlarpass.clock import Clock
    from medlarpass.dispatch.settings import RetryBudgetSettings

# Parts per window. The oldest part lies within the window only partly; its retries are counted
# and its requests are not, so that the bound holds.
PARTS = 10
# Sums of fractions fall short of a whole by rounding; with the tolerance ten tenths make a token.
TOLERANCE = 1e-9


class Part:
    """Requests, retries and unused tokens of a part of a window."""

    __slots__ = ("begun_at", "requests", "retries", "tokens")

    def __init__(self, begun_at: float) -> None:
        self.begun_at = begun_at
        self.requests = 0
        self.retries = 0
        self.tokens = 0.0


class RetryBudget:
    """Tokens of one route: each request deposits a part of a token, each retry takes a whole one.

    The method is that of Finagle's ``RetryBudget``, without its minimum rate of retries, which
    would break the bound at low load. Over any time, retries are at most ``ratio`` times the
    requests. Tokens expire, so that a long healthy time does not pay for many retries. A second
    bound holds within each short window: without it, the tokens of ``term`` doubled the load of
    a pool in the first second of its failure.

    :param settings: settings of the policy
    :param clock: source of time
    :param route: name of the route for the log
    """

    __slots__ = ("clock", "is_empty", "parts", "route", "settings")

    def __init__(self, settings: RetryBudgetSettings, clock: Clock, route: str = "") -> None:
        self.route = route
        self.settings = settings
        self.clock = clock
        self.parts: deque[Part] = deque()
        self.is_empty = False

    def request_started(self) -> None:
        """Deposit the allowance of a first attempt."""
        part = self._present_part()
        part.requests += 1
        part.tokens += self.settings.ratio

    def balance(self) -> float:
        """Return the tokens that have not expired."""
        self._expire()
        return sum(part.tokens for part in self.parts)

    def try_withdraw(self) -> bool:
        """Take the allowance of one retry if there is one."""
        if self.balance() < 1.0 - TOLERANCE or not self._fits_window():
            if not self.is_empty:
                RETRY_BUDGET_EMPTY.log(route=self.route)
            self.is_empty = True
            return False
        self.is_empty = False
        self._present_part().retries += 1
        missing = 1.0
        for part in self.parts:
            taken = min(part.tokens, missing)
            part.tokens -= taken
            missing -= taken
        return True

    def _fits_window(self) -> bool:
        """Return whether one more retry keeps the ratio in the newest window.

        One retry is always allowed, because a route with few requests would never get any.
        """
        begin = self.clock.now() - self.settings.window - TOLERANCE
        requests = retries = 0
        for part in reversed(self.parts):
            if part.begun_at < begin - self.settings.window / PARTS:
                break
            retries += part.retries
            if part.begun_at >= begin:
                requests += part.requests
        return retries + 1 <= max(self.settings.ratio * requests + TOLERANCE, 1.0)

    def _present_part(self) -> Part:
        now = self.clock.now()
        if not self.parts or now - self.parts[-1].begun_at >= self.settings.window / PARTS:
            self._expire()
            self.parts.append(Part(now))
        return self.parts[-1]

    def _expire(self) -> None:
        now = self.clock.now()
        while self.parts and now - self.parts[0].begun_at >= self.settings.term:
            self.parts.popleft()
