"""Unresponsive servers get no requests, which would only wait until their deadline."""

from __future__ import annotations

from typing import Any

import pytest

from medlarpass import ManualClock
from medlarpass_daemon.entry.callers.exceptions import ServerRefusedError
from medlarpass_daemon.entry.callers.exceptions import ServersBusyError
from medlarpass_daemon.entry.callers.exceptions import ServerUnreachableError
from medlarpass_daemon.entry.callers.interfaces import Target
from medlarpass_daemon.entry.callers.server_selector import STALL_TIMEOUT_SECONDS
from medlarpass_daemon.entry.callers.server_selector import UNREACHABLE_PAUSE_SECONDS
from medlarpass_daemon.entry.callers.server_selector import ServerSelector


def target(name: str, domain: str = "a", slots: int = 4) -> Target:
    """Return a server."""
    return Target(name, 1, "10.0.0.1", 80, slots, 100, domain=domain)


class SelectorHarness:
    """A selector with a manual clock and without waiting."""

    def __init__(self, harness: Any) -> None:
        self.clock = ManualClock(100.0)
        self.selector = ServerSelector(harness.peer_loads, self.clock, 0.0)

    async def acquire(self, *targets: Target) -> Any:
        """Acquire a permit for one of the targets."""
        deadline = self.clock.now() + 1
        return await self.selector.acquire(lambda: targets, frozenset(), deadline)


@pytest.fixture
def selector_harness(harness: Any) -> SelectorHarness:
    return SelectorHarness(harness)


async def test_an_unreachable_owner_is_refused_at_once(selector_harness: SelectorHarness) -> None:
    """Guards against requests that each wait for a connection to a partitioned server."""
    owner = target("s")
    permit = await selector_harness.acquire(owner)
    permit.failed(ServerUnreachableError(""))
    with pytest.raises(ServerUnreachableError):
        await selector_harness.acquire(owner)
    selector_harness.clock.advance(UNREACHABLE_PAUSE_SECONDS + 0.01)
    assert (await selector_harness.acquire(owner)).target is owner


async def test_another_server_is_used_instead_of_an_unreachable_one(
    selector_harness: SelectorHarness,
) -> None:
    """Guards against a selection that keeps trying a partitioned server."""
    one, two = target("one"), target("two")
    permit = await selector_harness.acquire(one, two)
    permit.failed(ServerUnreachableError(""))
    for _ in range(3):
        assert (await selector_harness.acquire(one, two)).target is not permit.target


async def test_a_stalled_owner_is_refused_at_once(selector_harness: SelectorHarness) -> None:
    """Guards against requests on open connections to a server that stopped responding."""
    owner = target("s")
    await selector_harness.acquire(owner)
    await selector_harness.acquire(owner)
    selector_harness.clock.advance(STALL_TIMEOUT_SECONDS + 0.01)
    with pytest.raises(ServerUnreachableError):
        await selector_harness.acquire(owner)


async def test_a_response_makes_a_stalled_owner_available(
    selector_harness: SelectorHarness,
) -> None:
    """Guards against a server that stays excluded although it responds."""
    owner = target("s")
    first = await selector_harness.acquire(owner)
    await selector_harness.acquire(owner)
    selector_harness.clock.advance(STALL_TIMEOUT_SECONDS + 0.01)
    first.headers_received()
    assert (await selector_harness.acquire(owner)).target is owner


async def test_a_request_does_not_wait_for_a_busy_owner(selector_harness: SelectorHarness) -> None:
    """Guards against requests for a hot key that wait before they are refused."""
    owner = target("s", slots=1)
    await selector_harness.acquire(owner)
    with pytest.raises(ServersBusyError):
        await selector_harness.acquire(owner)


def test_large_responses_come_from_the_own_domain(selector_harness: SelectorHarness) -> None:
    """Guards against large responses that cross the links between domains unnecessarily."""
    local, remote = target("near", "a"), target("far", "b")
    assert selector_harness.selector.prefer_domain([remote, local], "a", frozenset()) == [local]
    assert selector_harness.selector.prefer_domain([remote], "a", frozenset()) == [remote]
    assert selector_harness.selector.prefer_domain([remote, local], "a", frozenset({"near"})) == [
        remote,
        local,
    ]


async def test_a_lost_server_is_tried_less_and_less(selector_harness: SelectorHarness) -> None:
    """Guards against a failed connection every 0.3 s to a server that never comes back."""
    lost, healthy = target("lost"), target("well")
    tries = 0
    for _ in range(200):
        permit = await selector_harness.acquire(lost, healthy)
        if permit.target is lost:
            tries += 1
            permit.failed(ServerUnreachableError(""))
        else:
            permit.latency = 0.1
            permit.finished(200)
        selector_harness.clock.advance(0.1)
    assert tries <= 8


async def test_a_lost_server_is_tried_when_no_other_is_left(
    selector_harness: SelectorHarness,
) -> None:
    """Guards against an entry that serves no requests for seconds after its partition has ended."""
    lost = [target("one"), target("two")]
    for _ in range(12):
        permit = await selector_harness.acquire(*lost)
        permit.failed(ServerUnreachableError(""))
        selector_harness.clock.advance(UNREACHABLE_PAUSE_SECONDS + 0.01)
    assert await selector_harness.acquire(*lost)


async def test_a_new_incarnation_of_a_lost_server_is_not_backing_off(
    selector_harness: SelectorHarness,
) -> None:
    """Guards against a restarted server that gets no requests."""
    lost = target("lost")
    for _ in range(4):
        selector_harness.selector.record_unreachable(lost)
    restarted = Target("lost", 2, "10.0.0.1", 80, 4, 100, domain="a")
    assert selector_harness.selector.is_backing_off(lost)
    assert not selector_harness.selector.is_backing_off(restarted)


async def test_an_address_used_by_another_server_is_avoided(
    selector_harness: SelectorHarness,
) -> None:
    """Guards against requests to an address that another server now uses.

    Its quick refusals make the departed server look like the least loaded one, which attracted a
    fifth of the downloads.
    """
    departed, healthy = target("gone"), target("well")
    permit = await selector_harness.acquire(departed)
    permit.failed(ServerRefusedError("not-owner"))
    for _ in range(3):
        assert (await selector_harness.acquire(departed, healthy)).target is healthy
