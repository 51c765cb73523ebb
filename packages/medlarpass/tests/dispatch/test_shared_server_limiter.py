"""Loads of one server that several entries send to, each with a limit of its own."""

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

ENTRIES = 9
SLOTS = 3
QUEUE = 16
WORK = 0.22
AIM = 0.6
DEADLINE = 1.5
#: Share of the worth of an answer that comes after the aim.
LATE = 0.3
SECONDS = 40.0
#: Requests per second that the server can run.
CAPACITY = SLOTS / WORK


def aimed(clock: ManualClock) -> ConcurrencyLimiter:
    """Return the limit under test."""
    limiter = SharedServerLimiter(LimiterSettings(), clock, SLOTS)
    limiter.aim = AIM
    limiter.floor = SLOTS * 2.0 / ENTRIES
    return limiter


def unaimed(clock: ManualClock) -> ConcurrencyLimiter:
    """Return the limit that knows no aim."""
    limiter = ConcurrencyLimiter(LimiterSettings(), clock, SLOTS)
    limiter.floor = SLOTS * 2.0 / ENTRIES
    return limiter


class Job:
    """A request on its way."""

    __slots__ = ("born", "limiter", "sent_at")

    def __init__(self, born: float, limiter: ConcurrencyLimiter) -> None:
        self.born = born
        self.limiter = limiter
        self.sent_at = 0.0


class SharedServer:
    """A server with slots and a queue; its callers come by chance and don't repeat."""

    def __init__(
        self, make: Callable[[ManualClock], ConcurrencyLimiter], refuses: float, seed: int
    ) -> None:
        self.random = random.Random(seed)
        self.clock = ManualClock(0.0)
        self.limiters = [make(self.clock) for _ in range(ENTRIES)]
        self.refuses = refuses
        self.events: list[tuple[float, int, str, Job]] = []
        self.numbers = itertools.count()
        self.running = 0
        self.queue: list[Job] = []
        self.sent = 0
        self.worth = 0.0
        self.owed = 0

    def push(self, time: float, kind: str, job: Job) -> None:
        heapq.heappush(self.events, (time, next(self.numbers), kind, job))

    def play(self, rate: float, begin: float, end: float) -> float:
        """Let callers come from ``begin`` to ``end`` and return the worth of one request."""
        self.worth, self.owed, self.sent = 0.0, 0, 0
        time = begin
        while (time := time + self.random.expovariate(rate)) < end:
            self.push(time, "arrive", Job(time, self.random.choice(self.limiters)))
        while self.events and self.events[0][0] < end:
            time, _, kind, job = heapq.heappop(self.events)
            self.clock.advance(time - self.clock.now())
            self.arrive(job) if kind == "arrive" else self.end(job)
        return self.worth / self.owed

    def arrive(self, job: Job) -> None:
        self.owed += 1
        if not job.limiter.try_acquire():
            return
        self.sent += 1
        job.sent_at = self.clock.now()
        is_full = self.running >= SLOTS and len(self.queue) >= QUEUE
        if is_full or self.random.random() < self.refuses:
            job.limiter.refused()
        elif self.running < SLOTS:
            self.begin(job)
        else:
            self.queue.append(job)

    def begin(self, job: Job) -> None:
        self.running += 1
        work = WORK * self.random.lognormvariate(0, 0.3)
        self.push(self.clock.now() + work, "end", job)

    def end(self, job: Job) -> None:
        now = self.clock.now()
        self.running -= 1
        job.limiter.finished(now - job.sent_at)
        age = now - job.born
        if age <= DEADLINE:
            self.worth += 1.0 if age <= AIM else LATE
        if self.queue:
            self.begin(self.queue.pop(0))


def worth(make: Callable[[ManualClock], ConcurrencyLimiter], load: float) -> float:
    """Return the mean worth of a request, over some seeds."""
    seeds = range(6)
    return sum(
        SharedServer(make, 0.0, seed).play(load * CAPACITY, 0.0, SECONDS) for seed in seeds
    ) / len(seeds)


@pytest.mark.parametrize(("load", "least"), [(0.35, 0.97), (0.65, 0.9)])
def test_a_calm_server_serves_nearly_all(load: float, least: float) -> None:
    """Guards against requests that an entry refuses while the server has free slots."""
    assert worth(aimed, load) >= least


@pytest.mark.parametrize("load", [1.2, 2.4])
def test_a_hot_server_serves_more_in_time(load: float) -> None:
    """Hot key: guards against a queue so long that most answers come after the aim."""
    assert worth(aimed, load) > 1.05 * worth(unaimed, load)


def test_random_refusals_of_a_calm_server_do_not_close_it() -> None:
    """Server that sheds at random: guards against entries that stop sending to free slots."""
    server = SharedServer(aimed, 0.45, seed=1)
    server.play(0.5 * CAPACITY, 0.0, SECONDS)
    assert server.sent >= 0.97 * server.owed


def test_a_server_gets_its_load_back_after_a_hot_key_has_gone() -> None:
    """Hot key that ends: guards against a limit that takes minutes to rise again."""
    server = SharedServer(aimed, 0.0, seed=2)
    server.play(3 * CAPACITY, 0.0, 10.0)
    server.play(0.5 * CAPACITY, 10.0, 14.0)
    assert server.play(0.5 * CAPACITY, 14.0, 30.0) >= 0.95


def test_an_unknown_server_counts_neither_as_quick_nor_as_slow() -> None:
    """Guards against a decision without any answer of the server."""
    limiter = aimed(ManualClock())
    assert isinstance(limiter, SharedServerLimiter)
    assert not limiter.is_quick
    assert not limiter.is_slow
