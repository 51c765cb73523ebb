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

# Sorts behind every ticket with the same deadline.
LAST_TICKET = 1 << 62


class DeadlineQueue(Generic[T]):
    """Earliest deadline first, with early refusal.

    :param settings: settings of the policy
    :param clock: source of time
    """

    __slots__ = ("clock", "departed_at", "interval", "items", "order", "settings", "tickets")

    def __init__(self, settings: QueueSettings, clock: Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.order: list[tuple[float, int]] = []
        self.items: dict[int, T] = {}
        self.interval: float | None = None
        self.departed_at: float | None = None
        self.tickets = count(1)

    def __len__(self) -> int:
        return len(self.order)

    def push(self, item: T, deadline: float, expected_run: float = 0.0) -> int:
        """Add a request.

        :param deadline: reading of the clock when the answer is due
        :param expected_run: seconds the request is expected to run after its wait
        :returns: ticket for ``remove``
        :raises QueueFullError: if the queue has reached its limit
        :raises DeadlineTooCloseError: if the wait is expected to end too late
        """
        remaining = deadline - self.clock.now()
        wait = self.expected_wait(deadline)
        if wait + expected_run >= remaining:
            raise DeadlineTooCloseError(
                f"expected wait of {wait:.3f} s leaves no time: {max(remaining, 0.0):.3f} s remain"
            )
        if len(self.order) >= self.settings.limit:
            raise QueueFullError(f"{len(self.order)} requests are waiting")
        ticket = next(self.tickets)
        insort(self.order, (deadline, ticket))
        self.items[ticket] = item
        return ticket

    def expected_wait(self, deadline: float) -> float:
        """Return the seconds a request with this deadline is expected to wait."""
        ahead = bisect_right(self.order, (deadline, LAST_TICKET))
        return ahead * self._present_interval()

    def pop(self) -> T | None:
        """Return the waiting request with the earliest deadline that has not passed."""
        now = self.clock.now()
        index = bisect_right(self.order, (now, LAST_TICKET))
        if index == len(self.order):
            return None
        _, ticket = self.order.pop(index)
        self._observe_departure(now)
        return self.items.pop(ticket)

    def pop_expired(self) -> list[T]:
        """Remove and return the requests whose deadline has passed; they were not run."""
        index = bisect_right(self.order, (self.clock.now(), LAST_TICKET))
        expired = [self.items.pop(ticket) for _, ticket in self.order[:index]]
        del self.order[:index]
        return expired

    def remove(self, ticket: int) -> T | None:
        """Remove a request whose caller is gone; return None if it has left the queue."""
        if ticket not in self.items:
            return None
        self.order = [entry for entry in self.order if entry[1] != ticket]
        return self.items.pop(ticket)

    def _present_interval(self) -> float:
        """Return the mean interval, or the time since the last departure if larger.

        Servers that have stopped give no samples.
        """
        since = 0.0
        if self.departed_at is not None and self.order:
            since = self.clock.now() - self.departed_at
        return max(self.interval or 0.0, since)

    def _observe_departure(self, now: float) -> None:
        """Measure the time between departures while requests wait.

        An interval that begins with an empty queue measures arrivals, not the servers.
        """
        if self.departed_at is not None:
            sample = now - self.departed_at
            if self.interval is None:
                self.interval = sample
            else:
                self.interval += self.settings.interval_weight * (sample - self.interval)
        self.departed_at = now if self.order else None
