"""Places at servers are bounded, and none is lost."""

from __future__ import annotations

import asyncio

from typing import Any

import pytest

from medlarpass_daemon.entry.callers import places


@pytest.fixture
def made(world: Any, monkeypatch: pytest.MonkeyPatch) -> places.ServerPlaces:
    """Return places whose waiting requests only look again when they are told to."""
    monkeypatch.setattr(places, "LOOK_AGAIN", 3600.0)
    return places.ServerPlaces(world.peer_loads, world.clock)


async def take(world: Any, made: places.ServerPlaces, target: Any) -> Any:
    return await made.take(lambda: (target,), frozenset(), world.clock.now() + 3600)


async def test_all_room_is_given_to_waiting_requests(world: Any, made: places.ServerPlaces) -> None:
    """Guards against requests that wait although the limit of their server has grown."""
    target = world.target(1, slots=3)
    first = await take(world, made, target)
    made.limiters[target.identity].limit = 1.0
    waiting = [asyncio.ensure_future(take(world, made, target)) for _ in range(3)]
    await world.until(lambda: len(made.waiting.get(target.identity, ())) == 3)
    made.limiters[target.identity].limit = 3.0
    first.dropped()
    taken = await asyncio.wait_for(asyncio.gather(*waiting), 20)
    assert made.limiters[target.identity].in_flight == 3
    for place in taken:
        place.dropped()
    assert made.limiters[target.identity].in_flight == 0


async def test_new_request_does_not_overtake(world: Any, made: places.ServerPlaces) -> None:
    """Guards against waiting requests that lose each free place to a newer one."""
    target = world.target(1, slots=1)
    first = await take(world, made, target)
    older = asyncio.ensure_future(take(world, made, target))
    await world.until(lambda: made.waiting)
    made.limiters[target.identity].limit = 2.0
    newer = asyncio.ensure_future(take(world, made, target))
    await asyncio.sleep(0.02)
    assert not newer.done()
    first.dropped()
    await asyncio.wait_for(asyncio.gather(older, newer), 20)


async def test_changed_slots_keep_open_places(world: Any, made: places.ServerPlaces) -> None:
    """Guards against places that are never given back after a server changed its slots."""
    first = await take(world, made, world.target(1, slots=4))
    second = await take(world, made, world.target(1, slots=2))
    first.dropped()
    second.dropped()
    limiter = made.limiters["s1"]
    assert (limiter.in_flight, limiter.slots, limiter.limit) == (0, 2, 2.0)


async def test_limit_below_one_still_admits(world: Any, made: places.ServerPlaces) -> None:
    """Guards against a server that gets no request any more once its limit fell below 1."""
    target = world.target(1, slots=1)
    (await take(world, made, target)).dropped()
    made.limiters[target.identity].limit = 0.5
    (await asyncio.wait_for(take(world, made, target), 20)).finished(200)
    assert made.limiters[target.identity].limit > 0.5


async def test_paced_request_starts_when_its_pace_allows(
    world: Any, made: places.ServerPlaces
) -> None:
    """Guards against a server with a limit below 1 that is used less often than its limit allows,
    because no end of a request wakes the next one."""
    target = world.target(1, slots=1)
    (await take(world, made, target)).dropped()
    limiter = made.limiters[target.identity]
    limiter.limit = 0.5
    limiter.paced_until = world.clock.now() + 0.02
    (await asyncio.wait_for(take(world, made, target), 20)).dropped()
    assert world.clock.now() >= limiter.paced_until
