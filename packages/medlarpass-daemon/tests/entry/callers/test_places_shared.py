"""Servers with a queue that many entries share."""

from __future__ import annotations

from typing import Any

import pytest

from medlarpass import ManualClock
from medlarpass_daemon.entry.callers.exceptions import ServerRefusedError
from medlarpass_daemon.entry.callers.interfaces import Target
from medlarpass_daemon.entry.callers.places import ServerPlaces

OWNER = Target("s", 1, "10.0.0.1", 80, 3, 100, domain="a")
AIM = 0.6


class Made:
    """Places of one entry of nine."""

    def __init__(self, world: Any) -> None:
        self.clock = ManualClock(100.0)
        self.places = ServerPlaces(world.peer_loads, self.clock, 0.0)
        self.places.entries = 9

    async def take(self) -> Any:
        """Take a place at the owner."""
        return await self.places.take(lambda: [OWNER], frozenset(), self.clock.now() + 1, AIM)

    async def answer(self, seconds: float) -> None:
        """Let the owner answer a request after some seconds."""
        place = await self.take()
        place.latency = seconds
        place.finished(200)


@pytest.fixture
def made(world: Any) -> Made:
    return Made(world)


async def test_refusals_of_an_owner_that_answers_quickly_cost_no_places(made: Made) -> None:
    """Server that sheds at random: guards against an entry that then refuses by itself."""
    await made.answer(0.2)
    for _ in range(5):
        place = await made.take()
        place.failed(ServerRefusedError("shedding"))
    assert made.places.is_queue_short("s")
    assert [await made.take() for _ in range(3)]


async def test_an_owner_that_answers_late_has_no_short_queue(made: Made) -> None:
    """Guards against a second try at a server whose queue is full."""
    await made.answer(0.5)
    assert not made.places.is_queue_short("s")


async def test_an_unknown_owner_has_no_short_queue(made: Made) -> None:
    """Guards against a second try without any sign that it helps."""
    assert not made.places.is_queue_short("s")
