"""Age of the publication in force at an entry."""

from __future__ import annotations

import math

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarpass import Clock

#: Fraction of the maximum lag after a confirmation for which an entry denies unknown routes. The
#: rest covers a request in flight.
CERTAIN_RATIO = 0.9
#: Fraction of the maximum lag after which a newer publication known to the entry is overdue. It is
#: smaller because the publication was confirmed some time before the entry learned of it.
OVERDUE_RATIO = 0.75


class PendingPublication:
    """A newer publication that control has reported and that has not arrived yet.

    :param version: version of the publication
    :param newest_until: clock reading until which it was certainly the newest confirmed one
    :param learned_at: clock reading when this entry learned of it
    """

    __slots__ = ("learned_at", "newest_until", "version")

    def __init__(self, version: int, newest_until: float, learned_at: float) -> None:
        self.version = version
        self.newest_until = newest_until
        self.learned_at = learned_at


class PublicationAge:
    """Compares the publication in force with the newest one reported by control.

    An entry that cannot reach control does not learn of newer versions. It continues with its
    current routes, but does not respond that a route does not exist. An entry that knows of a newer
    version and does not receive it refuses all requests, because any route may have changed.

    :param clock: clock that includes the time for which the VM is suspended
    :param max_lag_seconds: time after a confirmation within which entries must apply a publication
    """

    __slots__ = ("clock", "max_lag_seconds", "newest_until", "pending")

    def __init__(self, clock: Clock, max_lag_seconds: float) -> None:
        self.clock = clock
        self.max_lag_seconds = max_lag_seconds
        #: Clock reading until which the publication in force was certainly the newest one.
        self.newest_until = -math.inf
        #: Newer publications that have not arrived yet, in order of their versions.
        self.pending: deque[PendingPublication] = deque()

    @property
    def is_known_newest(self) -> bool:
        """Whether the publication in force is recent enough to deny unknown routes."""
        return self.clock.now() - self.newest_until < self.max_lag_seconds * CERTAIN_RATIO

    @property
    def is_overdue(self) -> bool:
        """Whether a newer publication has not arrived within its time limit."""
        if not self.pending:
            return False
        return self.clock.now() - self.pending[0].learned_at > self.max_lag_seconds * OVERDUE_RATIO

    def record_newest_version(self, version: int, newest_until: float, in_force: int) -> None:
        """Record the newest version according to control.

        :param version: newest confirmed version, 0 if control does not know it
        :param newest_until: clock reading until which it was certainly the newest
        :param in_force: version in force at this entry
        """
        if not version:
            return
        if version <= in_force:
            self.newest_until = max(self.newest_until, newest_until)
            return
        if self.pending and self.pending[-1].version >= version:
            return
        self.pending.append(PendingPublication(version, newest_until, self.clock.now()))

    def record_in_force(self, version: int) -> None:
        """Record that a version is now in force at this entry."""
        while self.pending and self.pending[0].version <= version:
            self.newest_until = max(self.newest_until, self.pending.popleft().newest_until)
