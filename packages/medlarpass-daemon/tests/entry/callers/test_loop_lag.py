"""The limiter sees the latency of servers and not that of the entry's own event loop."""

from __future__ import annotations

import asyncio

from typing import Any

import pytest

from medlarpass import ManualClock
from medlarpass_daemon.entry.callers import places
from medlarpass_daemon.entry.callers.loop_lag import PERIOD
from medlarpass_daemon.entry.callers.loop_lag import LoopLag

USUAL = 0.004
SLOW = 0.5


class Attempts:
    """Attempts at one server, with a clock that the test moves."""

    def __init__(self, world: Any) -> None:
        self.clock = ManualClock(100.0)
        self.places = places.ServerPlaces(world.peer_loads, self.clock)
        self.target = world.target(1, slots=4)

    async def run(self, seconds: float, is_loop_running: bool) -> None:
        """Make an attempt of a length; measurements are late unless the loop runs."""
        place = await self.places.take(lambda: (self.target,), frozenset(), self.clock.now() + 9)
        ends_at = self.clock.now() + seconds
        while is_loop_running and self.clock.now() + PERIOD < ends_at:
            self.clock.advance(PERIOD)
            self.places.lag.measure()
        self.clock.advance(ends_at - self.clock.now())
        place.answered()
        place.finished(200)

    @property
    def limit(self) -> float:
        return self.places.limiters[self.target.identity].limit


@pytest.fixture
async def attempts(world: Any) -> Attempts:
    made = Attempts(world)
    for _ in range(50):
        await made.run(USUAL, is_loop_running=True)
    assert made.limit == 4.0
    return made


async def test_stalled_loop_does_not_lower_the_limit(attempts: Attempts) -> None:
    """Guards against a busy or paused entry that throttles healthy servers."""
    for _ in range(20):
        await attempts.run(SLOW, is_loop_running=False)
    assert attempts.limit == 4.0


async def test_slow_server_lowers_the_limit(attempts: Attempts) -> None:
    """Guards against a correction that hides a slow server."""
    for _ in range(2):
        await attempts.run(SLOW, is_loop_running=True)
    assert attempts.limit < 4.0


async def test_earlier_stall_is_not_taken_off(world: Any) -> None:
    """Guards against a past pause that shortens the latency of later attempts."""
    clock = ManualClock(100.0)
    lag = LoopLag(clock)
    lag.started()
    clock.advance(3.0)
    lag.measure()
    clock.advance(PERIOD)
    lag.measure()
    started_at = clock.now()
    clock.advance(PERIOD)
    lag.measure()
    assert lag.without_lag(started_at) == pytest.approx(PERIOD)


async def test_no_timer_runs_while_nothing_is_in_flight(world: Any) -> None:
    """Guards against an idle entry that wakes up all the time."""
    lag = LoopLag(world.clock)
    assert lag.due is None
    lag.started()
    assert lag.due is not None
    lag.ended()
    await world.until(lambda: lag.due is None)
    await asyncio.sleep(2 * PERIOD)
    assert lag.due is None
