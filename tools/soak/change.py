"""Changes of the configuration that a play sends."""

from __future__ import annotations

import time


class Change:
    """A changed configuration, from the first call of the operator to its confirmation."""

    __slots__ = ("began_at", "calm_seconds", "confirmed_at", "version")

    def __init__(self, version: int) -> None:
        self.version = version
        self.began_at = time.monotonic()
        self.confirmed_at: float | None = None
        #: Part of its duration in which nothing was disturbed or had been shortly before.
        self.calm_seconds = 0.0

    def seconds(self, now: float) -> float:
        """Return the seconds from the first call to the confirmation, or until now."""
        return (now if self.confirmed_at is None else self.confirmed_at) - self.began_at
