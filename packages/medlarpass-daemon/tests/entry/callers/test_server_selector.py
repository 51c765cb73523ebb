"""Permits per server are limited, and none is lost."""

from __future__ import annotations

import asyncio

from typing import Any

import pytest

from medlarpass_daemon.entry.callers import server_selector


@pytest.fixture
def selector(harness: Any, monkeypatch: pytest.MonkeyPatch) -> server_selector.ServerSelector:
    """Return a selector whose waiting requests check again only when they are woken."""
    monkeypatch.setattr(server_selector, "RECHECK_INTERVAL_SECONDS", 3600.0)
    return server_selector.ServerSelector(harness.peer_loads, harness.clock)


async def acquire(harness: Any, selector: server_selector.ServerSelector, target: Any) -> Any:
    return await selector.acquire(lambda: (target,), frozenset(), harness.clock.now() + 3600)


async def test_all_room_is_given_to_waiting_requests(
    harness: Any, selector: server_selector.ServerSelector
) -> None:
    """Guards against requests that wait although the limit of their server has increased."""
    target = harness.target(1, slots=3)
    first = await acquire(harness, selector, target)
    selector.limiters[target.identity].limit = 1.0
    waiting = [asyncio.ensure_future(acquire(harness, selector, target)) for _ in range(3)]
    await harness.wait_until(lambda: len(selector.waiting.get(target.identity, ())) == 3)
    selector.limiters[target.identity].limit = 3.0
    first.cancelled()
    permits = await asyncio.wait_for(asyncio.gather(*waiting), 20)
    assert selector.limiters[target.identity].in_flight == 3
    for permit in permits:
        permit.cancelled()
    assert selector.limiters[target.identity].in_flight == 0


async def test_new_request_does_not_overtake(
    harness: Any, selector: server_selector.ServerSelector
) -> None:
    """Guards against waiting requests that lose each free permit to a newer request."""
    target = harness.target(1, slots=1)
    first = await acquire(harness, selector, target)
    older = asyncio.ensure_future(acquire(harness, selector, target))
    await harness.wait_until(lambda: selector.waiting)
    selector.limiters[target.identity].limit = 2.0
    newer = asyncio.ensure_future(acquire(harness, selector, target))
    await asyncio.sleep(0.02)
    assert not newer.done()
    first.cancelled()
    await asyncio.wait_for(asyncio.gather(older, newer), 20)


async def test_changed_slots_keep_open_permits(
    harness: Any, selector: server_selector.ServerSelector
) -> None:
    """Guards against permits that are never released after a server changed its slots."""
    first = await acquire(harness, selector, harness.target(1, slots=4))
    second = await acquire(harness, selector, harness.target(1, slots=2))
    first.cancelled()
    second.cancelled()
    limiter = selector.limiters["s1"]
    assert (limiter.in_flight, limiter.slots, limiter.limit) == (0, 2, 2.0)


async def test_limit_below_one_still_admits(
    harness: Any, selector: server_selector.ServerSelector
) -> None:
    """Guards against a server that gets no more requests once its limit is below 1."""
    target = harness.target(1, slots=1)
    (await acquire(harness, selector, target)).cancelled()
    selector.limiters[target.identity].limit = 0.5
    (await asyncio.wait_for(acquire(harness, selector, target), 20)).finished(200)
    assert selector.limiters[target.identity].limit > 0.5


async def test_paced_request_starts_when_its_pace_allows(
    harness: Any, selector: server_selector.ServerSelector
) -> None:
    """Guards against a server with a limit below 1 that is used less often than the limit allows.

    No request ends that would wake the waiting one.
    """
    target = harness.target(1, slots=1)
    (await acquire(harness, selector, target)).cancelled()
    limiter = selector.limiters[target.identity]
    limiter.limit = 0.5
    limiter.paced_until = harness.clock.now() + 0.02
    (await asyncio.wait_for(acquire(harness, selector, target), 20)).cancelled()
    assert harness.clock.now() >= limiter.paced_until
