"""Bounded queue of requests, ordered by deadline."""

from __future__ import annotations

from bisect import bisect_right
from bisect import insort
from itertools import count
from typing import TYPE_CHECKING
from typing import Generic
from typing import TypeVar

from medlarpass.dispatch.exceptions import DeadlineTooCloseError
from medlarpass.dispatch.exceptions import QueueFullError

if TYPE_CHECKING:
    from medlarpass.clock import Clock
    from medlarpass.dispatch.settings import QueueSettings

T = TypeVar("T")

# Greater than every issued ticket, so that it sorts after all requests with the same deadline.
MAX_TICKET = 1 << 62


class DeadlineQueue(Generic[T]):
    """Earliest-deadline-first queue that rejects requests which cannot meet their deadline.

    :param settings: settings of the policy
    :param clock: source of time
    """

    __slots__ = (
        "by_deadline",
        "clock",
        "departure_interval",
        "items",
        "last_departure_at",
        "settings",
        "tickets",
    )

    def __init__(self, settings: QueueSettings, clock: Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.by_deadline: list[tuple[float, int]] = []
        self.items: dict[int, T] = {}
        self.departure_interval: float | None = None
        self.last_departure_at: float | None = None
        self.tickets = count(1)

    def __len__(self) -> int:
        return len(self.by_deadline)

    def push(self, item: T, deadline: float, expected_run_time: float = 0.0) -> int:
        """Add a request.

        :param deadline: clock time when the response is due
        :param expected_run_time: expected run time after the wait, in seconds
        :returns: ticket for ``remove``
        :raises QueueFullError: if the queue has reached its limit
        :raises DeadlineTooCloseError: if the request is not expected to finish by its deadline
        """
        remaining = deadline - self.clock.now()
        wait = self.expected_wait(deadline)
        if wait + expected_run_time >= remaining:
            raise DeadlineTooCloseError(
                f"expected wait of {wait:.3f} s leaves no time: {max(remaining, 0.0):.3f} s remain"
            )
        if len(self.by_deadline) >= self.settings.limit:
            raise QueueFullError(f"{len(self.by_deadline)} requests are waiting")
        ticket = next(self.tickets)
        insort(self.by_deadline, (deadline, ticket))
        self.items[ticket] = item
        return ticket

    def expected_wait(self, deadline: float) -> float:
        """Return the expected wait of a request with this deadline, in seconds."""
        ahead = bisect_right(self.by_deadline, (deadline, MAX_TICKET))
        return ahead * self._current_interval()

    def pop(self) -> T | None:
        """Remove and return the request with the earliest deadline that has not passed, if any."""
        now = self.clock.now()
        index = bisect_right(self.by_deadline, (now, MAX_TICKET))
        if index == len(self.by_deadline):
            return None
        _, ticket = self.by_deadline.pop(index)
        self._observe_departure(now)
        return self.items.pop(ticket)

    def pop_expired(self) -> list[T]:
        """Remove and return the requests whose deadline has passed; none of them has run."""
        index = bisect_right(self.by_deadline, (self.clock.now(), MAX_TICKET))
        expired = [self.items.pop(ticket) for _, ticket in self.by_deadline[:index]]
        del self.by_deadline[:index]
        return expired

    def remove(self, ticket: int) -> T | None:
        """Remove and return a request whose caller disconnected, None if it has left the queue."""
        if ticket not in self.items:
            return None
        self.by_deadline = [waiting for waiting in self.by_deadline if waiting[1] != ticket]
        return self.items.pop(ticket)

    def _current_interval(self) -> float:
        """Return the mean departure interval, or the time since the last departure if longer.

        Servers that have stopped produce no samples.
        """
        since = 0.0
        if self.last_departure_at is not None and self.by_deadline:
            since = self.clock.now() - self.last_departure_at
        return max(self.departure_interval or 0.0, since)

    def _observe_departure(self, now: float) -> None:
        """Add a sample of the time between departures while requests wait.

        An interval that begins with an empty queue measures the arrival rate, not the servers.
        """
        if self.last_departure_at is not None:
            sample = now - self.last_departure_at
            if self.departure_interval is None:
                self.departure_interval = sample
            else:
                self.departure_interval += self.settings.interval_weight * (
                    sample - self.departure_interval
                )
        self.last_departure_at = now if self.by_deadline else None
