"""Servers that do not answer get no requests, which would only wait for their deadline."""

from __future__ import annotations

from typing import Any

import pytest

from medlarpass import ManualClock
from medlarpass_daemon.entry.callers.exceptions import ServerRefusedError
from medlarpass_daemon.entry.callers.exceptions import ServersBusyError
from medlarpass_daemon.entry.callers.exceptions import ServerUnreachableError
from medlarpass_daemon.entry.callers.interfaces import Target
from medlarpass_daemon.entry.callers.places import STALL_AFTER
from medlarpass_daemon.entry.callers.places import UNREACHABLE_PAUSE
from medlarpass_daemon.entry.callers.places import ServerPlaces


def target(name: str, domain: str = "a", slots: int = 4) -> Target:
    """Return a server."""
    return Target(name, 1, "10.0.0.1", 80, slots, 100, domain=domain)


class Made:
    """Places with a clock that the test moves."""

    def __init__(self, world: Any) -> None:
        self.clock = ManualClock(100.0)
        self.places = ServerPlaces(world.peer_loads, self.clock, 0.0)

    async def take(self, *targets: Target) -> Any:
        """Take a place at one of the targets."""
        deadline = self.clock.now() + 1
        return await self.places.take(lambda: targets, frozenset(), deadline)


@pytest.fixture
def made(world: Any) -> Made:
    return Made(world)


async def test_an_unreachable_owner_is_refused_at_once(made: Made) -> None:
    """Guards against requests that each wait for a connection to a server behind a cut."""
    owner = target("s")
    place = await made.take(owner)
    place.failed(ServerUnreachableError(""))
    with pytest.raises(ServerUnreachableError):
        await made.take(owner)
    made.clock.advance(UNREACHABLE_PAUSE + 0.01)
    assert (await made.take(owner)).target is owner


async def test_another_server_is_used_instead_of_an_unreachable_one(made: Made) -> None:
    """Guards against a choice that keeps trying a server behind a cut."""
    one, two = target("one"), target("two")
    place = await made.take(one, two)
    place.failed(ServerUnreachableError(""))
    for _ in range(3):
        assert (await made.take(one, two)).target is not place.target


async def test_a_silent_owner_is_refused_at_once(made: Made) -> None:
    """Guards against requests on kept connections to a server that stopped to answer."""
    owner = target("s")
    await made.take(owner)
    await made.take(owner)
    made.clock.advance(STALL_AFTER + 0.01)
    with pytest.raises(ServerUnreachableError):
        await made.take(owner)


async def test_an_answer_ends_the_avoidance(made: Made) -> None:
    """Guards against a server that stays out although it answers."""
    owner = target("s")
    first = await made.take(owner)
    await made.take(owner)
    made.clock.advance(STALL_AFTER + 0.01)
    first.answered()
    assert (await made.take(owner)).target is owner


async def test_a_request_does_not_wait_for_a_busy_owner(made: Made) -> None:
    """Guards against requests for a hot key that are held and then refused."""
    owner = target("s", slots=1)
    await made.take(owner)
    with pytest.raises(ServersBusyError):
        await made.take(owner)


def test_long_answers_come_from_the_own_domain(made: Made) -> None:
    """Guards against bodies that cross the links between domains without need."""
    near, far = target("near", "a"), target("far", "b")
    assert made.places.near([far, near], "a", frozenset()) == [near]
    assert made.places.near([far], "a", frozenset()) == [far]
    assert made.places.near([far, near], "a", frozenset({"near"})) == [far, near]


async def test_a_lost_server_is_tried_less_and_less(made: Made) -> None:
    """Server that is gone for good: guards against a failed connection every 0.3 s all day."""
    lost, well = target("lost"), target("well")
    tries = 0
    for _ in range(200):
        place = await made.take(lost, well)
        if place.target is lost:
            tries += 1
            place.failed(ServerUnreachableError(""))
        else:
            place.latency = 0.1
            place.finished(200)
        made.clock.advance(0.1)
    assert tries <= 8


async def test_a_lost_server_is_tried_when_no_other_is_left(made: Made) -> None:
    """Guards against an entry that serves nobody for seconds after its own cut has healed."""
    lost = [target("one"), target("two")]
    for _ in range(12):
        place = await made.take(*lost)
        place.failed(ServerUnreachableError(""))
        made.clock.advance(UNREACHABLE_PAUSE + 0.01)
    assert await made.take(*lost)


async def test_a_new_life_of_a_lost_server_is_not_shunned(made: Made) -> None:
    """Guards against a server that waits for work after its restart."""
    lost = target("lost")
    for _ in range(4):
        made.places.unreachable(lost)
    again = Target("lost", 2, "10.0.0.1", 80, 4, 100, domain="a")
    assert made.places.is_shunned(lost)
    assert not made.places.is_shunned(again)


async def test_an_address_with_another_server_is_left(made: Made) -> None:
    """Address that is used again: guards against the quick refusals of a server that is gone.

    They made it look like the least busy one, and a fifth of the downloads went there.
    """
    gone, well = target("gone"), target("well")
    place = await made.take(gone)
    place.failed(ServerRefusedError("not-owner"))
    for _ in range(3):
        assert (await made.take(gone, well)).target is well
