"""Tracks until when servers may still act on their grants."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from medlarpass import Clock
    from medlarpass.ranges.range_assignment import RangeAssignment

#: Ratio by which a server's clock may run slow.
CLOCK_DRIFT_RATIO = 0.02
#: Added to the validity of every grant for the delivery of the last bytes and the rounding of
#: timers.
EXPIRY_MARGIN_SECONDS = 0.25


class GrantExpiryTracker:
    """The leader's upper bounds for the expiry of grants.

    A fence identifies one assignment, so expiry times are kept by fence. A grant without a response
    may have reached the server at any time until its connection was closed, and may be applied
    later. It counts until it has certainly expired, whatever the server responds in the meantime.

    :param clock: source of time; counts suspended time
    :param grant_lease: lease of a grant in seconds, counted from its arrival
    """

    __slots__ = ("clock", "expires_at", "grant_lease", "uncertain_until")

    def __init__(self, clock: Clock, grant_lease: float) -> None:
        self.clock = clock
        self.grant_lease = grant_lease
        self.expires_at: dict[int, float] = {}
        self.uncertain_until: dict[int, float] = {}

    @property
    def max_grant_lease(self) -> float:
        """Longest time in seconds for which a grant that arrives now can be valid."""
        return self.grant_lease * (1 + CLOCK_DRIFT_RATIO) + EXPIRY_MARGIN_SECONDS

    def assume_renewed(self, assignments: Iterable[RangeAssignment]) -> None:
        """Start as a new leader: the previous one may have renewed every grant until now."""
        until = self.clock.now() + self.max_grant_lease
        self.expires_at = {assignment.fence: until for assignment in assignments}
        self.uncertain_until = dict(self.expires_at)

    def record_sending(self, fence: int, timeout: float) -> None:
        """Record that a grant is about to be sent.

        :param timeout: seconds after which the call is aborted and its connection reset
        """
        until = self.clock.now() + timeout + self.max_grant_lease
        self.expires_at[fence] = max(until, self.expires_at.get(fence, 0.0))

    def record_response(self, fence: int) -> None:
        """Record that a grant got a response, which means that it arrived before now."""
        until = max(self.clock.now() + self.max_grant_lease, self.uncertain_until.get(fence, 0.0))
        self.expires_at[fence] = until

    def record_no_response(self, fence: int) -> None:
        """Record that a grant was aborted without a response."""
        until = self.clock.now() + self.max_grant_lease
        self.uncertain_until[fence] = max(until, self.uncertain_until.get(fence, 0.0))
        self.expires_at[fence] = max(until, self.expires_at.get(fence, 0.0))

    def carry_over(self, old: int, new: int) -> None:
        """Start a higher fence for keys that stay at their server.

        Until the server confirms the new fence, it may still own the keys under the old one.
        """
        self.expires_at[new] = self.expires_at.get(old, 0.0)
        self.uncertain_until[new] = self.uncertain_until.get(old, 0.0)

    def record_first_response(self, fence: int) -> None:
        """Record that the first grant of a fence was confirmed.

        From now on the server rejects a late grant with a lower fence.
        """
        self.uncertain_until.pop(fence, None)
        self.record_response(fence)

    def is_certain(self, fence: int) -> bool:
        """Return whether a release ends the ownership, since no grant can still be in transit."""
        return self.uncertain_until.get(fence, 0.0) <= self.clock.now()

    def is_expired(self, fence: int) -> bool:
        """Return whether no server can still own the keys of the assignment."""
        return self.expires_at.get(fence, 0.0) <= self.clock.now()

    def remove(self, fence: int) -> None:
        """Record that the ownership has certainly ended, for example with its server."""
        self.expires_at.pop(fence, None)
        self.uncertain_until.pop(fence, None)

    def retain(self, fences: set[int]) -> None:
        """Remove the assignments that are no longer in the table."""
        for times in (self.expires_at, self.uncertain_until):
            for fence in times.keys() - fences:
                del times[fence]
