"""Load of one server that several entries send requests to, each with its own limiter."""

from __future__ import annotations

import heapq
import itertools
import random

from typing import TYPE_CHECKING

import pytest

from medlarpass import ManualClock
from medlarpass.dispatch import ConcurrencyLimiter
from medlarpass.dispatch import LimiterSettings
from medlarpass.dispatch import SharedServerLimiter

if TYPE_CHECKING:
    from collections.abc import Callable

ENTRY_COUNT = 9
SLOT_COUNT = 3
QUEUE_LIMIT = 16
MEAN_RUN_SECONDS = 0.22
TARGET_LATENCY_SECONDS = 0.6
DEADLINE_SECONDS = 1.5
#: Value of a response that misses the target latency, relative to one that meets it.
LATE_RESPONSE_VALUE_RATIO = 0.3
DURATION_SECONDS = 40.0
#: Requests per second that the server can run.
CAPACITY_PER_SECOND = SLOT_COUNT / MEAN_RUN_SECONDS


def make_shared_limiter(clock: ManualClock) -> ConcurrencyLimiter:
    """Return the limiter under test."""
    limiter = SharedServerLimiter(LimiterSettings(), clock, SLOT_COUNT)
    limiter.target_latency = TARGET_LATENCY_SECONDS
    limiter.min_limit = SLOT_COUNT * 2.0 / ENTRY_COUNT
    return limiter


def make_basic_limiter(clock: ManualClock) -> ConcurrencyLimiter:
    """Return a limiter without a target latency."""
    limiter = ConcurrencyLimiter(LimiterSettings(), clock, SLOT_COUNT)
    limiter.min_limit = SLOT_COUNT * 2.0 / ENTRY_COUNT
    return limiter


class Job:
    """A request of a caller."""

    __slots__ = ("arrived_at", "limiter", "sent_at")

    def __init__(self, arrived_at: float, limiter: ConcurrencyLimiter) -> None:
        self.arrived_at = arrived_at
        self.limiter = limiter
        self.sent_at = 0.0


class SharedServer:
    """Simulation of a server with slots and a queue; callers arrive at random and don't retry."""

    def __init__(
        self,
        make_limiter: Callable[[ManualClock], ConcurrencyLimiter],
        refusal_ratio: float,
        seed: int,
    ) -> None:
        self.rng = random.Random(seed)
        self.clock = ManualClock(0.0)
        self.limiters = [make_limiter(self.clock) for _ in range(ENTRY_COUNT)]
        self.refusal_ratio = refusal_ratio
        self.events: list[tuple[float, int, str, Job]] = []
        self.sequence = itertools.count()
        self.running = 0
        self.queue: list[Job] = []
        self.sent_count = 0
        self.value = 0.0
        self.arrived_count = 0

    def schedule(self, time: float, kind: str, job: Job) -> None:
        heapq.heappush(self.events, (time, next(self.sequence), kind, job))

    def simulate(self, rate: float, begin: float, end: float) -> float:
        """Simulate arrivals from ``begin`` to ``end`` and return the mean value of a request."""
        self.value, self.arrived_count, self.sent_count = 0.0, 0, 0
        time = begin
        while (time := time + self.rng.expovariate(rate)) < end:
            self.schedule(time, "arrive", Job(time, self.rng.choice(self.limiters)))
        while self.events and self.events[0][0] < end:
            time, _, kind, job = heapq.heappop(self.events)
            self.clock.advance(time - self.clock.now())
            self.handle_arrival(job) if kind == "arrive" else self.finish(job)
        return self.value / self.arrived_count

    def handle_arrival(self, job: Job) -> None:
        self.arrived_count += 1
        if not job.limiter.try_acquire():
            return
        self.sent_count += 1
        job.sent_at = self.clock.now()
        is_full = self.running >= SLOT_COUNT and len(self.queue) >= QUEUE_LIMIT
        if is_full or self.rng.random() < self.refusal_ratio:
            job.limiter.refused()
        elif self.running < SLOT_COUNT:
            self.start(job)
        else:
            self.queue.append(job)

    def start(self, job: Job) -> None:
        self.running += 1
        run_time = MEAN_RUN_SECONDS * self.rng.lognormvariate(0, 0.3)
        self.schedule(self.clock.now() + run_time, "end", job)

    def finish(self, job: Job) -> None:
        now = self.clock.now()
        self.running -= 1
        job.limiter.finished(now - job.sent_at)
        age = now - job.arrived_at
        if age <= DEADLINE_SECONDS:
            self.value += 1.0 if age <= TARGET_LATENCY_SECONDS else LATE_RESPONSE_VALUE_RATIO
        if self.queue:
            self.start(self.queue.pop(0))


def mean_value(make_limiter: Callable[[ManualClock], ConcurrencyLimiter], load: float) -> float:
    """Return the mean value of a request over several seeds."""
    seeds = range(6)
    return sum(
        SharedServer(make_limiter, 0.0, seed).simulate(
            load * CAPACITY_PER_SECOND, 0.0, DURATION_SECONDS
        )
        for seed in seeds
    ) / len(seeds)


@pytest.mark.parametrize(("load", "min_value"), [(0.35, 0.97), (0.65, 0.9)])
def test_a_lightly_loaded_server_serves_nearly_all(load: float, min_value: float) -> None:
    """Guards against requests that an entry refuses while the server has free slots."""
    assert mean_value(make_shared_limiter, load) >= min_value


@pytest.mark.parametrize("load", [1.2, 2.4])
def test_an_overloaded_server_serves_more_in_time(load: float) -> None:
    """Guards against a hot key whose long queue makes most responses miss the target latency."""
    assert mean_value(make_shared_limiter, load) > 1.05 * mean_value(make_basic_limiter, load)


def test_random_refusals_of_a_lightly_loaded_server_do_not_stop_requests() -> None:
    """Guards against entries that stop using free slots of a server that refuses at random."""
    server = SharedServer(make_shared_limiter, 0.45, seed=1)
    server.simulate(0.5 * CAPACITY_PER_SECOND, 0.0, DURATION_SECONDS)
    assert server.sent_count >= 0.97 * server.arrived_count


def test_a_server_regains_its_load_after_a_hot_key_has_ended() -> None:
    """Guards against a limit that takes minutes to recover after a hot key has ended."""
    server = SharedServer(make_shared_limiter, 0.0, seed=2)
    server.simulate(3 * CAPACITY_PER_SECOND, 0.0, 10.0)
    server.simulate(0.5 * CAPACITY_PER_SECOND, 10.0, 14.0)
    assert server.simulate(0.5 * CAPACITY_PER_SECOND, 14.0, 30.0) >= 0.95


def test_a_server_without_responses_counts_neither_as_quick_nor_as_slow() -> None:
    """Guards against a decision before the server has sent any response."""
    limiter = make_shared_limiter(ManualClock())
    assert isinstance(limiter, SharedServerLimiter)
    assert not limiter.has_short_queue
    assert not limiter.is_slow
