"""Entry that limits its requests to each server and lets the others wait."""

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
from tools.measure.entry_model import EntryModel
from tools.measure.entry_model import Request
from tools.measure.entry_model import Result

if TYPE_CHECKING:
    from collections.abc import Sequence

    from tools.measure.event_loop import EventLoop
    from tools.measure.server_model import ServerModel


class LimitedEntry(EntryModel):
    """Adds a limiter per server and a queue ordered by deadline."""

    __slots__ = ("limiters", "queue", "refused_early", "wakes_at")

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
        self.refused_early = 0
        self.wakes_at = 0.0

    def allowed(self) -> list[ServerModel]:
        """Return the servers whose limit is not reached."""
        return [
            self.servers[identity]
            for identity, limiter in self.limiters.items()
            if limiter.ready_in() == 0.0
        ]

    def ended(self, attempt: Attempt, result: Result) -> None:
        """Tell the limiter and let a waiting request start after the present event."""
        limiter = self.limiters[attempt.server]
        if result is Result.RUN:
            limiter.finished(self.loop.now() - attempt.started_at)
        elif result is Result.REFUSED:
            limiter.refused()
        else:
            limiter.abandoned()
        self.loop.after(0.0, self._pump)

    def _send(self, request: Request) -> None:
        if any(server.identity not in request.tried for server in self.allowed()):
            super()._send(request)
            return
        try:
            self.queue.push(request, request.deadline)
        except DispatchError:
            request.ended = True
            self.failed += 1
            self.refused_early += 1
            return
        self._wake()

    def sent(self, server: str) -> None:
        """Count a request against the limit of its server."""
        self.limiters[server].try_acquire()

    def _wake(self) -> None:
        """Start the queue again when the first spaced request is due."""
        waits = [limiter.ready_in() for limiter in self.limiters.values()]
        soonest = min((wait for wait in waits if wait), default=None)
        if soonest is None or self.wakes_at > self.loop.now():
            return
        self.wakes_at = self.loop.now() + soonest
        self.loop.after(soonest + 1e-6, self._pump)

    def _pump(self) -> None:
        for expired in self.queue.pop_expired():
            expired.ended = True
            self.failed += 1
        while self.allowed():
            request = self.queue.pop()
            if request is None:
                return
            if all(server.identity in request.tried for server in self.allowed()):
                self.queue.push(request, request.deadline)
                break
            super()._send(request)
        if len(self.queue):
            self._wake()
