"""Servers with a queue that many entries share."""

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
    """Places of one entry of nine."""

    def __init__(self, harness: Any) -> None:
        self.clock = ManualClock(100.0)
        self.selector = ServerSelector(harness.peer_loads, self.clock, 0.0)
        self.selector.entry_count = 9

    async def acquire(self) -> Any:
        """Take a place at the owner."""
        return await self.selector.acquire(
            lambda: [OWNER], frozenset(), self.clock.now() + 1, TARGET_LATENCY_SECONDS
        )

    async def complete_request(self, seconds: float) -> None:
        """Let the owner answer a request after some seconds."""
        permit = await self.acquire()
        permit.latency = seconds
        permit.finished(200)


@pytest.fixture
def selector_harness(harness: Any) -> SelectorHarness:
    return SelectorHarness(harness)


async def test_refusals_of_an_owner_that_answers_quickly_cost_no_places(
    selector_harness: SelectorHarness,
) -> None:
    """Server that sheds at random: guards against an entry that then refuses by itself."""
    await selector_harness.complete_request(0.2)
    for _ in range(5):
        permit = await selector_harness.acquire()
        permit.failed(ServerRefusedError("shedding"))
    assert selector_harness.selector.is_queue_short("s")
    assert [await selector_harness.acquire() for _ in range(3)]


async def test_an_owner_that_answers_late_has_no_short_queue(
    selector_harness: SelectorHarness,
) -> None:
    """Guards against a second try at a server whose queue is full."""
    await selector_harness.complete_request(0.5)
    assert not selector_harness.selector.is_queue_short("s")


async def test_an_unknown_owner_has_no_short_queue(selector_harness: SelectorHarness) -> None:
    """Guards against a second try without any sign that it helps."""
    assert not selector_harness.selector.is_queue_short("s")
