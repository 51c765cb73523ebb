"""What servers say about themselves in their responses."""

from __future__ import annotations

import math
import re

from typing import TYPE_CHECKING

from medlarpass_daemon.entry.callers.events import INVALID_PAUSE
from medlarpass_daemon.entry.callers.events import SERVER_LEAVING
from medlarpass_daemon.entry.callers.events import SERVER_PAUSED
from medlarpass_daemon.entry.callers.exceptions import ServerNotAcceptingError

if TYPE_CHECKING:
    from medlarpass import Clock
    from medlarpass_daemon.entry.callers.interfaces import Target

#: Seconds, whole or with a fraction. Dates, signs and exponents are not part of the interface.
PAUSE_PATTERN = re.compile(r"[0-9]{1,12}(?:\.[0-9]{1,12})?", re.ASCII)
#: Time for which a leaving server may still get requests that no other server can run, so that
#: most keys move without an interruption.
LEAVING_GRACE_SECONDS = 0.4
#: Servers that are remembered; far more than an entry has.
MAX_SERVER_COUNT = 10_000


class ServerNotice:
    """What one incarnation of a server has said.

    :param incarnation: incarnation of the server
    :param address: its IP number and port
    """

    __slots__ = ("address", "has_invalid_pause", "incarnation", "leaving_since", "paused_until")

    def __init__(self, incarnation: int, address: tuple[str, int]) -> None:
        self.incarnation = incarnation
        self.address = address
        #: Clock reading of the first response that said that the server leaves.
        self.leaving_since = math.inf
        #: Clock reading until which the server wants no requests.
        self.paused_until = -math.inf
        #: Whether an invalid pause was logged.
        self.has_invalid_pause = False


class ServerNotices:
    """Decides by the responses of a server whether it accepts requests.

    Each entry decides by the responses that it has received itself, whether or not it can reach
    control. A new incarnation of a server begins without notices, and so does one at another
    address.

    :param clock: source of time; counts suspended time
    :param longest_pause: longest pause in seconds that a server can ask for
    """

    __slots__ = ("by_identity", "clock", "longest_pause")

    def __init__(self, clock: Clock, longest_pause: float) -> None:
        self.clock = clock
        self.longest_pause = longest_pause
        #: Oldest first.
        self.by_identity: dict[str, ServerNotice] = {}

    def record(self, target: Target, is_leaving: bool, pause: str | None) -> None:
        """Record a response that belongs to a request.

        A pause never ends earlier than an earlier response said: responses may arrive in another
        order than the server sent them, and a pause that is too long ends by itself.

        :param target: server that sent it
        :param is_leaving: whether the server said that it leaves
        :param pause: seconds for which it wants no requests, as it wrote them
        """
        if not is_leaving and pause is None:
            return
        notice = self._notice_for(target)
        if notice is None:
            return
        now = self.clock.now()
        if is_leaving and notice.leaving_since == math.inf:
            notice.leaving_since = now
            SERVER_LEAVING.log(server=target.identity, life=target.incarnation)
        if pause is not None:
            seconds = self._pause_seconds(notice, target, pause)
            if notice.paused_until <= now < now + seconds:
                SERVER_PAUSED.log(
                    server=target.identity, life=target.incarnation, seconds=round(seconds, 3)
                )
            notice.paused_until = max(notice.paused_until, now + seconds)

    def is_leaving(self, target: Target) -> bool:
        """Return whether a server has said that it leaves."""
        notice = self._find(target)
        return notice is not None and notice.leaving_since < math.inf

    def has_left(self, target: Target) -> bool:
        """Return whether a server gets no requests any more because it leaves."""
        notice = self._find(target)
        return (
            notice is not None and self.clock.now() >= notice.leaving_since + LEAVING_GRACE_SECONDS
        )

    def resumes_at(self, target: Target) -> float:
        """Return the clock reading from which a server accepts requests; infinite if it leaves."""
        notice = self._find(target)
        if notice is None:
            return -math.inf
        if self.has_left(target):
            return math.inf
        return notice.paused_until

    def accepts(self, target: Target) -> bool:
        """Return whether a server accepts a request now."""
        return not self.by_identity or self.resumes_at(target) <= self.clock.now()

    def check(self, target: Target) -> None:
        """Check that a request may be sent to a server now.

        Everything that an entry sends to servers passes this check right before it is written.

        :raises ServerNotAcceptingError: the server leaves or wants no requests now
        """
        if not self.accepts(target):
            reason = "leaving" if self.has_left(target) else "paused"
            raise ServerNotAcceptingError(f"{target.identity} is {reason}")

    def forget(self, identity: str) -> None:
        """Drop the notices of a server that left."""
        self.by_identity.pop(identity, None)

    def count_leaving(self) -> int:
        """Return the number of servers that have said that they leave."""
        return sum(notice.leaving_since < math.inf for notice in self.by_identity.values())

    def count_paused(self) -> int:
        """Return the number of servers that want no requests now."""
        now = self.clock.now()
        return sum(notice.paused_until > now for notice in self.by_identity.values())

    def _find(self, target: Target) -> ServerNotice | None:
        notice = self.by_identity.get(target.identity)
        if notice is None or notice.incarnation != target.incarnation:
            return None
        return notice if notice.address == (target.ip, target.port) else None

    def _notice_for(self, target: Target) -> ServerNotice | None:
        """Return the notice to update; None for a late response of an earlier incarnation."""
        notice = self._find(target)
        if notice is not None:
            return notice
        known = self.by_identity.pop(target.identity, None)
        if known is not None and known.incarnation > target.incarnation:
            self.by_identity[target.identity] = known
            return None
        notice = ServerNotice(target.incarnation, (target.ip, target.port))
        self.by_identity[target.identity] = notice
        while len(self.by_identity) > MAX_SERVER_COUNT:
            del self.by_identity[next(iter(self.by_identity))]
        return notice

    def _pause_seconds(self, notice: ServerNotice, target: Target, pause: str) -> float:
        """Return the length of a pause; 0 if it is invalid, and at most the longest pause."""
        seconds = parse_pause(pause)
        is_invalid = seconds is None or seconds > self.longest_pause
        if is_invalid and not notice.has_invalid_pause:
            notice.has_invalid_pause = True
            INVALID_PAUSE.log(server=target.identity, life=target.incarnation, value=pause[:40])
        return 0.0 if seconds is None else min(seconds, self.longest_pause)


def parse_pause(text: str) -> float | None:
    """Return the seconds of a pause, or None when the text is not a number of seconds."""
    return float(text) if PAUSE_PATTERN.fullmatch(text) else None
