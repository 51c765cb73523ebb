"""Simulated entry that sends requests to servers chosen by a balancer."""

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


class AttemptResult(Enum):
    """How an attempt ended."""

    RUN = "run"
    REFUSED = "refused"
    LOST = "lost"


class Request:
    """State of a caller's request."""

    __slots__ = ("attempt_count", "deadline", "is_ended", "run_time", "started_at", "tried_servers")

    def __init__(self, started_at: float, run_time: float, deadline: float) -> None:
        self.started_at = started_at
        self.run_time = run_time
        self.deadline = deadline
        self.attempt_count = 0
        self.tried_servers: set[str] = set()
        self.is_ended = False


class EntryModel:
    """Sends requests and retries refused ones within the retry budget until their deadline.

    :param kind: request kind, which decides about retries
    :param delays: one-way network delay to each server, in seconds
    """

    __slots__ = (
        "attempt_count",
        "balancer",
        "delays",
        "failed_count",
        "kind",
        "latencies",
        "loop",
        "request_count",
        "retry_policy",
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
        self.retry_policy = RetryPolicy(RetrySettings(), RetryBudget(RetryBudgetSettings(), loop))
        self.latencies: list[float] = []
        self.request_count = 0
        self.attempt_count = 0
        self.failed_count = 0

    def start_request(self, run_time: float, timeout: float) -> None:
        """Start a request of a caller.

        :param timeout: seconds until the deadline
        """
        self.request_count += 1
        self.retry_policy.budget.request_started()
        now = self.loop.now()
        self._send(Request(now, run_time, now + timeout))

    def available_servers(self) -> list[ServerModel]:
        """Return the servers that a request may be sent to now."""
        return list(self.servers.values())

    def on_attempt_started(self, server: str) -> None:
        """Handle the start of an attempt; a subclass may override it."""

    def on_attempt_ended(self, attempt: Attempt, result: AttemptResult) -> None:
        """Handle the end of an attempt; a subclass may override it."""

    def _send(self, request: Request) -> None:
        candidates = [
            Candidate(server.identity, server.slots, reported_in_flight=server.reported_load)
            for server in self.available_servers()
        ]
        server = self.servers[self.balancer.choose(candidates, request.tried_servers).identity]
        attempt = self.balancer.started(server.identity)
        self.on_attempt_started(server.identity)
        request.attempt_count += 1
        request.tried_servers.add(server.identity)
        self.attempt_count += 1
        delay = self.delays[server.identity]
        attempt_number = request.attempt_count

        def respond(was_run: bool) -> None:
            self.loop.after(
                delay, lambda: self._handle_response(request, attempt, attempt_number, was_run)
            )

        job = Job(request.run_time, respond)
        self.loop.after(delay, lambda: server.submit(job))
        remaining = request.deadline - self.loop.now()
        self.loop.after(remaining, lambda: self._handle_timeout(request, attempt, attempt_number))

    def _handle_response(
        self, request: Request, attempt: Attempt, attempt_number: int, was_run: bool
    ) -> None:
        if request.is_ended or attempt_number != request.attempt_count:
            return
        now = self.loop.now()
        if was_run:
            request.is_ended = True
            self.balancer.finished(attempt)
            self.on_attempt_ended(attempt, AttemptResult.RUN)
            self.latencies.append(now - request.started_at)
            return
        self.balancer.refused(attempt)
        self.on_attempt_ended(attempt, AttemptResult.REFUSED)
        decision = self.retry_policy.decide(
            self.kind, Outcome.NOT_RUN, request.attempt_count, request.deadline - now
        )
        if decision is RetryDecision.RETRY:
            self._send(request)
            return
        request.is_ended = True
        self.failed_count += 1

    def _handle_timeout(self, request: Request, attempt: Attempt, attempt_number: int) -> None:
        if request.is_ended or attempt_number != request.attempt_count:
            return
        request.is_ended = True
        self.balancer.abandoned(attempt)
        self.on_attempt_ended(attempt, AttemptResult.LOST)
        self.failed_count += 1
