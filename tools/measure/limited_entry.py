"""Simulated entry that limits its requests to each server and queues the others."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.dispatch import Attempt
from medlarpass.dispatch import Balancer
from medlarpass.dispatch import ConcurrencyLimiter
from medlarpass.dispatch import DeadlineQueue
from medlarpass.dispatch import DispatchError
from medlarpass.dispatch import LimiterSettings
from medlarpass.dispatch import QueueSettings
from medlarpass.dispatch import RequestKind
from tools.measure.entry_model import AttemptResult
from tools.measure.entry_model import EntryModel
from tools.measure.entry_model import Request

if TYPE_CHECKING:
    from collections.abc import Sequence

    from tools.measure.event_loop import EventLoop
    from tools.measure.server_model import ServerModel


class LimitedEntry(EntryModel):
    """Adds a concurrency limiter per server and a queue ordered by deadline."""

    __slots__ = ("limiters", "next_wakeup_at", "queue", "rejected_count")

    def __init__(
        self,
        loop: EventLoop,
        balancer: Balancer,
        kind: RequestKind,
        servers: Sequence[ServerModel],
        delays: Sequence[float],
        limiter: LimiterSettings,
    ) -> None:
        super().__init__(loop, balancer, kind, servers, delays)
        self.limiters = {
            server.identity: ConcurrencyLimiter(limiter, loop, server.slots) for server in servers
        }
        self.queue: DeadlineQueue[Request] = DeadlineQueue(QueueSettings(), loop)
        self.rejected_count = 0
        self.next_wakeup_at = 0.0

    def available_servers(self) -> list[ServerModel]:
        """Return the servers whose limit is not reached."""
        return [
            self.servers[identity]
            for identity, limiter in self.limiters.items()
            if limiter.ready_in() == 0.0
        ]

    def on_attempt_ended(self, attempt: Attempt, result: AttemptResult) -> None:
        """Report the result to the limiter and send queued requests after the current event."""
        limiter = self.limiters[attempt.server]
        if result is AttemptResult.RUN:
            limiter.finished(self.loop.now() - attempt.started_at)
        elif result is AttemptResult.REFUSED:
            limiter.refused()
        else:
            limiter.abandoned()
        self.loop.after(0.0, self._send_queued)

    def _send(self, request: Request) -> None:
        if any(server.identity not in request.tried_servers for server in self.available_servers()):
            super()._send(request)
            return
        try:
            self.queue.push(request, request.deadline)
        except DispatchError:
            request.is_ended = True
            self.failed_count += 1
            self.rejected_count += 1
            return
        self._schedule_wakeup()

    def on_attempt_started(self, server: str) -> None:
        """Count a request against the limit of its server."""
        self.limiters[server].try_acquire()

    def _schedule_wakeup(self) -> None:
        """Schedule sending queued requests for when the first paced server accepts one."""
        waits = [limiter.ready_in() for limiter in self.limiters.values()]
        min_wait = min((wait for wait in waits if wait), default=None)
        if min_wait is None or self.next_wakeup_at > self.loop.now():
            return
        self.next_wakeup_at = self.loop.now() + min_wait
        self.loop.after(min_wait + 1e-6, self._send_queued)

    def _send_queued(self) -> None:
        for expired_request in self.queue.pop_expired():
            expired_request.is_ended = True
            self.failed_count += 1
        while self.available_servers():
            request = self.queue.pop()
            if request is None:
                return
            if all(server.identity in request.tried_servers for server in self.available_servers()):
                self.queue.push(request, request.deadline)
                break
            super()._send(request)
        if len(self.queue):
            self._schedule_wakeup()
