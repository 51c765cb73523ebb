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

# Never exhausted within a trace.
UNLIMITED_BUDGET = RetryBudgetSettings(ratio=1e6)
POLICIES: dict[str, tuple[RetryBudgetSettings, RetrySettings]] = {
    "medlarpass": (RetryBudgetSettings(), RetrySettings()),
    "no budget": (UNLIMITED_BUDGET, RetrySettings()),
    "no retries": (RetryBudgetSettings(), RetrySettings(max_attempts=1)),
}
CASES = {"all fail": 1.0, "three in ten fail": 0.3, "one in fifty fails": 0.02}
REQUESTS_PER_SECOND = 400.0
ATTEMPT_SECONDS = 0.01
DEADLINE_SECONDS = 1.0


class RetryTrace:
    """Simulates requests to one pool through entries that each have their own retry budget.

    :param failure_probability: probability that an attempt fails in the failing phase
    :param phase_seconds: duration of each of the three phases
    """

    __slots__ = (
        "failure_probability",
        "first_attempts",
        "loop",
        "phase_seconds",
        "policies",
        "retries",
        "rng",
        "served_count",
    )

    def __init__(
        self,
        options: Options,
        failure_probability: float,
        budget: RetryBudgetSettings,
        settings: RetrySettings,
        phase_seconds: float,
    ) -> None:
        self.loop = EventLoop()
        self.rng = options.rng("retries", failure_probability)
        self.failure_probability = failure_probability
        self.phase_seconds = phase_seconds
        self.policies = [
            RetryPolicy(settings, RetryBudget(budget, self.loop)) for _ in range(BUNGKUS.entries)
        ]
        self.first_attempts: Counter[int] = Counter()
        self.retries: Counter[int] = Counter()
        self.served_count = 0

    def run(self) -> dict[str, float]:
        """Run a trace in which the pool fails only in the second of three equal phases."""
        self.loop.after(0.0, self._handle_arrival)
        self.loop.run(3 * self.phase_seconds + DEADLINE_SECONDS)
        failing_seconds = range(int(self.phase_seconds), int(2 * self.phase_seconds))
        first_attempts = sum(self.first_attempts[second] for second in failing_seconds)
        retries = sum(self.retries[second] for second in failing_seconds)
        max_retry_ratio = max(
            self.retries[second] / self.first_attempts[second] for second in failing_seconds
        )
        return {
            "extra_load_pct": 100.0 * retries / first_attempts,
            "worst_second_pct": 100.0 * max_retry_ratio,
            "served_pct": 100.0 * self.served_count / self.first_attempts.total(),
        }

    def _handle_arrival(self) -> None:
        now = self.loop.now()
        if now >= 3 * self.phase_seconds:
            return
        policy = self.policies[self.rng.randrange(len(self.policies))]
        policy.budget.request_started()
        self.first_attempts[int(now)] += 1
        # Draws for all attempts in advance, so that every policy sees the same trace.
        draws = [self.rng.random() for _ in range(3)]
        self.loop.after(
            ATTEMPT_SECONDS, lambda: self._end_attempt(policy, draws, 1, now + DEADLINE_SECONDS)
        )
        self.loop.after(self.rng.expovariate(REQUESTS_PER_SECOND), self._handle_arrival)

    def _end_attempt(
        self, policy: RetryPolicy, draws: list[float], attempt: int, deadline: float
    ) -> None:
        now = self.loop.now()
        is_failing = self.phase_seconds <= now < 2 * self.phase_seconds
        if not is_failing or draws[attempt - 1] >= self.failure_probability:
            self.served_count += 1
            return
        decision = policy.decide(Enquiry(), Outcome.UNKNOWN, attempt, deadline - now)
        if decision is not RetryDecision.RETRY:
            return
        self.retries[int(now)] += 1
        self.loop.after(
            ATTEMPT_SECONDS, lambda: self._end_attempt(policy, draws, attempt + 1, deadline)
        )


@section("retries", "Retries while a pool fails for a third of the trace")
def run(options: Options) -> list[Row]:
    """Measure each policy on the same traces."""
    phase_seconds = options.choose(10.0, 60.0)
    return [
        Row(case, name, RetryTrace(options, failure_probability, *settings, phase_seconds).run())
        for case, failure_probability in CASES.items()
        for name, settings in POLICIES.items()
    ]
