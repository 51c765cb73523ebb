"""Condition variable for tasks of one event loop."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class Notifier:
    """Wakes all waiting tasks; each then checks its own condition again."""

    __slots__ = ("waiters",)

    def __init__(self) -> None:
        self.waiters: set[asyncio.Future[None]] = set()

    def notify(self) -> None:
        """Wake all waiters."""
        waiters, self.waiters = self.waiters, set()
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def wait_for(self, condition: Callable[[], bool]) -> None:
        """Return once the condition holds.

        :param condition: checked at once and after each notification
        """
        while not condition():
            waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self.waiters.add(waiter)
            try:
                await waiter
            finally:
                self.waiters.discard(waiter)
