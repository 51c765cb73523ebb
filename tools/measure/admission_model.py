"""Model of a pool with one queue, whose demand and limits arrive late."""

from __future__ import annotations

import random

from collections import Counter
from collections import deque
from typing import TYPE_CHECKING

from medlarpass.capacity import PoolAdmission

if TYPE_CHECKING:
    from collections.abc import Callable

    from medlarpass.capacity import PriorityLimit

PERIOD_SECONDS = 0.5
STEP_SECONDS = 0.05
CAPACITY = 200.0
#: Mean time of work, which the wait in the queue adds to.
WORK_SECONDS = 0.3
TARGET_SECONDS = 2.5
BURST_START = 10.0
BURST_SECONDS = 7.0
#: Time until the leader knows of a request, and until entries know of a decision.
REPORT_DELAY_SECONDS = 0.3
PLAN_DELAY_SECONDS = 0.4


class PoolSimulation:
    """A pool with one queue, whose demand and limits arrive late.

    :param demand: requests per second by priority at a time in seconds
    :param target: target latency of all priorities in seconds
    :param repeats: how often a refused caller comes back
    :param estimate: ratio of the estimated capacity to the real one
    """

    def __init__(
        self,
        demand: Callable[[float], dict[int, float]],
        target: float = TARGET_SECONDS,
        repeats: int = 1,
        estimate: float = 1.0,
    ) -> None:
        self.rng = random.Random(5)
        self.demand = demand
        self.target = target
        self.repeats = repeats
        self.estimate = estimate
        self.admission = PoolAdmission()
        self.backlog = 0.0
        self.served = 0.0
        #: Wait in the queue in seconds, by step.
        self.waits: list[float] = []
        #: Admitted and refused requests by priority.
        self.admitted: dict[int, int] = {}
        self.refused: dict[int, int] = {}
        #: Refused callers: time of return, priority, further repeats.
        self.returning: list[tuple[float, int, int]] = []
        self.limits: list[dict[int, PriorityLimit]] = []
        self.idle_while_limited = 0.0

    def run(self, seconds: float) -> None:
        """Run the pool from an empty queue."""
        steps_per_period = round(PERIOD_SECONDS / STEP_SECONDS)
        #: Requests of the steps that the leader does not know of yet.
        unreported = deque([Counter[int]()] * round(REPORT_DELAY_SECONDS / STEP_SECONDS))
        #: Limits at the leader in the steps that entries do not know of yet.
        unsent: deque[dict[int, PriorityLimit]] = deque(
            [{}] * round(PLAN_DELAY_SECONDS / STEP_SECONDS)
        )
        reported: Counter[int] = Counter()
        for step in range(round(seconds / STEP_SECONDS)):
            if step % steps_per_period == 0:
                self.limits.append(
                    self.admission.update(
                        reported,
                        CAPACITY * self.estimate,
                        dict.fromkeys(range(9), self.target),
                        PERIOD_SECONDS,
                    )
                )
                reported = Counter()
            unsent.append(self.limits[-1])
            unreported.append(self._step(step * STEP_SECONDS, unsent.popleft()))
            reported += unreported.popleft()

    def _step(self, now: float, in_force: dict[int, PriorityLimit]) -> Counter[int]:
        """Let requests arrive and be served, and return their number by priority."""
        current: Counter[int] = Counter()
        arrivals = [item for item in self.returning if item[0] <= now]
        self.returning = [item for item in self.returning if item[0] > now]
        for priority, rate in self.demand(now).items():
            count = rate * STEP_SECONDS
            count = int(count) + (self.rng.random() < count % 1)
            arrivals += [(now, priority, self.repeats)] * count
        for _, priority, repeats in arrivals:
            current[priority] += 1
            limit = in_force.get(priority)
            if limit is None or self.rng.random() < limit.share:
                self.admitted[priority] = self.admitted.get(priority, 0) + 1
                self.backlog += 1
                continue
            self.refused[priority] = self.refused.get(priority, 0) + 1
            if repeats:
                due = now + limit.retry_after * self.rng.uniform(1.0, 2.0)
                self.returning.append((due, priority, repeats - 1))
        served = min(self.backlog, CAPACITY * STEP_SECONDS)
        self.backlog -= served
        self.served += served
        if in_force:
            self.idle_while_limited += CAPACITY * STEP_SECONDS - served
        self.waits.append(self.backlog / CAPACITY)
        return current


def burst(usual: float, factor: float) -> Callable[[float], dict[int, float]]:
    """Return a demand with a burst of some seconds, in relation to the capacity."""

    def demand(now: float) -> dict[int, float]:
        is_burst = BURST_START <= now < BURST_START + BURST_SECONDS
        return {0: usual * CAPACITY * (factor if is_burst else 1.0)}

    return demand
