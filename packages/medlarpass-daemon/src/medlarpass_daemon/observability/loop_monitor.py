"""Lag of the event loop of a process."""

from __future__ import annotations

import asyncio
import time

from typing import TYPE_CHECKING

from medlarpass_daemon.events import LOOP_LATE

if TYPE_CHECKING:
    from medlarpass import Clock
    from medlarpass_daemon.observability.metrics import Metrics

#: Interval between two measurements.
SAMPLE_INTERVAL_SECONDS = 0.1
#: Lag that is logged. It delays a call to a follower by a large part of its election timeout.
LATE_SECONDS = 0.2


class LoopMonitor:
    """Measures how late timers run, and logs long lags with the processor time used meanwhile.

    Processor time near the lag means that the process was busy, little of it that it did not get a
    processor or was stopped.

    :param metrics: metrics of the process
    :param clock: source of time; counts suspended time
    """

    __slots__ = ("clock", "metrics")

    def __init__(self, metrics: Metrics, clock: Clock) -> None:
        self.metrics = metrics
        self.clock = clock

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            due_at = self.clock.now() + SAMPLE_INTERVAL_SECONDS
            processor_seconds = time.process_time()
            await asyncio.sleep(SAMPLE_INTERVAL_SECONDS)
            lag = max(self.clock.now() - due_at, 0.0)
            self.metrics.loop_lag.observe(lag)
            if lag >= LATE_SECONDS:
                LOOP_LATE.log(
                    seconds=round(lag, 3),
                    processor_seconds=round(time.process_time() - processor_seconds, 3),
                )
