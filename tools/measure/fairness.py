"""Queueing times of requests of several routes at one overloaded entry."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from medlarpass.dispatch import DeadlineQueue
from medlarpass.dispatch import DispatchError
from medlarpass.dispatch import FairShare
from medlarpass.dispatch import QueueSettings
from medlarpass.dispatch import RouteShare
from medlarpass.tables import RequestClass
from tools.measure.event_loop import EventLoop
from tools.measure.figures import lognormal
from tools.measure.figures import mean
from tools.measure.figures import percentile
from tools.measure.registry import section
from tools.measure.row import Row

if TYPE_CHECKING:
    from collections.abc import Iterable

    from tools.measure.options import Options

MAX_CONCURRENT_REQUEST_COUNT = 40
ROUTE_SHARES = (
    RouteShare("artwork", RequestClass.DOWNLOAD, 1.0),
    RouteShare("dispatch", RequestClass.ORDER, 2.0),
    RouteShare("stock", RequestClass.ENQUIRY, 1.0),
)
MEAN_RUN_TIME_SECONDS = {"artwork": 2.0, "dispatch": 0.06, "stock": 0.005}
RUN_TIME_SIGMAS = {"artwork": 0.8, "dispatch": 0.5, "stock": 0.3}
REQUEST_TIMEOUT_SECONDS = {"artwork": 30.0, "dispatch": 1.0, "stock": 0.3}
# Offered concurrency (requests per second times mean run time) by route.
OFFERED_CONCURRENCY_BY_CASE = {
    "usual load": {"artwork": 6.0, "dispatch": 8.0, "stock": 3.0},
    "flood of downloads": {"artwork": 80.0, "dispatch": 8.0, "stock": 3.0},
    "peak of orders": {"artwork": 4.0, "dispatch": 25.0, "stock": 3.0},
    "flood of all": {"artwork": 80.0, "dispatch": 60.0, "stock": 20.0},
    "short deadlines": {"artwork": 80.0, "dispatch": 60.0, "stock": 20.0},
}
# Factor on the timeouts in the case of short deadlines; orders then have 150 ms.
SHORT_TIMEOUT_RATIO = 0.15


class QueuedRequest:
    """A request that waits for admission.

    :param timeout_ratio: factor on the timeout of the route
    """

    __slots__ = ("arrived_at", "deadline", "route", "run_time")

    def __init__(
        self, route: str, arrived_at: float, run_time: float, timeout_ratio: float
    ) -> None:
        self.route = route
        self.arrived_at = arrived_at
        self.deadline = arrived_at + REQUEST_TIMEOUT_SECONDS[route] * timeout_ratio
        self.run_time = run_time


class Admission:
    """Admission of requests by one policy.

    :ivar arrival_counts: arrived requests by route
    :ivar waits: seconds that admitted requests waited, by route
    :ivar refused_waits: seconds until refused and expired requests were dropped, by route
    """

    __slots__ = ("arrival_counts", "loop", "refused_waits", "waits")

    def __init__(self, loop: EventLoop) -> None:
        self.loop = loop
        routes = [share.route for share in ROUTE_SHARES]
        self.arrival_counts = dict.fromkeys(routes, 0)
        self.waits: dict[str, list[float]] = {route: [] for route in routes}
        self.refused_waits: dict[str, list[float]] = {route: [] for route in routes}

    def arrive(self, request: QueuedRequest) -> None:
        """Start or queue a request."""
        self.arrival_counts[request.route] += 1
        if not self.enqueue(request):
            self.refused_waits[request.route].append(0.0)
        self.start_queued()

    def start_queued(self) -> None:
        """Start all queued requests that may start now."""
        while (request := self.start_next()) is not None:
            now = self.loop.now()
            if now >= request.deadline:
                self.release(request.route)
                self.refused_waits[request.route].append(now - request.arrived_at)
                continue
            self.waits[request.route].append(now - request.arrived_at)
            self.loop.after(request.run_time, lambda route=request.route: self._finish(route))  # type: ignore[misc]

    def _finish(self, route: str) -> None:
        self.release(route)
        self.start_queued()

    def enqueue(self, request: QueuedRequest) -> bool:
        """Add a request to its queue; return whether it was accepted."""
        raise NotImplementedError

    def start_next(self) -> QueuedRequest | None:
        """Return the next request to start, counted as running, if any."""
        raise NotImplementedError

    def release(self, route: str) -> None:
        """Count a request of the route as ended."""
        raise NotImplementedError


class SharedQueueAdmission(Admission):
    """One first-in, first-out queue for all routes."""

    __slots__ = ("in_flight", "queue")

    def __init__(self, loop: EventLoop) -> None:
        super().__init__(loop)
        self.queue: deque[QueuedRequest] = deque()
        self.in_flight = 0

    def enqueue(self, request: QueuedRequest) -> bool:
        """Add a request unless the queue is full."""
        if len(self.queue) >= QueueSettings().limit * len(ROUTE_SHARES):
            return False
        self.queue.append(request)
        return True

    def start_next(self) -> QueuedRequest | None:
        """Return the oldest request if the capacity allows it."""
        if not self.queue or self.in_flight >= MAX_CONCURRENT_REQUEST_COUNT:
            return None
        self.in_flight += 1
        return self.queue.popleft()

    def release(self, route: str) -> None:
        """Count a request as ended."""
        self.in_flight -= 1


class FixedShareAdmission(Admission):
    """A fixed share of the capacity and a first-in, first-out queue for each route."""

    __slots__ = ("free_capacities", "queues")

    def __init__(self, loop: EventLoop) -> None:
        super().__init__(loop)
        total = sum(share.weight for share in ROUTE_SHARES)
        self.free_capacities = {
            share.route: int(MAX_CONCURRENT_REQUEST_COUNT * share.weight / total)
            for share in ROUTE_SHARES
        }
        self.queues: dict[str, deque[QueuedRequest]] = {
            route: deque() for route in self.free_capacities
        }

    def enqueue(self, request: QueuedRequest) -> bool:
        """Add a request unless the queue of its route is full."""
        queue = self.queues[request.route]
        if len(queue) >= QueueSettings().limit:
            return False
        queue.append(request)
        return True

    def start_next(self) -> QueuedRequest | None:
        """Return the oldest request of a route with free capacity."""
        for route, queue in self.queues.items():
            if queue and self.free_capacities[route] > 0:
                self.free_capacities[route] -= 1
                return queue.popleft()
        return None

    def release(self, route: str) -> None:
        """Count a request of the route as ended."""
        self.free_capacities[route] += 1


class FairShareAdmission(Admission):
    """``FairShare`` with one ``DeadlineQueue`` for each route."""

    __slots__ = ("fair_share", "queues")

    def __init__(self, loop: EventLoop) -> None:
        super().__init__(loop)
        self.fair_share = FairShare(MAX_CONCURRENT_REQUEST_COUNT, ROUTE_SHARES)
        self.queues: dict[str, DeadlineQueue[QueuedRequest]] = {
            share.route: DeadlineQueue(QueueSettings(), loop) for share in ROUTE_SHARES
        }

    def enqueue(self, request: QueuedRequest) -> bool:
        """Add a request unless the queue of its route refuses it."""
        try:
            self.queues[request.route].push(request, request.deadline)
        except DispatchError:
            return False
        return True

    def start_next(self) -> QueuedRequest | None:
        """Return the next request of the route with the least use of its share."""
        self._drop_expired()
        route = self.fair_share.next_route(self._queued_routes())
        if route is None:
            return None
        self.fair_share.try_start(route)
        return self.queues[route].pop()

    def release(self, route: str) -> None:
        """Count a request of the route as ended."""
        self.fair_share.finished(route)

    def _queued_routes(self) -> Iterable[str]:
        return [route for route, queue in self.queues.items() if len(queue)]

    def _drop_expired(self) -> None:
        for route, queue in self.queues.items():
            for request in queue.pop_expired():
                waited = self.loop.now() - request.arrived_at
                self.refused_waits[route].append(waited)


POLICIES: dict[str, type[Admission]] = {
    "medlarpass": FairShareAdmission,
    "one queue": SharedQueueAdmission,
    "fixed parts": FixedShareAdmission,
}


@section("fairness", "Routes that share one entry's concurrency of 40")
def run(options: Options) -> list[Row]:
    """Measure each policy on the same traces."""
    return [
        Row(case, name, measure(options, case, offered, policy))
        for case, offered in OFFERED_CONCURRENCY_BY_CASE.items()
        for name, policy in POLICIES.items()
    ]


def measure(
    options: Options, case: str, offered: dict[str, float], policy: type[Admission]
) -> dict[str, float]:
    """Run one trace with one policy."""
    loop = EventLoop()
    admission = policy(loop)
    duration = options.choose(6.0, 30.0)
    for route, concurrency in offered.items():
        _schedule(
            options,
            loop,
            admission,
            route,
            concurrency / MEAN_RUN_TIME_SECONDS[route],
            duration,
            case,
        )
    loop.run(duration)
    order_waits, order_refused_waits = (
        admission.waits["dispatch"],
        admission.refused_waits["dispatch"],
    )
    return {
        "orders_served_pct": 100.0 * len(order_waits) / admission.arrival_counts["dispatch"],
        "orders_wait_p99_ms": 1000.0 * percentile(order_waits, 0.99),
        "orders_refused_after_ms": 1000.0 * mean(order_refused_waits),
        "stock_served_pct": 100.0
        * len(admission.waits["stock"])
        / admission.arrival_counts["stock"],
        "stock_wait_p99_ms": 1000.0 * percentile(admission.waits["stock"], 0.99),
        "downloads_per_s": len(admission.waits["artwork"]) / duration,
    }


def _schedule(
    options: Options,
    loop: EventLoop,
    admission: Admission,
    route: str,
    requests_per_second: float,
    duration: float,
    case: str,
) -> None:
    rng = options.rng("fairness", case, route)
    timeout_ratio = SHORT_TIMEOUT_RATIO if case == "short deadlines" else 1.0

    def arrive() -> None:
        run_time = lognormal(rng, MEAN_RUN_TIME_SECONDS[route], RUN_TIME_SIGMAS[route])
        admission.arrive(QueuedRequest(route, loop.now(), run_time, timeout_ratio))
        loop.after(rng.expovariate(requests_per_second), arrive)

    loop.after(rng.expovariate(requests_per_second), arrive)
