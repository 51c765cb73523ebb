"""Records the outcomes of claimed orders."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING

from medlarpass_daemon.entry.callers.events import CLAIM_UPDATE_DELAYED

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from medlarpass.rpc import control_pb2
    from medlarpass_daemon.entry.callers.interfaces import OrderClaims

#: Seconds that a caller's answer waits for its record. A repeat of the order after the answer
#: then finds the record, unless control is slow.
RECORD_WAIT = 1.0
FIRST_PAUSE = 0.05
LONGEST_PAUSE = 2.0


class ClaimRecorder:
    """Completes and releases claims, and repeats this until control has confirmed it.

    :param claims: claims in the control log
    """

    __slots__ = ("claims", "tasks")

    def __init__(self, claims: OrderClaims) -> None:
        self.claims = claims
        self.tasks: set[asyncio.Task[None]] = set()

    async def complete(
        self, route: str, key: str, attempt: str, answer: control_pb2.RecordedAnswer
    ) -> None:
        """Record an answer; return when it is confirmed or after ``RECORD_WAIT`` seconds."""
        await self._confirm(lambda: self.claims.complete(route, key, attempt, answer), route)

    async def release(self, route: str, key: str, attempt: str) -> None:
        """Free a claim; return when this is confirmed or after ``RECORD_WAIT`` seconds."""
        await self._confirm(lambda: self.claims.release(route, key, attempt), route)

    def release_later(self, route: str, key: str, attempt: str) -> None:
        """Free a claim without waiting."""
        self._start(lambda: self.claims.release(route, key, attempt), route)

    def abandon(self) -> None:
        """End the updates that are not confirmed; their claims stay in progress."""
        for task in self.tasks:
            task.cancel()

    async def _confirm(self, update: Callable[[], Awaitable[None]], route: str) -> None:
        await asyncio.wait([self._start(update, route)], timeout=RECORD_WAIT)

    def _start(self, update: Callable[[], Awaitable[None]], route: str) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(_repeat(update, route))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task


async def _repeat(update: Callable[[], Awaitable[None]], route: str) -> None:
    pause = FIRST_PAUSE
    while True:
        try:
            await update()
            return
        except Exception as error:
            CLAIM_UPDATE_DELAYED.log(route=route, error=repr(error))
        await asyncio.sleep(pause)
        pause = min(pause * 2, LONGEST_PAUSE)
