"""Load that a server reports about itself in a response."""

from __future__ import annotations

import re

from medlarpass.base import Value

#: Running, waiting, slots and optionally percent: decimal digits without signs or spaces.
REPORT_PATTERN = re.compile(r"([0-9]{1,6}),([0-9]{1,6}),([0-9]{1,6})(?:,([0-9]{1,6}))?", re.ASCII)
#: Bounds of the figures, far above those of any real server. They keep a faulty server out of the
#: range in which its report would dominate a calculation.
MAX_REQUEST_COUNT = 100_000
MAX_SLOT_COUNT = 10_000
MAX_PERCENT = 100_000
USUAL_PERCENT = 100
#: Time of work, in percent of the usual, from which a server counts as slow. Work times vary by
#: more than half at any server, so a smaller excess says little about the next request.
SLOW_PERCENT = 200


class ServerLoadReport(Value):
    """Load of a server at the time of a response.

    :param running: requests that the server runs
    :param waiting: requests that wait in its queue
    :param slots: requests that it can run concurrently
    :param percent: time that work takes now, where 100 is usual
    """

    __slots__ = ("percent", "running", "slots", "waiting")

    def __init__(
        self, running: int, waiting: int, slots: int, percent: int = USUAL_PERCENT
    ) -> None:
        self.running = running
        self.waiting = waiting
        self.slots = slots
        self.percent = percent

    @classmethod
    def from_text(cls, text: str) -> ServerLoadReport | None:
        """Return the report in a text, or None if the text is malformed or out of range.

        :param text: running, waiting, slots and optionally percent, separated by commas
        """
        match = REPORT_PATTERN.fullmatch(text)
        if match is None:
            return None
        running, waiting, slots = (int(figure) for figure in match.groups()[:3])
        percent = int(match[4]) if match[4] is not None else USUAL_PERCENT
        is_in_range = (
            1 <= slots <= MAX_SLOT_COUNT
            and running <= slots
            and waiting <= MAX_REQUEST_COUNT
            and 1 <= percent <= MAX_PERCENT
        )
        return cls(running, waiting, slots, percent) if is_in_range else None

    @property
    def is_busy(self) -> bool:
        """Whether requests wait or work takes much longer than usual."""
        return self.waiting > 0 or self.percent >= SLOW_PERCENT

    @property
    def cost(self) -> float:
        """Expected response time of one more request, in units of the usual time of work."""
        queued_rounds = (self.waiting + 1) / self.slots if self.running >= self.slots else 0.0
        return (1.0 + queued_rounds) * self.percent / USUAL_PERCENT
