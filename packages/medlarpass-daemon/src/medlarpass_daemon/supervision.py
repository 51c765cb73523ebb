"""Keeps tasks alive that a process can't do without."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING

from medlarpass_daemon.events import TASK_FAILED

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

#: Seconds before a task that failed is run again.
RESTART_PAUSE = 0.5


async def supervise(name: str, run: Callable[[], Awaitable[None]]) -> None:
    """Run a task again when it fails for an unexpected reason.

    Without it the task would end unseen, and the process would look healthy without it.

    :param name: name for the log
    :param run: starts the task; it ends only by an error or a cancellation
    """
    while True:
        try:
            await run()
        except Exception as error:
            TASK_FAILED.log(task=name, error=repr(error))
        await asyncio.sleep(RESTART_PAUSE)
