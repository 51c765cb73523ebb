"""The limiter measures the latency of servers without the lag of the entry's event loop."""

from __future__ import annotations

import asyncio

from typing import Any

import pytest

from medlarpass import ManualClock
from medlarpass_daemon.entry.callers import server_selector
from medlarpass_daemon.entry.callers.loop_lag import SAMPLE_INTERVAL_SECONDS
from medlarpass_daemon.entry.callers.loop_lag import LoopLag

USUAL_LATENCY_SECONDS = 0.004
SLOW_LATENCY_SECONDS = 0.5


class AttemptRunner:
    """Makes attempts at one server with a manual clock."""

    def __init__(self, harness: Any) -> None:
        self.clock = ManualClock(100.0)
        self.selector = server_selector.ServerSelector(harness.peer_loads, self.clock)
        self.target = harness.target(1, slots=4)

    async def run(self, seconds: float, is_loop_running: bool) -> None:
        """Make an attempt of a given duration; lag samples are late unless the loop runs."""
        permit = await self.selector.acquire(
            lambda: (self.target,), frozenset(), self.clock.now() + 9
        )
        ends_at = self.clock.now() + seconds
        while is_loop_running and self.clock.now() + SAMPLE_INTERVAL_SECONDS < ends_at:
            self.clock.advance(SAMPLE_INTERVAL_SECONDS)
            self.selector.loop_lag.measure()
        self.clock.advance(ends_at - self.clock.now())
        permit.headers_received()
        permit.finished(200)

    @property
    def limit(self) -> float:
        return self.selector.limiters[self.target.identity].limit


@pytest.fixture
async def runner(harness: Any) -> AttemptRunner:
    runner = AttemptRunner(harness)
    for _ in range(50):
        await runner.run(USUAL_LATENCY_SECONDS, is_loop_running=True)
    assert runner.limit == 4.0
    return runner


async def test_stalled_loop_does_not_lower_the_limit(runner: AttemptRunner) -> None:
    """Guards against a busy or paused entry that throttles healthy servers."""
    for _ in range(20):
        await runner.run(SLOW_LATENCY_SECONDS, is_loop_running=False)
    assert runner.limit == 4.0


async def test_slow_server_lowers_the_limit(runner: AttemptRunner) -> None:
    """Guards against a correction that hides a slow server."""
    for _ in range(2):
        await runner.run(SLOW_LATENCY_SECONDS, is_loop_running=True)
    assert runner.limit < 4.0


async def test_earlier_stall_is_not_subtracted(harness: Any) -> None:
    """Guards against a past stall that reduces the latency of later attempts."""
    clock = ManualClock(100.0)
    lag = LoopLag(clock)
    lag.attempt_started()
    clock.advance(3.0)
    lag.measure()
    clock.advance(SAMPLE_INTERVAL_SECONDS)
    lag.measure()
    started_at = clock.now()
    clock.advance(SAMPLE_INTERVAL_SECONDS)
    lag.measure()
    assert lag.latency_without_lag(started_at) == pytest.approx(SAMPLE_INTERVAL_SECONDS)


async def test_no_timer_runs_while_nothing_is_in_flight(harness: Any) -> None:
    """Guards against an idle entry with a running timer."""
    lag = LoopLag(harness.clock)
    assert lag.sample_due_at is None
    lag.attempt_started()
    assert lag.sample_due_at is not None
    lag.attempt_ended()
    await harness.wait_until(lambda: lag.sample_due_at is None)
    await asyncio.sleep(2 * SAMPLE_INTERVAL_SECONDS)
    assert lag.sample_due_at is None
