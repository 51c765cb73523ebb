"""Admission state of one route."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.dispatch import DeadlineQueue
from medlarpass.dispatch import QueueSettings
from medlarpass.dispatch import RetryBudget
from medlarpass.dispatch import RetryBudgetSettings
from medlarpass.dispatch import RetryPolicy
from medlarpass.dispatch import RetrySettings

if TYPE_CHECKING:
    import asyncio

    from medlarpass import Clock
    from medlarpass.tables import Route


class RouteState:
    """Requests in flight, queued requests and the retry policy of a route.

    :param route: the route in force
    :param clock: source of time
    :param retry_budget_settings: settings of the retry budget
    """

    __slots__ = ("in_flight", "queue", "retry_policy", "route")

    def __init__(
        self, route: Route, clock: Clock, retry_budget_settings: RetryBudgetSettings
    ) -> None:
        self.route = route
        self.in_flight = 0
        self.queue: DeadlineQueue[asyncio.Future[None]] = DeadlineQueue(
            QueueSettings(limit=route.queue), clock
        )
        self.retry_policy = RetryPolicy(
            RetrySettings(max_attempts=route.max_attempts),
            RetryBudget(retry_budget_settings, clock, route.name),
        )

    @property
    def has_capacity(self) -> bool:
        """Whether the concurrency limit of the route allows another request."""
        return self.in_flight < self.route.concurrency

    def update(self, route: Route) -> None:
        """Apply a newer version of the route."""
        self.route = route
        self.queue.settings = QueueSettings(limit=route.queue)
        self.retry_policy.settings = RetrySettings(max_attempts=route.max_attempts)
