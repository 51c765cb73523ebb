"""Restarts essential background tasks when they fail."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING

from medlarpass_daemon.events import TASK_FAILED

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

RESTART_INTERVAL_SECONDS = 0.5


async def supervise(name: str, run: Callable[[], Awaitable[None]]) -> None:
    """Restart a task when it fails unexpectedly.

    Otherwise the task would end unnoticed while the process still looks healthy.

    :param name: name of the task in the log
    :param run: runs the task, which returns only by an error or cancellation
    """
    while True:
        try:
            await run()
        except Exception as error:
            TASK_FAILED.log(task=name, error=repr(error))
        await asyncio.sleep(RESTART_INTERVAL_SECONDS)
