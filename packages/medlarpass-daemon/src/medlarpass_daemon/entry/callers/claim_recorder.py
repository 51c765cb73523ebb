"""Records the outcomes of claimed orders in the control log."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING

from medlarpass_daemon.entry.callers.events import CLAIM_UPDATE_DELAYED

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from medlarpass.rpc import control_pb2
    from medlarpass_daemon.entry.callers.interfaces import OrderClaims

#: Maximum time that the response to a caller waits for its record, so that a repeated order finds
#: the record unless control is slow.
RECORD_TIMEOUT_SECONDS = 1.0
INITIAL_RETRY_INTERVAL_SECONDS = 0.05
MAX_RETRY_INTERVAL_SECONDS = 2.0


class ClaimRecorder:
    """Completes and releases claims, with retries until control has confirmed the update.

    :param claims: claims in the control log
    """

    __slots__ = ("claims", "tasks")

    def __init__(self, claims: OrderClaims) -> None:
        self.claims = claims
        self.tasks: set[asyncio.Task[None]] = set()

    async def complete(
        self, route: str, key: str, attempt: str, answer: control_pb2.RecordedAnswer
    ) -> None:
        """Record a response; wait until it is confirmed, at most ``RECORD_TIMEOUT_SECONDS``."""
        await self._start_and_wait(lambda: self.claims.complete(route, key, attempt, answer), route)

    async def release(self, route: str, key: str, attempt: str) -> None:
        """Release a claim; wait until it is confirmed, at most ``RECORD_TIMEOUT_SECONDS``."""
        await self._start_and_wait(lambda: self.claims.release(route, key, attempt), route)

    def release_later(self, route: str, key: str, attempt: str) -> None:
        """Release a claim without waiting."""
        self._start(lambda: self.claims.release(route, key, attempt), route)

    def cancel_pending(self) -> None:
        """Cancel the updates that are not confirmed; their claims stay in progress."""
        for task in self.tasks:
            task.cancel()

    async def _start_and_wait(self, update: Callable[[], Awaitable[None]], route: str) -> None:
        await asyncio.wait([self._start(update, route)], timeout=RECORD_TIMEOUT_SECONDS)

    def _start(self, update: Callable[[], Awaitable[None]], route: str) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(_retry_until_confirmed(update, route))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task


async def _retry_until_confirmed(update: Callable[[], Awaitable[None]], route: str) -> None:
    retry_interval = INITIAL_RETRY_INTERVAL_SECONDS
    while True:
        try:
            await update()
            return
        except Exception as error:
            CLAIM_UPDATE_DELAYED.log(route=route, error=repr(error))
        await asyncio.sleep(retry_interval)
        retry_interval = min(retry_interval * 2, MAX_RETRY_INTERVAL_SECONDS)
