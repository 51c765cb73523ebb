"""Cancels enquiries whose server lost the key before it responded."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

#: Interval between checks of the enquiries in flight; far below the second within which the keys
#: of a lost server are served again.
CHECK_INTERVAL_SECONDS = 0.05


class WatchedAttempt:
    """An attempt that continues only while its server owns the key.

    :param is_current: returns whether the server owns the key
    """

    __slots__ = ("is_current", "is_lost", "task")

    def __init__(self, is_current: Callable[[], bool]) -> None:
        self.is_current = is_current
        self.is_lost = False
        self.task = asyncio.current_task()

    def was_cancelled_by_watch(self) -> bool:
        """Return whether only the watch cancelled the task; if so, undo the cancellation."""
        if not self.is_lost or self.task is None:
            return False
        return self.task.uncancel() == 0


class OwnerWatch:
    """Periodically checks all enquiries in flight.

    Without it, callers of a frozen server would wait until their deadline, long after another
    server owns the key. No timer runs while no enquiry is in flight.
    """

    __slots__ = ("attempts", "is_scheduled")

    def __init__(self) -> None:
        self.attempts: set[WatchedAttempt] = set()
        self.is_scheduled = False

    def watch(self, is_current: Callable[[], bool]) -> WatchedAttempt:
        """Watch the attempt of the current task.

        :param is_current: returns whether the server owns the key
        """
        attempt = WatchedAttempt(is_current)
        self.attempts.add(attempt)
        if not self.is_scheduled:
            self._schedule()
        return attempt

    def unwatch(self, attempt: WatchedAttempt) -> None:
        """Stop watching an attempt."""
        self.attempts.discard(attempt)

    def cancel_lost_attempts(self) -> None:
        """Cancel the attempts whose servers no longer own the keys."""
        self.is_scheduled = False
        for attempt in [watched for watched in self.attempts if not watched.is_current()]:
            self.attempts.discard(attempt)
            attempt.is_lost = True
            if attempt.task is not None:
                attempt.task.cancel()
        if self.attempts:
            self._schedule()

    def _schedule(self) -> None:
        self.is_scheduled = True
        asyncio.get_running_loop().call_later(CHECK_INTERVAL_SECONDS, self.cancel_lost_attempts)
