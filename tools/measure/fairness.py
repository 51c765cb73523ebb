"""Waits of orders at one entry during a flood of downloads."""

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

CAPACITY = 40
SHARES = (
    RouteShare("artwork", RequestClass.DOWNLOAD, 1.0),
    RouteShare("dispatch", RequestClass.ORDER, 2.0),
    RouteShare("stock", RequestClass.ENQUIRY, 1.0),
)
RUN_TIMES = {"artwork": 2.0, "dispatch": 0.06, "stock": 0.005}
SIGMAS = {"artwork": 0.8, "dispatch": 0.5, "stock": 0.3}
PATIENCE = {"artwork": 30.0, "dispatch": 1.0, "stock": 0.3}
# Offered concurrency per route (requests/s times run time).
CASES = {
    "usual load": {"artwork": 6.0, "dispatch": 8.0, "stock": 3.0},
    "flood of downloads": {"artwork": 80.0, "dispatch": 8.0, "stock": 3.0},
    "peak of orders": {"artwork": 4.0, "dispatch": 25.0, "stock": 3.0},
    "flood of all": {"artwork": 80.0, "dispatch": 60.0, "stock": 20.0},
    "short deadlines": {"artwork": 80.0, "dispatch": 60.0, "stock": 20.0},
}
# Factor on the patience of the callers in the last case; orders then have 150 ms.
SHORT = 0.15


class Waiting:
    """A request at the gate."""

    __slots__ = ("arrived_at", "deadline", "route", "run_time")

    def __init__(self, route: str, arrived_at: float, run_time: float, part: float) -> None:
        self.route = route
        self.arrived_at = arrived_at
        self.deadline = arrived_at + PATIENCE[route] * part
        self.run_time = run_time


class Gate:
    """Admission of requests; counts waits, refusals and the time until a refusal."""

    __slots__ = ("begun", "loop", "lost_waits", "waits")

    def __init__(self, loop: EventLoop) -> None:
        self.loop = loop
        routes = [share.route for share in SHARES]
        self.begun = dict.fromkeys(routes, 0)
        self.waits: dict[str, list[float]] = {route: [] for route in routes}
        self.lost_waits: dict[str, list[float]] = {route: [] for route in routes}

    def arrive(self, request: Waiting) -> None:
        """Start a request or let it wait."""
        self.begun[request.route] += 1
        if not self.enqueue(request):
            self.lost_waits[request.route].append(0.0)
        self.pump()

    def pump(self) -> None:
        """Start all requests that may start."""
        while (request := self.take()) is not None:
            now = self.loop.now()
            if now >= request.deadline:
                self.release(request.route)
                self.lost_waits[request.route].append(now - request.arrived_at)
                continue
            self.waits[request.route].append(now - request.arrived_at)
            self.loop.after(request.run_time, lambda route=request.route: self._end(route))  # type: ignore[misc]

    def _end(self, route: str) -> None:
        self.release(route)
        self.pump()

    def enqueue(self, request: Waiting) -> bool:
        """Add a request to its queue; return whether it was accepted."""
        raise NotImplementedError

    def take(self) -> Waiting | None:
        """Return a request that starts now, its place taken."""
        raise NotImplementedError

    def release(self, route: str) -> None:
        """Give back the place of a request."""
        raise NotImplementedError


class SharedGate(Gate):
    """One queue in order of arrival for all routes."""

    __slots__ = ("in_flight", "queue")

    def __init__(self, loop: EventLoop) -> None:
        super().__init__(loop)
        self.queue: deque[Waiting] = deque()
        self.in_flight = 0

    def enqueue(self, request: Waiting) -> bool:
        """Add a request unless the queue is full."""
        if len(self.queue) >= QueueSettings().limit * len(SHARES):
            return False
        self.queue.append(request)
        return True

    def take(self) -> Waiting | None:
        """Return the oldest request if there is a place."""
        if not self.queue or self.in_flight >= CAPACITY:
            return None
        self.in_flight += 1
        return self.queue.popleft()

    def release(self, route: str) -> None:
        """Give back a place."""
        self.in_flight -= 1


class FixedGate(Gate):
    """A fixed part of the capacity and a queue in order of arrival for each route."""

    __slots__ = ("free", "queues")

    def __init__(self, loop: EventLoop) -> None:
        super().__init__(loop)
        total = sum(share.weight for share in SHARES)
        self.free = {share.route: int(CAPACITY * share.weight / total) for share in SHARES}
        self.queues: dict[str, deque[Waiting]] = {route: deque() for route in self.free}

    def enqueue(self, request: Waiting) -> bool:
        """Add a request unless the queue of its route is full."""
        queue = self.queues[request.route]
        if len(queue) >= QueueSettings().limit:
            return False
        queue.append(request)
        return True

    def take(self) -> Waiting | None:
        """Return the oldest request of a route that has a place."""
        for route, queue in self.queues.items():
            if queue and self.free[route] > 0:
                self.free[route] -= 1
                return queue.popleft()
        return None

    def release(self, route: str) -> None:
        """Give back a place of the route."""
        self.free[route] += 1


class FairGate(Gate):
    """``FairShare`` with one ``DeadlineQueue`` for each route."""

    __slots__ = ("queues", "share")

    def __init__(self, loop: EventLoop) -> None:
        super().__init__(loop)
        self.share = FairShare(CAPACITY, SHARES)
        self.queues: dict[str, DeadlineQueue[Waiting]] = {
            share.route: DeadlineQueue(QueueSettings(), loop) for share in SHARES
        }

    def enqueue(self, request: Waiting) -> bool:
        """Add a request unless its queue refuses it."""
        try:
            self.queues[request.route].push(request, request.deadline)
        except DispatchError:
            return False
        return True

    def take(self) -> Waiting | None:
        """Return the next request of the route whose turn it is."""
        self._drop_expired()
        route = self.share.next_route(self._waiting())
        if route is None:
            return None
        self.share.try_start(route)
        return self.queues[route].pop()

    def release(self, route: str) -> None:
        """Give back the place of a request."""
        self.share.finished(route)

    def _waiting(self) -> Iterable[str]:
        return [route for route, queue in self.queues.items() if len(queue)]

    def _drop_expired(self) -> None:
        for route, queue in self.queues.items():
            for request in queue.pop_expired():
                waited = self.loop.now() - request.arrived_at
                self.lost_waits[route].append(waited)


POLICIES: dict[str, type[Gate]] = {
    "medlarpass": FairGate,
    "one queue": SharedGate,
    "fixed parts": FixedGate,
}


@section("fairness", "Routes that share one entry's concurrency of 40")
def run(options: Options) -> list[Row]:
    """Measure each policy on the same traces."""
    return [
        Row(case, name, measure(options, case, offered, policy))
        for case, offered in CASES.items()
        for name, policy in POLICIES.items()
    ]


def measure(
    options: Options, case: str, offered: dict[str, float], policy: type[Gate]
) -> dict[str, float]:
    """Run one trace with one policy."""
    loop = EventLoop()
    gate = policy(loop)
    length = options.choose(6.0, 30.0)
    for route, concurrency in offered.items():
        _schedule(options, loop, gate, route, concurrency / RUN_TIMES[route], length, case)
    loop.run(length)
    orders, lost = gate.waits["dispatch"], gate.lost_waits["dispatch"]
    return {
        "orders_served_pct": 100.0 * len(orders) / gate.begun["dispatch"],
        "orders_wait_p99_ms": 1000.0 * percentile(orders, 0.99),
        "orders_refused_after_ms": 1000.0 * mean(lost),
        "stock_served_pct": 100.0 * len(gate.waits["stock"]) / gate.begun["stock"],
        "stock_wait_p99_ms": 1000.0 * percentile(gate.waits["stock"], 0.99),
        "downloads_per_s": len(gate.waits["artwork"]) / length,
    }


def _schedule(
    options: Options,
    loop: EventLoop,
    gate: Gate,
    route: str,
    rate: float,
    length: float,
    case: str,
) -> None:
    rng = options.rng("fairness", case, route)
    part = SHORT if case == "short deadlines" else 1.0

    def arrive() -> None:
        run_time = lognormal(rng, RUN_TIMES[route], SIGMAS[route])
        gate.arrive(Waiting(route, loop.now(), run_time, part))
        loop.after(rng.expovariate(rate), arrive)

    loop.after(rng.expovariate(rate), arrive)
