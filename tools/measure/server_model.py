"""Model of a backend server with few slots, a short queue and injectable faults."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from tools.measure.event_loop import EventLoop


class Job:
    """A request submitted to a server.

    :param run_time: time in a slot at normal speed, in seconds
    :param on_done: called with True after the run, or with False if the server refuses the request
    """

    __slots__ = ("arrived_at", "on_done", "run_time")

    def __init__(self, run_time: float, on_done: Callable[[bool], None]) -> None:
        self.run_time = run_time
        self.on_done = on_done
        self.arrived_at = 0.0


class ServerModel:
    """Runs ``slots`` jobs concurrently, queues up to ``queue_limit`` and refuses the rest.

    :param slots: number of concurrent jobs
    :param queue_limit: maximum number of queued jobs; small, as servers with few slots shed load
        early
    """

    __slots__ = (
        "busy_seconds",
        "frozen_until",
        "identity",
        "loop",
        "queue",
        "queue_limit",
        "refused_count",
        "reported_load",
        "reported_load_override",
        "running",
        "slots",
        "slowdown_factor",
        "waits",
    )

    def __init__(self, loop: EventLoop, identity: str, slots: int, queue_limit: int) -> None:
        self.loop = loop
        self.identity = identity
        self.slots = slots
        self.queue_limit = queue_limit
        self.queue: deque[Job] = deque()
        self.running = 0
        self.busy_seconds = 0.0
        self.refused_count = 0
        self.waits: list[float] = []
        self.slowdown_factor = 1.0
        self.frozen_until = 0.0
        self.reported_load_override: int | None = None
        self.reported_load = 0

    def submit(self, job: Job) -> None:
        """Accept or refuse a job; a frozen server does so when it resumes."""
        if self.loop.now() < self.frozen_until:
            self.loop.after(self.frozen_until - self.loop.now(), lambda: self.submit(job))
            return
        job.arrived_at = self.loop.now()
        if self.running < self.slots:
            self._start(job)
        elif len(self.queue) < self.queue_limit:
            self.queue.append(job)
        else:
            self.refused_count += 1
            job.on_done(False)

    def publish_load(self) -> None:
        """Update the reported load, which is outdated between updates."""
        self.reported_load = (
            self.running + len(self.queue)
            if self.reported_load_override is None
            else self.reported_load_override
        )

    def _start(self, job: Job) -> None:
        self.running += 1
        self.waits.append(self.loop.now() - job.arrived_at)
        duration = job.run_time * self.slowdown_factor
        self.busy_seconds += duration
        self.loop.after(duration, lambda: self._end(job))

    def _end(self, job: Job) -> None:
        if self.loop.now() < self.frozen_until:
            self.loop.after(self.frozen_until - self.loop.now(), lambda: self._end(job))
            return
        self.running -= 1
        if self.queue:
            self._start(self.queue.popleft())
        job.on_done(True)
