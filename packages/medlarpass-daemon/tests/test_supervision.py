"""Guards against a task that fails unnoticed while its process looks healthy."""

from __future__ import annotations

import asyncio

import eliot
import pytest

from medlarpass_daemon import supervision
from medlarpass_daemon.supervision import end_tasks
from medlarpass_daemon.supervision import supervise


async def test_failed_task_is_logged_and_run_again(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(supervision, "RESTART_INTERVAL_SECONDS", 0.0)
    messages: list[dict[str, object]] = []
    restarted = asyncio.Event()
    runs = []

    async def run() -> None:
        runs.append(len(runs))
        if len(runs) == 1:
            raise KeyError("s1")
        restarted.set()
        await asyncio.Event().wait()

    eliot.add_destinations(messages.append)
    try:
        task = asyncio.create_task(supervise("grants", run))
        await asyncio.wait_for(restarted.wait(), 20)
    finally:
        eliot.remove_destination(messages.append)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    failures = [message for message in messages if message.get("event") == 1005]
    assert [(message["task"], message["error"]) for message in failures] == [
        ("grants", "KeyError('s1')")
    ]


async def test_a_task_ends_although_its_first_cancellation_is_lost() -> None:
    """Guards against a task that acts for a term of leadership that has ended."""
    tasks: set[asyncio.Task[None]] = set()
    late_writes = []

    async def run_late() -> None:
        await asyncio.sleep(3600)
        late_writes.append("late")

    async def run() -> None:
        try:
            await asyncio.sleep(3600)
        except asyncio.CancelledError:
            # The task that is started here has to end as well.
            tasks.add(asyncio.create_task(run_late()))
        await asyncio.sleep(3600)

    tasks.add(asyncio.create_task(run()))
    await asyncio.sleep(0)
    await end_tasks(tasks)
    assert len(tasks) == 2
    assert all(task.done() for task in tasks)
    assert not late_writes
