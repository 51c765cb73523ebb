"""Time for which this replica surely is the only leader."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING

from medlarpass.replication import NotLeaderError

if TYPE_CHECKING:
    from medlarpass import Clock
    from medlarpass.replication import Replica

#: Seconds between two rounds that confirm the leadership.
CONFIRM_PERIOD = 0.2


class LeaderLease:
    """Confirms the leadership of one term over and over.

    :param replica: replica of this process
    :param span: seconds for which a confirmed leadership lasts
    :param clock: source of time; counts suspended time
    """

    __slots__ = ("clock", "replica", "span", "term", "until")

    def __init__(self, replica: Replica, span: float, clock: Clock) -> None:
        self.replica = replica
        self.span = span
        self.clock = clock
        self.term = 0
        self.until = 0.0

    def begin(self) -> None:
        """Begin with the present term; nothing is confirmed yet."""
        self.term = self.replica.term
        self.until = 0.0

    @property
    def is_of_term(self) -> bool:
        """Whether this replica leads in the term that the lease is for, as far as it knows."""
        return self.replica.is_leader and self.replica.term == self.term

    @property
    def is_held(self) -> bool:
        """Whether no other replica can lead at this moment."""
        return self.is_of_term and self.clock.now() < self.until

    async def confirm(self) -> None:
        """Confirm the leadership until cancelled."""
        while True:
            begun_at = self.clock.now()
            try:
                await self.replica.confirm_leadership()
            except NotLeaderError:
                # Also while leadership is being handed over; no grant may be sent then.
                self.until = 0.0
            else:
                self.until = begun_at + self.span
            await asyncio.sleep(CONFIRM_PERIOD)
