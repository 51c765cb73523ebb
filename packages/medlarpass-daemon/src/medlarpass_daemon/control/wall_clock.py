"""Wall clock for timestamps of commands."""

from __future__ import annotations

import time


class WallClock:
    """Unix time in milliseconds that never decreases within a process."""

    __slots__ = ("last_ms",)

    def __init__(self) -> None:
        self.last_ms = 0

    def now_ms(self) -> int:
        """Return the Unix time in milliseconds."""
        self.last_ms = max(self.last_ms, time.time_ns() // 1_000_000)
        return self.last_ms
