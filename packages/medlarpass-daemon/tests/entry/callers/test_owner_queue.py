"""What an entry does with requests that the full owner of their key refuses.

The load is a key with 16% of the requests of its pool for some seconds, whose owner has 3 slots and
a full queue.
"""

from __future__ import annotations

import asyncio

from typing import Any

import pytest

from medlarpass import ManualClock
from medlarpass.dispatch import PeerLoads
from medlarpass.tables import Route
from medlarpass_daemon.entry.callers.exceptions import OwnerBusyError
from medlarpass_daemon.entry.callers.interfaces import Target
from medlarpass_daemon.entry.callers.owner_queue import OwnerQueue
from medlarpass_daemon.entry.callers.owner_turns import OwnerTurns
from medlarpass_daemon.entry.callers.retry_after import retry_after_seconds
from medlarpass_daemon.entry.callers.server_selector import ServerSelector

OWNER = Target("s1", 1, "10.0.0.1", 80, 3, 100)
SHED = "Medlarpass-Outcome: not-run\r\nMedlarpass-Refusal: shedding\r\n"


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock(1000.0)


@pytest.fixture
def turns(clock: ManualClock) -> OwnerTurns:
    return OwnerTurns(clock)


def test_requests_to_a_full_owner_are_spaced(turns: OwnerTurns, clock: ManualClock) -> None:
    """Guards against requests that go to a full owner at once, or all at the same time."""
    assert turns.take(OWNER) == 0.0
    turns.record_refusal(OWNER, 0.6)
    waits = [turns.take(OWNER) for _ in range(3)]
    assert waits == pytest.approx([0.2, 0.4, 0.6])
    clock.advance(0.7)
    assert turns.expected_wait(OWNER) == pytest.approx(0.1)


def test_each_further_refusal_doubles_the_interval(turns: OwnerTurns, clock: ManualClock) -> None:
    """Guards against dozens of entries that keep the queue of a hot owner full."""
    turns.record_refusal(OWNER, 0.3)
    turns.record_refusal(OWNER, 0.3)
    assert turns.expected_wait(OWNER) == pytest.approx(0.1)
    for expected in (0.2, 0.4, 0.8, 1.0, 1.0):
        clock.advance(1.0)
        turns.record_refusal(OWNER, 0.3)
        assert turns.expected_wait(OWNER) == pytest.approx(expected)
    for _ in range(5):
        turns.record_response(OWNER)
    assert turns.expected_wait(OWNER) == 0.0


def test_turns_end_with_the_incarnation_and_with_time(
    turns: OwnerTurns, clock: ManualClock
) -> None:
    """Guards against waits for a queue that no longer exists."""
    turns.record_refusal(OWNER, 0.6)
    successor = Target("s1", 2, "10.0.0.1", 80, 3, 100)
    assert turns.expected_wait(successor) == 0.0
    clock.advance(5.0)
    assert turns.take(OWNER) == 0.0
    assert not turns.by_identity


class FakeRequest:
    """A request for an owned key with a target latency of 1 s."""

    def __init__(self, clock: ManualClock) -> None:
        self.clock = clock
        self.started_at = clock.now()
        self.route: Any = type("Route", (), {"target_latency": 1.0})
        self.remaining = 5.0


async def test_a_wait_beyond_the_target_latency_is_refused_at_once(
    turns: OwnerTurns, clock: ManualClock
) -> None:
    """Guards against requests that wait for an answer that comes too late."""
    loads: Any = PeerLoads(2.0)
    queue = OwnerQueue(turns, ServerSelector(loads, clock))
    request: Any = FakeRequest(clock)
    turns.record_refusal(OWNER, 0.9)
    assert queue.can_wait(request, OWNER)
    for _ in range(3):
        turns.take(OWNER)
    with pytest.raises(OwnerBusyError) as caught:
        await queue.wait_for_turn(request, OWNER)
    # The turns of the waiting requests end after 1.2 s.
    times = [retry_after_seconds(caught.value, 1.0) for _ in range(50)]
    assert min(times) >= 1.2
    assert max(times) <= 1.8


async def test_a_refused_request_waits_for_its_turn(
    harness: Any, builders: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a second attempt at a full owner right after its refusal."""
    shed = builders.respond_with(builders.response_bytes(status="503 Busy", headers=SHED))
    server = await harness.start_server(
        shed, builders.respond_with(builders.response_bytes()), slots=1
    )
    harness.owners.move("r1", harness.target(server.port, 1, fence=1))
    entry = await harness.start_entry()
    turns = OwnerTurns(harness.clock)
    entry.context.owner_queue = OwnerQueue(turns, entry.context.server_selector)
    monkeypatch.setattr(Route, "target_latency", 2.0)
    harness.allow_retries("stock")
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    reply = await harness.send("/stock/r1")
    assert (reply.status, len(server.requests)) == (200, 2)
    assert loop.time() - started_at >= 0.25


async def test_a_request_without_time_for_a_turn_is_refused_once(
    harness: Any, builders: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a second attempt that could only come too late."""
    shed = builders.respond_with(builders.response_bytes(status="503 Busy", headers=SHED))
    server = await harness.start_server(shed, slots=1)
    harness.owners.move("r1", harness.target(server.port, 1, fence=1))
    entry = await harness.start_entry()
    turns = OwnerTurns(harness.clock)
    entry.context.owner_queue = OwnerQueue(turns, entry.context.server_selector)
    monkeypatch.setattr(Route, "target_latency", 0.2)
    harness.allow_retries("stock")
    reply = await harness.send("/stock/r1")
    assert (reply.status, reply.document["code"]) == (503, "owner_busy")
    assert reply.document["outcome"] == "not-run"
    assert (await harness.send("/stock/r1")).document["code"] == "owner_busy"
    assert len(server.requests) == 1
