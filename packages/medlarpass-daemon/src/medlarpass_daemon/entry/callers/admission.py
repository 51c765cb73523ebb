"""Admission control: concurrency limits per route and fair sharing between routes."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING

from medlarpass.dispatch import FairShare
from medlarpass.dispatch import RetryBudgetSettings
from medlarpass.dispatch import RouteShare
from medlarpass_daemon.entry.callers.exceptions import DeadlineExceededError
from medlarpass_daemon.entry.callers.exceptions import EntryStoppingError
from medlarpass_daemon.entry.callers.route_state import RouteState

if TYPE_CHECKING:
    from collections.abc import Set

    from medlarpass import Clock
    from medlarpass.tables import Route


class Admission:
    """Admits requests, queues them by deadline, or rejects them early.

    :param capacity: maximum number of concurrent requests of all routes
    :param clock: source of time
    :param retry_budget_settings: settings of the retry budgets of the routes
    """

    __slots__ = ("clock", "fair_share", "queued", "retry_budget_settings", "routes")

    def __init__(
        self, capacity: int, clock: Clock, retry_budget_settings: RetryBudgetSettings | None = None
    ) -> None:
        self.clock = clock
        self.routes: dict[str, RouteState] = {}
        self.fair_share = FairShare(capacity, ())
        self.queued = 0
        self.retry_budget_settings = retry_budget_settings or RetryBudgetSettings()

    def state_of(self, route: Route) -> RouteState:
        """Return the state of a route; create or update it if needed."""
        state = self.routes.get(route.name)
        if state is None:
            state = RouteState(route, self.clock, self.retry_budget_settings)
            self.routes[route.name] = state
            self._rebuild_fair_share()
        elif state.route is not route:
            has_new_class = state.route.request_class is not route.request_class
            state.update(route)
            if has_new_class:
                self._rebuild_fair_share()
        return state

    def retain(self, names: Set[str]) -> None:
        """Drop the state of deleted routes that have no requests.

        :param names: names of the routes in force
        """
        deleted = [
            name
            for name, state in self.routes.items()
            if name not in names and not state.in_flight and not state.queue
        ]
        for name in deleted:
            del self.routes[name]
        if deleted:
            self._rebuild_fair_share()

    async def admit(self, route: Route, deadline: float) -> RouteState:
        """Count a request as in flight, immediately or after a wait; pair with ``release``.

        :raises QueueFullError: when the queue of the route is full
        :raises DeadlineTooCloseError: when the expected wait exceeds the deadline
        :raises DeadlineExceededError: when the deadline passed during the wait
        """
        state = self.state_of(route)
        if not state.queue and state.has_capacity and self.fair_share.try_start(route.name):
            state.in_flight += 1
        else:
            await self._wait(state, deadline)
        state.retry_policy.budget.request_started()
        return state

    def release(self, state: RouteState) -> None:
        """Count a request as ended and admit waiting requests."""
        state.in_flight -= 1
        self.fair_share.finished(state.route.name)
        if self.queued:
            self._admit_waiting()

    def reject_waiting(self) -> None:
        """Refuse all requests that wait, since this entry ends."""
        for state in self.routes.values():
            while (waiter := state.queue.pop()) is not None:
                self.queued -= 1
                if not waiter.done():
                    waiter.set_exception(EntryStoppingError("this entry ends"))

    async def _wait(self, state: RouteState, deadline: float) -> None:
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        ticket = state.queue.push(waiter, deadline)
        self.queued += 1
        try:
            async with asyncio.timeout(max(deadline - self.clock.now(), 0)):
                await waiter
        except BaseException as error:
            if state.queue.remove(ticket) is not None:
                self.queued -= 1
            elif waiter.done() and not waiter.cancelled() and waiter.exception() is None:
                # The request was admitted at the same moment; admit the next one instead.
                self.release(state)
            if isinstance(error, TimeoutError):
                raise DeadlineExceededError(
                    "the deadline passed while the request was queued"
                ) from error
            raise

    def _admit_waiting(self) -> None:
        while True:
            ready = [
                name for name, state in self.routes.items() if state.queue and state.has_capacity
            ]
            name = self.fair_share.next_route(ready)
            if name is None:
                return
            self._admit_next(self.routes[name])

    def _admit_next(self, state: RouteState) -> None:
        for expired in state.queue.pop_expired():
            self.queued -= 1
            if not expired.done():
                expired.set_exception(
                    DeadlineExceededError("the deadline passed while the request was queued")
                )
        waiter = state.queue.pop()
        if waiter is None:
            return
        self.queued -= 1
        if waiter.done():
            return
        self.fair_share.try_start(state.route.name)
        state.in_flight += 1
        waiter.set_result(None)

    def _rebuild_fair_share(self) -> None:
        previous = self.fair_share
        self.fair_share = FairShare(
            previous.capacity,
            [
                RouteShare(state.route.name, state.route.request_class)
                for state in self.routes.values()
            ],
        )
        self.fair_share.carry_over(previous)
