"""Token budget that bounds the load added by retries."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from medlarpass.dispatch.events import RETRY_BUDGET_EMPTY

if TYPE_CHECKING:
    from medlarpass.clock import Clock
    from medlarpass.dispatch.settings import RetryBudgetSettings

# Buckets per window. The oldest bucket is only partly within the window; its retries are counted
# and its requests are not, so that the bound holds.
BUCKET_COUNT = 10
# Tolerance for floating-point rounding, so that ten deposits of 0.1 add up to a whole token.
ROUNDING_TOLERANCE = 1e-9


class Bucket:
    """Requests, retries and unused tokens of one time bucket."""

    __slots__ = ("requests", "retries", "started_at", "tokens")

    def __init__(self, started_at: float) -> None:
        self.started_at = started_at
        self.requests = 0
        self.retries = 0
        self.tokens = 0.0


class RetryBudget:
    """Retry tokens of one route: a request deposits a fraction of a token, a retry takes one.

    The method is that of Finagle's ``RetryBudget``, without its minimum rate of retries, which
    would break the bound at low load. Over any period, retries are at most ``ratio`` times the
    requests. Tokens expire, so that a long healthy period does not pay for a burst of retries. A
    second bound holds within each short window: without it, the tokens saved up over
    ``token_lifetime`` doubled the load of a pool in the first second of its failure.

    :param settings: settings of the policy
    :param clock: source of time
    :param route: name of the route, for log events
    """

    __slots__ = ("buckets", "clock", "is_exhausted", "route", "settings")

    def __init__(self, settings: RetryBudgetSettings, clock: Clock, route: str = "") -> None:
        self.route = route
        self.settings = settings
        self.clock = clock
        self.buckets: deque[Bucket] = deque()
        self.is_exhausted = False

    def request_started(self) -> None:
        """Deposit the tokens of a first attempt."""
        bucket = self._current_bucket()
        bucket.requests += 1
        bucket.tokens += self.settings.ratio

    def balance(self) -> float:
        """Return the number of tokens that have not expired."""
        self._expire()
        return sum(bucket.tokens for bucket in self.buckets)

    def try_withdraw(self) -> bool:
        """Withdraw the token of one retry if the budget allows it."""
        if self.balance() < 1.0 - ROUNDING_TOLERANCE or not self._fits_ratio_in_window():
            if not self.is_exhausted:
                RETRY_BUDGET_EMPTY.log(route=self.route)
            self.is_exhausted = True
            return False
        self.is_exhausted = False
        self._current_bucket().retries += 1
        needed = 1.0
        for bucket in self.buckets:
            taken = min(bucket.tokens, needed)
            bucket.tokens -= taken
            needed -= taken
        return True

    def _fits_ratio_in_window(self) -> bool:
        """Return whether one more retry stays within the ratio in the current window.

        One retry per window is always allowed; a route with few requests would never get any.
        """
        window_start = self.clock.now() - self.settings.window - ROUNDING_TOLERANCE
        requests = retries = 0
        for bucket in reversed(self.buckets):
            if bucket.started_at < window_start - self.settings.window / BUCKET_COUNT:
                break
            retries += bucket.retries
            if bucket.started_at >= window_start:
                requests += bucket.requests
        return retries + 1 <= max(self.settings.ratio * requests + ROUNDING_TOLERANCE, 1.0)

    def _current_bucket(self) -> Bucket:
        now = self.clock.now()
        if (
            not self.buckets
            or now - self.buckets[-1].started_at >= self.settings.window / BUCKET_COUNT
        ):
            self._expire()
            self.buckets.append(Bucket(now))
        return self.buckets[-1]

    def _expire(self) -> None:
        now = self.clock.now()
        while self.buckets and now - self.buckets[0].started_at >= self.settings.token_lifetime:
            self.buckets.popleft()
