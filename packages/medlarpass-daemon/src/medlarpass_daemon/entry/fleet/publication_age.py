"""How old the publication in force at an entry may be."""

from __future__ import annotations

import math

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarpass import Clock

#: Share of the time to follow a confirmed publication after which an entry does not rely on its
#: routes any more. The rest is for a request on its way.
MARGIN = 0.9
#: The same for a newer publication that the entry has heard of. It was confirmed some time before.
OVERDUE = 0.75


class AwaitedPublication:
    """A newer publication that control has named.

    :param version: its version
    :param known_at: reading of the clock up to which it surely was the newest confirmed one
    :param heard_at: reading of the clock when this entry heard of it
    """

    __slots__ = ("heard_at", "known_at", "version")

    def __init__(self, version: int, known_at: float, heard_at: float) -> None:
        self.version = version
        self.known_at = known_at
        self.heard_at = heard_at


class PublicationAge:
    """Compares the publication in force with what control says is the newest one.

    An entry that can't reach control does not hear of newer versions. It goes on with the routes it
    has, but does not say that a route does not exist. An entry that knows of a newer version and
    does not get it refuses all requests, because any route may have changed.

    :param clock: source of time; counts suspended time
    :param within: seconds after a confirmation within which entries have to follow
    """

    __slots__ = ("awaited", "clock", "known_at", "within")

    def __init__(self, clock: Clock, within: float) -> None:
        self.clock = clock
        self.within = within
        #: Reading of the clock up to which the publication in force surely was the newest one.
        self.known_at = -math.inf
        #: Newer publications, the oldest first.
        self.awaited: deque[AwaitedPublication] = deque()

    @property
    def is_certain(self) -> bool:
        """Whether the publication in force is new enough to say what does not exist."""
        return self.clock.now() - self.known_at < self.within * MARGIN

    @property
    def is_overdue(self) -> bool:
        """Whether a newer publication should have arrived by now."""
        if not self.awaited:
            return False
        return self.clock.now() - self.awaited[0].heard_at > self.within * OVERDUE

    def heard(self, version: int, known_at: float, in_force: int) -> None:
        """Take what control says.

        :param version: newest confirmed version, 0 when control does not know
        :param known_at: reading of the clock up to which that is sure
        :param in_force: version in force here
        """
        if not version:
            return
        if version <= in_force:
            self.known_at = max(self.known_at, known_at)
            return
        if self.awaited and self.awaited[-1].version >= version:
            return
        self.awaited.append(AwaitedPublication(version, known_at, self.clock.now()))

    def put_in_force(self, version: int) -> None:
        """Take that a version is in force here now."""
        while self.awaited and self.awaited[0].version <= version:
            self.known_at = max(self.known_at, self.awaited.popleft().known_at)
