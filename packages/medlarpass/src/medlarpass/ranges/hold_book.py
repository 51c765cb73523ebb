"""How long servers may still hold what they were granted."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from medlarpass import Clock
    from medlarpass.ranges.range_assignment import RangeAssignment

#: Share by which a server's clock may run slow.
CLOCK_DRIFT = 0.02
#: Seconds added to every hold for the delivery of the last bytes and the rounding of timers.
MARGIN = 0.25


class HoldBook:
    """The leader's knowledge of running holds.

    A fence identifies one assignment, so holds are kept by fence. A grant without an answer may
    have reached the server at any time until its connection was given up, and may be carried out
    later; it counts until its hold is surely over, whatever the server answers meanwhile.

    :param clock: source of time; counts suspended time
    :param hold: seconds for which a grant lasts from its arrival
    """

    __slots__ = ("clock", "held_until", "hold", "uncertain_until")

    def __init__(self, clock: Clock, hold: float) -> None:
        self.clock = clock
        self.hold = hold
        self.held_until: dict[int, float] = {}
        self.uncertain_until: dict[int, float] = {}

    @property
    def span(self) -> float:
        """Longest time in seconds that a grant which arrives now can last."""
        return self.hold * (1 + CLOCK_DRIFT) + MARGIN

    def presume(self, assignments: Iterable[RangeAssignment]) -> None:
        """Begin as a new leader: everything may have been renewed until now."""
        until = self.clock.now() + self.span
        self.held_until = {each.fence: until for each in assignments}
        self.uncertain_until = dict(self.held_until)

    def sending(self, fence: int, timeout: float) -> None:
        """Note a grant that is about to be sent.

        :param timeout: seconds after which the call is given up and its connection reset
        """
        until = self.clock.now() + timeout + self.span
        self.held_until[fence] = max(until, self.held_until.get(fence, 0.0))

    def answered(self, fence: int) -> None:
        """Note that a grant was answered, so it arrived before now."""
        until = max(self.clock.now() + self.span, self.uncertain_until.get(fence, 0.0))
        self.held_until[fence] = until

    def unanswered(self, fence: int) -> None:
        """Note that a grant was given up without an answer."""
        until = self.clock.now() + self.span
        self.uncertain_until[fence] = max(until, self.uncertain_until.get(fence, 0.0))
        self.held_until[fence] = max(until, self.held_until.get(fence, 0.0))

    def carry(self, old: int, new: int) -> None:
        """Begin a higher fence for keys that stay at their holder.

        Until the holder answers to the new fence, it may still hold the keys under the old one.
        """
        self.held_until[new] = self.held_until.get(old, 0.0)
        self.uncertain_until[new] = self.uncertain_until.get(old, 0.0)

    def settle(self, fence: int) -> None:
        """Note that the first grant of a fence was answered.

        The server refuses a late grant under a lower fence from now on.
        """
        self.uncertain_until.pop(fence, None)
        self.answered(fence)

    def is_certain(self, fence: int) -> bool:
        """Return whether a release by the server ends its hold: no grant is on the way."""
        return self.uncertain_until.get(fence, 0.0) <= self.clock.now()

    def is_over(self, fence: int) -> bool:
        """Return whether no server can hold the assignment any more."""
        return self.held_until.get(fence, 0.0) <= self.clock.now()

    def end(self, fence: int) -> None:
        """Note that the hold has surely ended, for example because its server has ended."""
        self.held_until.pop(fence, None)
        self.uncertain_until.pop(fence, None)

    def retain(self, fences: set[int]) -> None:
        """Forget the assignments that are no longer in the table."""
        for book in (self.held_until, self.uncertain_until):
            for fence in book.keys() - fences:
                del book[fence]
