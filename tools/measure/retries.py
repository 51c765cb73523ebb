"""Extra load of a failing pool with and without a retry budget."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from medlarpass import Outcome
from medlarpass.dispatch import Enquiry
from medlarpass.dispatch import RetryBudget
from medlarpass.dispatch import RetryBudgetSettings
from medlarpass.dispatch import RetryDecision
from medlarpass.dispatch import RetryPolicy
from medlarpass.dispatch import RetrySettings
from tools.measure.deployment import BUNGKUS
from tools.measure.event_loop import EventLoop
from tools.measure.registry import section
from tools.measure.row import Row

if TYPE_CHECKING:
    from tools.measure.options import Options

# A budget that never runs out within a trace.
UNLIMITED = RetryBudgetSettings(ratio=1e6)
POLICIES: dict[str, tuple[RetryBudgetSettings, RetrySettings]] = {
    "medlarpass": (RetryBudgetSettings(), RetrySettings()),
    "no budget": (UNLIMITED, RetrySettings()),
    "no retries": (RetryBudgetSettings(), RetrySettings(max_attempts=1)),
}
CASES = {"all fail": 1.0, "three in ten fail": 0.3, "one in fifty fails": 0.02}
RATE = 400.0
ATTEMPT = 0.01
PATIENCE = 1.0


class Traffic:
    """Requests to one pool through entries with budgets of their own.

    :param failure: probability that an attempt fails while the pool is failing
    """

    __slots__ = ("failure", "firsts", "length", "loop", "policies", "retries", "rng", "served")

    def __init__(
        self,
        options: Options,
        failure: float,
        budget: RetryBudgetSettings,
        settings: RetrySettings,
        length: float,
    ) -> None:
        self.loop = EventLoop()
        self.rng = options.rng("retries", failure)
        self.failure = failure
        self.length = length
        self.policies = [
            RetryPolicy(settings, RetryBudget(budget, self.loop)) for _ in range(BUNGKUS.entries)
        ]
        self.firsts: Counter[int] = Counter()
        self.retries: Counter[int] = Counter()
        self.served = 0

    def run(self) -> dict[str, float]:
        """Run a trace that is healthy for one third, failing for one and healthy for one."""
        self.loop.after(0.0, self._arrive)
        self.loop.run(3 * self.length + PATIENCE)
        failing = range(int(self.length), int(2 * self.length))
        firsts = sum(self.firsts[second] for second in failing)
        retries = sum(self.retries[second] for second in failing)
        worst = max(self.retries[second] / self.firsts[second] for second in failing)
        return {
            "extra_load_pct": 100.0 * retries / firsts,
            "worst_second_pct": 100.0 * worst,
            "served_pct": 100.0 * self.served / self.firsts.total(),
        }

    def _arrive(self) -> None:
        now = self.loop.now()
        if now >= 3 * self.length:
            return
        policy = self.policies[self.rng.randrange(len(self.policies))]
        policy.budget.request_started()
        self.firsts[int(now)] += 1
        # Draws for all attempts are made at once, so that every policy meets the same trace.
        draws = [self.rng.random() for _ in range(3)]
        self.loop.after(ATTEMPT, lambda: self._end(policy, draws, 1, now + PATIENCE))
        self.loop.after(self.rng.expovariate(RATE), self._arrive)

    def _end(self, policy: RetryPolicy, draws: list[float], attempt: int, deadline: float) -> None:
        now = self.loop.now()
        is_failing = self.length <= now < 2 * self.length
        if not is_failing or draws[attempt - 1] >= self.failure:
            self.served += 1
            return
        decision = policy.decide(Enquiry(), Outcome.UNKNOWN, attempt, deadline - now)
        if decision is not RetryDecision.RETRY:
            return
        self.retries[int(now)] += 1
        self.loop.after(ATTEMPT, lambda: self._end(policy, draws, attempt + 1, deadline))


@section("retries", "Retries while a pool fails for a third of the trace")
def run(options: Options) -> list[Row]:
    """Measure each policy on the same traces."""
    length = options.choose(10.0, 60.0)
    return [
        Row(case, name, Traffic(options, failure, *settings, length).run())
        for case, failure in CASES.items()
        for name, settings in POLICIES.items()
    ]
