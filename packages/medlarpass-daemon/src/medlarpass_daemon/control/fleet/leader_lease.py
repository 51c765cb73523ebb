"""Lease during which this replica is certainly the only leader."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING

from medlarpass.replication import NotLeaderError

if TYPE_CHECKING:
    from medlarpass import Clock
    from medlarpass.replication import Replica

#: Time between two confirmations of the leadership.
CONFIRM_PERIOD_SECONDS = 0.2


class LeaderLease:
    """Confirms the leadership of one term periodically.

    :param replica: replica of this process
    :param duration: seconds for which a confirmation is valid
    :param clock: source of time; counts suspended time
    """

    __slots__ = ("clock", "duration", "expires_at", "replica", "term")

    def __init__(self, replica: Replica, duration: float, clock: Clock) -> None:
        self.replica = replica
        self.duration = duration
        self.clock = clock
        self.term = 0
        self.expires_at = 0.0

    def start_term(self) -> None:
        """Start with the current term, without a confirmation."""
        self.term = self.replica.term
        self.expires_at = 0.0

    @property
    def is_current_term(self) -> bool:
        """Whether this replica still leads in the term of the lease, as far as it knows."""
        return self.replica.is_leader and self.replica.term == self.term

    @property
    def is_held(self) -> bool:
        """Whether no other replica can be the leader now."""
        return self.is_current_term and self.clock.now() < self.expires_at

    async def confirm(self) -> None:
        """Confirm the leadership periodically until cancelled."""
        while True:
            started_at = self.clock.now()
            try:
                await self.replica.confirm_leadership()
            except NotLeaderError:
                # This is also raised during a leadership transfer, when no grant may be sent.
                self.expires_at = 0.0
            else:
                self.expires_at = started_at + self.duration
            await asyncio.sleep(CONFIRM_PERIOD_SECONDS)
