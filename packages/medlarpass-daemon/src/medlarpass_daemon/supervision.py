"""Restarts essential background tasks when they fail, and ends tasks."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING

from medlarpass_daemon.events import TASK_FAILED

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Collection

RESTART_INTERVAL_SECONDS = 0.5
#: Interval at which the cancellation of a task that goes on is repeated.
CANCEL_INTERVAL_SECONDS = 0.1


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


async def end_tasks(tasks: Collection[asyncio.Task[None]]) -> None:
    """Cancel tasks until all have ended, so that none of them acts afterwards.

    One cancellation may not be enough. The timeout of a library that expires in the same pass of
    the event loop can replace it, as the total timeout of aiohttp 3.14 does, and then the task
    goes on as after any other timeout.

    :param tasks: tasks to end; those that are added to the collection meanwhile end as well
    """
    while pending := [task for task in tasks if not task.done()]:
        for task in pending:
            task.cancel()
        await asyncio.wait(pending, timeout=CANCEL_INTERVAL_SECONDS)
