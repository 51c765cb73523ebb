"""Guards against a task that fails unnoticed while its process looks healthy."""

from __future__ import annotations

import asyncio

import eliot
import pytest

from medlarpass_daemon import supervision
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
