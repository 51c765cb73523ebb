"""Entry that sends requests to servers chosen by a balancer."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from medlarpass import Outcome
from medlarpass.dispatch import Attempt
from medlarpass.dispatch import Balancer
from medlarpass.dispatch import Candidate
from medlarpass.dispatch import RequestKind
from medlarpass.dispatch import RetryBudget
from medlarpass.dispatch import RetryBudgetSettings
from medlarpass.dispatch import RetryDecision
from medlarpass.dispatch import RetryPolicy
from medlarpass.dispatch import RetrySettings
from tools.measure.server_model import Job
from tools.measure.server_model import ServerModel

if TYPE_CHECKING:
    from collections.abc import Sequence

    from tools.measure.event_loop import EventLoop


class Result(Enum):
    """How an attempt ended."""

    RUN = "run"
    REFUSED = "refused"
    LOST = "lost"


class Request:
    """A caller's request and what became of it."""

    __slots__ = ("attempts", "begun_at", "deadline", "ended", "run_time", "tried")

    def __init__(self, begun_at: float, run_time: float, deadline: float) -> None:
        self.begun_at = begun_at
        self.run_time = run_time
        self.deadline = deadline
        self.attempts = 0
        self.tried: set[str] = set()
        self.ended = False


class EntryModel:
    """Chooses, sends, retries refused requests within the budget and gives up at the deadline.

    :param kind: class of the requests
    :param delays: seconds one way to each server
    """

    __slots__ = (
        "attempts",
        "balancer",
        "delays",
        "failed",
        "kind",
        "latencies",
        "loop",
        "requests",
        "retries",
        "servers",
    )

    def __init__(
        self,
        loop: EventLoop,
        balancer: Balancer,
        kind: RequestKind,
        servers: Sequence[ServerModel],
        delays: Sequence[float],
    ) -> None:
        self.loop = loop
        self.balancer = balancer
        self.kind = kind
        self.servers = {server.identity: server for server in servers}
        self.delays = dict(zip(self.servers, delays, strict=True))
        self.retries = RetryPolicy(RetrySettings(), RetryBudget(RetryBudgetSettings(), loop))
        self.latencies: list[float] = []
        self.requests = 0
        self.attempts = 0
        self.failed = 0

    def begin(self, run_time: float, patience: float) -> None:
        """Take a request of a caller.

        :param patience: seconds until the deadline
        """
        self.requests += 1
        self.retries.budget.request_started()
        now = self.loop.now()
        self._send(Request(now, run_time, now + patience))

    def allowed(self) -> list[ServerModel]:
        """Return the servers that a request may be sent to now."""
        return list(self.servers.values())

    def sent(self, server: str) -> None:
        """Take the start of an attempt."""

    def ended(self, attempt: Attempt, result: Result) -> None:
        """Take the end of an attempt."""

    def _send(self, request: Request) -> None:
        candidates = [
            Candidate(server.identity, server.slots, reported_in_flight=server.reported_load)
            for server in self.allowed()
        ]
        server = self.servers[self.balancer.choose(candidates, request.tried).identity]
        attempt = self.balancer.started(server.identity)
        self.sent(server.identity)
        request.attempts += 1
        request.tried.add(server.identity)
        self.attempts += 1
        delay = self.delays[server.identity]
        number = request.attempts

        def answer(was_run: bool) -> None:
            self.loop.after(delay, lambda: self._answered(request, attempt, number, was_run))

        job = Job(request.run_time, answer)
        self.loop.after(delay, lambda: server.submit(job))
        left = request.deadline - self.loop.now()
        self.loop.after(left, lambda: self._expired(request, attempt, number))

    def _answered(self, request: Request, attempt: Attempt, number: int, was_run: bool) -> None:
        if request.ended or number != request.attempts:
            return
        now = self.loop.now()
        if was_run:
            request.ended = True
            self.balancer.finished(attempt)
            self.ended(attempt, Result.RUN)
            self.latencies.append(now - request.begun_at)
            return
        self.balancer.refused(attempt)
        self.ended(attempt, Result.REFUSED)
        decision = self.retries.decide(
            self.kind, Outcome.NOT_RUN, request.attempts, request.deadline - now
        )
        if decision is RetryDecision.RETRY:
            self._send(request)
            return
        request.ended = True
        self.failed += 1

    def _expired(self, request: Request, attempt: Attempt, number: int) -> None:
        if request.ended or number != request.attempts:
            return
        request.ended = True
        self.balancer.abandoned(attempt)
        self.ended(attempt, Result.LOST)
        self.failed += 1
