"""Loads in the headers of servers: read, used for the choice, and never a reason for an error.

The failure: headers that are malformed.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING
from typing import Any

import pytest

from medlarpass import ManualClock
from medlarpass.dispatch import PeerLoads
from medlarpass.dispatch import ServerLoadReport
from medlarpass_daemon.entry.callers.dialect import DefaultDialect
from medlarpass_daemon.entry.callers.exceptions import ServerRefusedError
from medlarpass_daemon.entry.callers.interfaces import Target
from medlarpass_daemon.entry.callers.server_selector import MANY_ENTRIES_COUNT
from medlarpass_daemon.entry.callers.server_selector import ServerSelector

if TYPE_CHECKING:
    from multidict import CIMultiDictProxy

LOAD_HEADER = "Test-Load"
SHED = f"Medlarpass-Outcome: not-run\r\nMedlarpass-Refusal: shedding\r\n{LOAD_HEADER}: 3,12,3\r\n"


class LoadDialect(DefaultDialect):
    """The default conventions with a header for the load."""

    __slots__ = ()

    def load_of(self, received: CIMultiDictProxy[str]) -> str | None:
        return received.get(LOAD_HEADER)


@pytest.fixture
async def entry(harness: Any) -> Any:
    """Return an entry whose servers report their loads."""
    entry = await harness.start_entry()
    entry.context.dialect = LoadDialect()
    return entry


@pytest.mark.parametrize("value", ["full", "-1,0,3", "9,0,3", "1,0,0,100", "1,0,3,1e9", "x" * 5000])
async def test_a_malformed_load_is_counted_and_changes_nothing(
    harness: Any, builders: Any, entry: Any, value: str
) -> None:
    """Guards against a request that fails, or a healthy server left out, for an odd header."""
    response = builders.response_bytes(headers=f"{LOAD_HEADER}: {value}\r\n")
    server = await harness.start_server(builders.respond_with(response))
    replies = [await harness.send("/orders", "POST") for _ in range(4)]
    assert [reply.status for reply in replies] == [200] * 4
    assert len(server.requests) == 4
    assert entry.metrics.invalid_loads._value.get() == 4
    assert len(entry.context.client.load_recorder.logged) == 1


async def test_responses_and_refusals_report_the_load(
    harness: Any, builders: Any, entry: Any
) -> None:
    """Guards against a refusal, the surest sign of load, whose report is not used."""
    unqueued = builders.response_bytes(headers=f"{LOAD_HEADER}: 1,0,3,100\r\n")
    shed = builders.response_bytes(status="503 Busy", headers=SHED)
    server = await harness.start_server(
        builders.respond_with(unqueued),
        builders.respond_with(builders.response_bytes()),
        builders.respond_with(shed),
    )
    selector = entry.context.server_selector
    identity = f"s{server.port}"
    await harness.send("/orders", "POST")
    assert selector.reported_loads.current(identity, 1) == ServerLoadReport(1, 0, 3)
    await harness.send("/orders", "POST")
    count, seconds, unqueued_count, unqueued_seconds = selector.take_latencies()[identity]
    assert (count, unqueued_count) == (2, 1)
    assert 0 < unqueued_seconds < seconds
    assert (await harness.send("/orders", "POST")).status == 503
    assert selector.reported_loads.current(identity, 1) == ServerLoadReport(3, 12, 3)


async def choose(selector: ServerSelector, targets: list[Target], tried: set[str]) -> str:
    permit = await selector.acquire(
        lambda: targets, frozenset(tried), selector.clock.now() + 5.0, 2.0
    )
    permit.cancelled()
    return permit.target.identity


@pytest.mark.parametrize("entries", [2, MANY_ENTRIES_COUNT])
async def test_a_slow_period_of_a_fifth_of_the_servers_gets_no_requests(entries: int) -> None:
    """Guards against requests to servers that say that work takes three times as long now."""
    loads: Any = PeerLoads(2.0)
    clock = ManualClock(1000.0)
    selector = ServerSelector(loads, clock)
    selector.set_entry_count(entries)
    targets = [Target(f"s{number}", 1, "10.0.0.1", 80 + number, 3, 100) for number in range(10)]
    for slow in ("s0", "s1"):
        selector.reported_loads.record(slow, 1, ServerLoadReport(2, 0, 3, 300))
    chosen = Counter([await choose(selector, targets, set()) for _ in range(300)])
    assert set(chosen) == {target.identity for target in targets} - {"s0", "s1"}
    clock.advance(0.6)
    chosen = Counter([await choose(selector, targets, set()) for _ in range(300)])
    assert chosen["s0"] > 5
    assert chosen["s1"] > 5


async def test_a_loaded_server_is_better_than_one_that_failed() -> None:
    """Guards against a second attempt at the same server because the other one has a queue."""
    loads: Any = PeerLoads(2.0)
    selector = ServerSelector(loads, ManualClock(1000.0))
    targets = [Target(name, 1, "10.0.0.1", 80, 3, 100) for name in ("tried", "loaded")]
    selector.reported_loads.record("loaded", 1, ServerLoadReport(3, 2, 3))
    assert await choose(selector, targets, {"tried"}) == "loaded"
    assert await choose(selector, targets, set()) == "tried"


async def test_an_idle_report_of_a_server_that_refuses_is_not_used() -> None:
    """Guards against responses that count as unqueued while the server sheds requests."""
    loads: Any = PeerLoads(2.0)
    selector = ServerSelector(loads, ManualClock(1000.0))
    target = Target("s", 1, "10.0.0.1", 80, 3, 100)
    idle = ServerLoadReport(1, 0, 3)
    selector.reported_loads.record("s", 1, idle)
    refused = await selector.acquire(lambda: [target], frozenset(), 1005.0, 2.0)
    answered = await selector.acquire(lambda: [target], frozenset(), 1005.0, 2.0)
    refused.failed(ServerRefusedError("shedding"))
    answered.latency = 0.2
    answered.load = idle
    answered.finished(200)
    assert selector.take_latencies()["s"] == (1, 0.2, 0, 0.0)
