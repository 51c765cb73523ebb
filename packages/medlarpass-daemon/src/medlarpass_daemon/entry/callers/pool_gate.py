"""Admits the share of the requests for a pool that control allows."""

from __future__ import annotations

import random

from typing import TYPE_CHECKING
from typing import Protocol

from medlarpass_daemon.entry.callers.caller_request import OrderRequest
from medlarpass_daemon.entry.callers.early_returns import EarlyReturns
from medlarpass_daemon.entry.callers.exceptions import PoolOverloadedError

if TYPE_CHECKING:
    from medlarpass import Clock
    from medlarpass.rpc import fleet_pb2
    from medlarpass_daemon.entry.callers.caller_request import CallerRequest
    from medlarpass_daemon.entry.callers.dialect import Dialect
    from medlarpass_daemon.entry.callers.metrics import CallersMetrics

#: Reasons of refusals in the metrics.
BEYOND_SHARE = "share"
EARLY_RETURN = "early"


class PoolLimits(Protocol):
    """Limits of the pools according to control."""

    def admission_of(self, pool: str, priority: int) -> fleet_pb2.PoolAdmission | None:
        """Return the limit of a pool for a priority; None if there is none."""
        ...


class PoolGate:
    """Refuses requests beyond the admitted share before they take a place in any queue.

    A caller who repeats a refused request earlier than told is refused again, and not counted as
    demand: the share of those who wait as told stays the same.

    :param limits: limits according to control
    :param clock: source of time
    :param metrics: counts the refusals
    :param dialect: finds idempotency keys
    """

    __slots__ = ("credits", "dialect", "early_returns", "limits", "metrics")

    def __init__(
        self, limits: PoolLimits, clock: Clock, metrics: CallersMetrics, dialect: Dialect
    ) -> None:
        self.limits = limits
        self.metrics = metrics
        self.dialect = dialect
        self.early_returns = EarlyReturns(clock)
        #: Fraction of an admitted request that is left over, by pool and priority.
        self.credits: dict[tuple[str, int], float] = {}

    def is_early(self, request: CallerRequest) -> bool:
        """Return whether a refused request comes back earlier than told during a limit."""
        return (
            self.early_returns.remaining(request) > 0
            and self.limits.admission_of(request.pool.name, request.route.priority) is not None
        )

    def check(self, request: CallerRequest) -> None:
        """Check that a request may go on to the servers.

        :raises PoolOverloadedError: the request is beyond the admitted share, or comes too early
        """
        pool, priority = request.pool.name, request.route.priority
        limit = self.limits.admission_of(pool, priority)
        if limit is None:
            self.credits.pop((pool, priority), None)
            return
        remaining = self.early_returns.remaining(request)
        if remaining > 0:
            self._refuse(request, remaining, EARLY_RETURN)
        # Adding up shares spreads the admitted requests evenly; entries start at different points.
        credit = self.credits.get((pool, priority), random.random()) + limit.admitted / 1000
        self.credits[pool, priority] = credit % 1.0
        if credit < 1.0:
            retry_after = limit.retry_after_ms / 1000
            self.early_returns.record_refusal(request, retry_after)
            self._refuse(request, retry_after, BEYOND_SHARE)

    def _refuse(self, request: CallerRequest, retry_after: float, reason: str) -> None:
        pool = request.pool.name
        self.metrics.pool_refusals.labels(pool, reason).inc()
        if isinstance(request, OrderRequest):
            # An earlier request with the same idempotency key may have run the order.
            key = self.dialect.idempotency_key_of(request.web.headers)
            request.may_have_run = key is not None
        raise PoolOverloadedError(
            f"pool {pool} is asked for more than it can serve ({reason})", retry_after
        )
