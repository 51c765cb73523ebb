"""Time for which a server is cold, as the leader tells it to entries."""

from __future__ import annotations

import math

#: Difference in seconds between the reported and the expected end from which entries are told
#: again. Heartbeats are late by less, and each change of a server goes to all entries.
TOLERANCE_SECONDS = 0.3
#: Longest cold time in seconds; a server that reports more is told as this.
MAX_COLD_SECONDS = 86_400.0


class ColdTime:
    """Cold time of one incarnation of a server.

    The time that is sent does not count down, so that an unchanged state is an unchanged message.
    An entry that gets it late counts a longer time, never a shorter one.
    """

    __slots__ = ("cold_until", "sent_ms")

    def __init__(self) -> None:
        #: Clock reading at which the server becomes warm.
        self.cold_until = -math.inf
        #: Milliseconds that entries count from the message; 0 while the server is warm.
        self.sent_ms = 0

    @property
    def is_cold(self) -> bool:
        """Whether entries count the server as cold."""
        return self.sent_ms > 0

    def update(self, seconds: float, now: float) -> bool:
        """Apply the remaining cold seconds of a heartbeat.

        :param now: clock reading at the arrival of the heartbeat
        :returns: whether entries have to be told
        """
        if seconds <= 0:
            return self._set_warm()
        cold_until = now + min(seconds, MAX_COLD_SECONDS)
        if self.is_cold and abs(cold_until - self.cold_until) <= TOLERANCE_SECONDS:
            return False
        self.start(cold_until, math.ceil((cold_until - now + TOLERANCE_SECONDS) * 1000))
        return True

    def start(self, cold_until: float, sent_ms: int) -> None:
        """Start a cold time.

        Two times in succession differ in the message, even if they have the same length.
        """
        self.cold_until = cold_until
        self.sent_ms = sent_ms + 1 if sent_ms == self.sent_ms else sent_ms

    def expire(self, now: float) -> bool:
        """End the cold time when it has passed without a heartbeat that says so.

        :returns: whether entries have to be told
        """
        return now >= self.cold_until + TOLERANCE_SECONDS and self._set_warm()

    def _set_warm(self) -> bool:
        was_cold = self.is_cold
        self.cold_until, self.sent_ms = -math.inf, 0
        return was_cold
