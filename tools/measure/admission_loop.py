"""Model of the admission to a pool together with the estimate of its capacity.

The load is that of a pool of 20 servers with 3 slots, work of 0.3 s (log-normal, spread 0.8), 20 s
with 0.6 of the capacity, then a burst of 2.3 times the usual demand for 7 s. The target latency is
2.5 s, and refused callers come back once.
"""

from __future__ import annotations

import heapq
import random

from collections import deque

from medlarpass.capacity import PeakRate
from medlarpass.capacity import PoolAdmission
from medlarpass.capacity import PriorityLimit
from medlarpass.capacity import ServerCapacity

SERVER_COUNT = 20
SLOT_COUNT = 3
#: Requests that all entries together have at a server; the others wait in the entries.
MAX_IN_FLIGHT = 6
WORK_SECONDS = 0.3
#: Mean of the logarithm that gives a mean of 1 with a spread of 0.8.
MEAN_LOGARITHM = -0.32
CAPACITY = SERVER_COUNT * SLOT_COUNT / WORK_SECONDS
TARGET_SECONDS = 2.5
STEP_SECONDS = 0.05
STEPS_PER_PERIOD = 10
REPORT_DELAY_STEPS = 6
PLAN_DELAY_STEPS = 8


class Caller:
    """A request of a caller.

    :param repeats: how often it comes back after a refusal
    """

    def __init__(self, arrived_at: float, repeats: int) -> None:
        self.arrived_at = arrived_at
        self.repeats = repeats
        self.sent_at = 0.0


class AdmissionLoop:
    """Entries, servers and a leader with delayed reports and decisions.

    :param usual: usual demand in relation to the capacity
    :param factor: ratio of the burst to the usual demand
    :param reports_load: whether servers report their queues
    :param is_limited: whether entries follow the decisions
    """

    def __init__(
        self, usual: float, factor: float, reports_load: bool, is_limited: bool = True
    ) -> None:
        self.usual = usual
        self.factor = factor
        self.reports_load = reports_load
        self.is_limited = is_limited
        self.rng = random.Random(1)
        self.capacity = ServerCapacity()
        self.peak = PeakRate()
        self.admission = PoolAdmission()
        self.running = [0] * SERVER_COUNT
        self.queues: list[deque[Caller]] = [deque() for _ in range(SERVER_COUNT)]
        self.in_flight = [0] * SERVER_COUNT
        self.waiting: deque[Caller] = deque()
        #: End of work, number for the order of equal ends, server and caller.
        self.work: list[tuple[float, int, int, Caller]] = []
        self.returning: list[tuple[float, int, int]] = []
        self.numbers = iter(range(10**9))
        self.offered = self.refused = self.in_time = 0

    def run(self, seconds: float) -> float:
        """Run the pool and return the share of callers who got an answer in time."""
        unsent: deque[dict[int, PriorityLimit]] = deque([{}] * PLAN_DELAY_STEPS)
        unreported = deque([0] * REPORT_DELAY_STEPS)
        limits: dict[int, PriorityLimit] = {}
        reported = 0
        for step in range(round(seconds / STEP_SECONDS)):
            now = step * STEP_SECONDS
            self._finish_work(now)
            unreported.append(self._arrive(now, unsent.popleft().get(0)))
            self._send(now)
            reported += unreported.popleft()
            if step % STEPS_PER_PERIOD == STEPS_PER_PERIOD - 1:
                limits = self._decide(now, reported)
                reported = 0
            unsent.append(limits)
        return self.in_time / self.offered

    def _arrive(self, now: float, limit: PriorityLimit | None) -> int:
        usual = self.usual * (self.factor if 25 <= now < 32 else 1.0)
        rate = CAPACITY * (min(self.usual, 0.6) if now < 20 else usual) * STEP_SECONDS
        count = int(rate) + (self.rng.random() < rate % 1)
        self.offered += count
        repeats = [1] * count
        while self.returning and self.returning[0][0] <= now:
            repeats.append(heapq.heappop(self.returning)[2])
        for remaining in repeats:
            if not self.is_limited or limit is None or self.rng.random() < limit.share:
                self.waiting.append(Caller(now, remaining))
                continue
            self.refused += 1
            if remaining:
                due = now + limit.retry_after * self.rng.uniform(1.0, 2.0)
                heapq.heappush(self.returning, (due, next(self.numbers), remaining - 1))
        return len(repeats)

    def _send(self, now: float) -> None:
        free = [number for number, count in enumerate(self.in_flight) if count < MAX_IN_FLIGHT]
        while self.waiting and free:
            server = self.rng.choice(free)
            caller = self.waiting.popleft()
            caller.sent_at = now
            self.in_flight[server] += 1
            if self.running[server] < SLOT_COUNT:
                self._start(server, caller, now)
            else:
                self.queues[server].append(caller)
            if self.in_flight[server] >= MAX_IN_FLIGHT:
                free.remove(server)

    def _start(self, server: int, caller: Caller, now: float) -> None:
        self.running[server] += 1
        ends_at = now + WORK_SECONDS * self.rng.lognormvariate(MEAN_LOGARITHM, 0.8)
        heapq.heappush(self.work, (ends_at, next(self.numbers), server, caller))

    def _finish_work(self, now: float) -> None:
        while self.work and self.work[0][0] <= now:
            ended_at, _, server, caller = heapq.heappop(self.work)
            self.running[server] -= 1
            self.in_flight[server] -= 1
            self.in_time += ended_at - caller.arrived_at <= TARGET_SECONDS
            seconds = ended_at - caller.sent_at
            is_unqueued = self.reports_load and not self.queues[server]
            self.capacity.add(
                str(server), 1, seconds, int(is_unqueued), seconds if is_unqueued else 0.0
            )
            if self.queues[server]:
                self._start(server, self.queues[server].popleft(), ended_at)

    def _decide(self, now: float, reported: int) -> dict[int, PriorityLimit]:
        self.capacity.apply_decay()
        rates = [self.capacity.rate_of(str(server), SLOT_COUNT) for server in range(SERVER_COUNT)]
        known = [rate for rate in rates if rate is not None]
        capacity = None
        if now >= 2.0 and len(known) >= SERVER_COUNT / 2:
            capacity = self.peak.update(sum(known) / len(known)) * SERVER_COUNT
        return self.admission.update({0: float(reported)}, capacity, {0: TARGET_SECONDS}, 0.5)
