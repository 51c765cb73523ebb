"""Backend server with few slots, a short queue and faults."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from tools.measure.event_loop import EventLoop


class Job:
    """A request at a server.

    :param run_time: seconds in a slot at normal speed
    :param done: called with True after the run, with False if the server refuses
    """

    __slots__ = ("arrived_at", "done", "run_time")

    def __init__(self, run_time: float, done: Callable[[bool], None]) -> None:
        self.run_time = run_time
        self.done = done
        self.arrived_at = 0.0


class ServerModel:
    """Runs ``slots`` jobs at once, queues a few and refuses the rest.

    :param slots: jobs that run at once
    :param queue_limit: jobs that wait; a server with few slots sheds load soon
    """

    __slots__ = (
        "busy",
        "frozen_until",
        "identity",
        "lie",
        "loop",
        "queue",
        "queue_limit",
        "refused",
        "running",
        "slots",
        "slowness",
        "told",
        "waits",
    )

    def __init__(self, loop: EventLoop, identity: str, slots: int, queue_limit: int) -> None:
        self.loop = loop
        self.identity = identity
        self.slots = slots
        self.queue_limit = queue_limit
        self.queue: deque[Job] = deque()
        self.running = 0
        self.busy = 0.0
        self.refused = 0
        self.waits: list[float] = []
        self.slowness = 1.0
        self.frozen_until = 0.0
        self.lie: int | None = None
        self.told = 0

    def submit(self, job: Job) -> None:
        """Take a job; a frozen server takes it when it returns."""
        if self.loop.now() < self.frozen_until:
            self.loop.after(self.frozen_until - self.loop.now(), lambda: self.submit(job))
            return
        job.arrived_at = self.loop.now()
        if self.running < self.slots:
            self._start(job)
        elif len(self.queue) < self.queue_limit:
            self.queue.append(job)
        else:
            self.refused += 1
            job.done(False)

    def publish_load(self) -> None:
        """Update the load that the server tells; between updates it lags."""
        self.told = self.running + len(self.queue) if self.lie is None else self.lie

    def _start(self, job: Job) -> None:
        self.running += 1
        self.waits.append(self.loop.now() - job.arrived_at)
        span = job.run_time * self.slowness
        self.busy += span
        self.loop.after(span, lambda: self._end(job))

    def _end(self, job: Job) -> None:
        if self.loop.now() < self.frozen_until:
            self.loop.after(self.frozen_until - self.loop.now(), lambda: self._end(job))
            return
        self.running -= 1
        if self.queue:
            self._start(self.queue.popleft())
        job.done(True)
