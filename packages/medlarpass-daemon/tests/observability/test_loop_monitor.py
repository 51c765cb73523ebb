from __future__ import annotations

import asyncio
import time

from typing import TYPE_CHECKING
from typing import Any

from medlarpass import BootClock
from medlarpass_daemon.observability import LoopMonitor
from medlarpass_daemon.observability import Metrics
from medlarpass_daemon.observability import loop_monitor

if TYPE_CHECKING:
    import pytest

BLOCKED_SECONDS = 2 * loop_monitor.LATE_SECONDS


class RecordedEvent:
    """Records the fields of the first line that is logged."""

    def __init__(self) -> None:
        self.fields: asyncio.Future[dict[str, Any]] = asyncio.get_running_loop().create_future()

    def log(self, **fields: Any) -> None:
        if not self.fields.done():
            self.fields.set_result(fields)


async def test_a_late_loop_is_logged_and_measured(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a control process that stands still without a trace in logs or metrics."""
    event = RecordedEvent()
    monkeypatch.setattr(loop_monitor, "LOOP_LATE", event)
    metrics = Metrics()
    task = asyncio.create_task(LoopMonitor(metrics, BootClock()).run())
    await asyncio.sleep(0)
    time.sleep(loop_monitor.SAMPLE_INTERVAL_SECONDS + BLOCKED_SECONDS)  # noqa: ASYNC251
    logged = await event.fields
    task.cancel()
    assert logged["seconds"] >= BLOCKED_SECONDS
    # The process was blocked and did not compute.
    assert logged["processor_seconds"] < logged["seconds"]
    (family,) = metrics.loop_lag.collect()
    lag = next(sample.value for sample in family.samples if sample.name.endswith("_sum"))
    assert lag >= BLOCKED_SECONDS
