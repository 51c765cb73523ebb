"""Permits for a server whose queue is shared by many entries."""

from __future__ import annotations

from typing import Any

import pytest

from medlarpass import ManualClock
from medlarpass_daemon.entry.callers.exceptions import ServerRefusedError
from medlarpass_daemon.entry.callers.interfaces import Target
from medlarpass_daemon.entry.callers.server_selector import ServerSelector

OWNER = Target("s", 1, "10.0.0.1", 80, 3, 100, domain="a")
TARGET_LATENCY_SECONDS = 0.6


class SelectorHarness:
    """The selector of one entry of nine, without waiting."""

    def __init__(self, harness: Any) -> None:
        self.clock = ManualClock(100.0)
        self.selector = ServerSelector(harness.peer_loads, self.clock, 0.0)
        self.selector.entry_count = 9

    async def acquire(self) -> Any:
        """Acquire a permit for the owner."""
        return await self.selector.acquire(
            lambda: [OWNER], frozenset(), self.clock.now() + 1, TARGET_LATENCY_SECONDS
        )

    async def complete_request(self, seconds: float) -> None:
        """Let the owner respond to a request after some seconds."""
        permit = await self.acquire()
        permit.latency = seconds
        permit.finished(200)


@pytest.fixture
def selector_harness(harness: Any) -> SelectorHarness:
    return SelectorHarness(harness)


async def test_refusals_of_an_owner_that_responds_quickly_cost_no_permits(
    selector_harness: SelectorHarness,
) -> None:
    """Guards against an entry that refuses requests because a fast server sheds at random."""
    await selector_harness.complete_request(0.2)
    for _ in range(5):
        permit = await selector_harness.acquire()
        permit.failed(ServerRefusedError("shedding"))
    assert selector_harness.selector.is_queue_short("s")
    assert [await selector_harness.acquire() for _ in range(3)]


async def test_an_owner_that_responds_late_has_no_short_queue(
    selector_harness: SelectorHarness,
) -> None:
    """Guards against a second attempt at a server whose queue is full."""
    await selector_harness.complete_request(0.5)
    assert not selector_harness.selector.is_queue_short("s")


async def test_an_unknown_owner_has_no_short_queue(selector_harness: SelectorHarness) -> None:
    """Guards against a second attempt without evidence that it can succeed."""
    assert not selector_harness.selector.is_queue_short("s")
