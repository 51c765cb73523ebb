"""Tests responses of an entry that receives a confirmed publication late."""

from __future__ import annotations

import asyncio
import json
import random
import signal
import string
import time

from typing import TYPE_CHECKING
from typing import Any

import pytest

from tools.bench.relay import RelayNetwork
from tools.soak.fleet_system import FleetSystem

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

#: The users' limit from a confirmation until every entry follows the version.
MAX_APPLY_SECONDS = 2.0
#: Time for which an entry is tested after a confirmation. A version that its link can't deliver
#: would never arrive.
OBSERVATION_SECONDS = 8.0
#: The large publication takes about 60 KB when packed. At the low bandwidth a single message with
#: all routes takes longer than an entry waits for the next message.
LARGE_ROUTE_COUNT = 1500
LOW_BYTES_PER_SECOND = 25_000
HOST = "rolls.example"
#: A publication with this many routes exceeds one log record.
MULTI_RECORD_ROUTE_COUNT = 6000
#: One-way link delay with which an entry still receives updates of control in time.
SHORT_DELAY_SECONDS = 0.1
#: One-way delay of a link with a long queue of request bodies; the round trip takes 0.8 s.
LONG_DELAY_SECONDS = 0.4


def configuration(version: int, extra_route_count: int, new_prefix: str = "") -> dict[str, Any]:
    """Return a configuration with ``/art/``, random routes and optionally a new route."""
    rng = random.Random(version)

    def random_word() -> str:
        return "".join(rng.choices(string.ascii_lowercase + string.digits, k=10))

    prefixes = [
        "/art/",
        *([new_prefix] if new_prefix else []),
        *(f"/{random_word()}/" for _ in range(extra_route_count)),
    ]
    routes = [
        {
            "name": f"r-{number}-{random_word()}",
            "host": HOST,
            "path_prefix": prefix,
            "type": "download",
            "timeout_s": 5,
            "target_latency_s": 1,
            "priority": 1,
            "upstream": "art",
            "max_attempts": 2,
        }
        for number, prefix in enumerate(prefixes)
    ]
    pools = [{"name": "art", "max_connections": 100, "sharded": False}]
    return {"version": f"r{version}", "routes": routes, "upstreams": pools, "limits": {}}


@pytest.fixture
async def system(tmp_path: Path) -> AsyncIterator[FleetSystem]:
    """Start a system that serves ``/art/`` and has relays between its processes."""
    relays = RelayNetwork()
    fleet_system = FleetSystem(tmp_path, relays=relays)
    try:
        await fleet_system.start()
        await publish(fleet_system, configuration(1, 0))
        await fleet_system.add_server("art", "i-1")
        await fleet_system.wait_until_served("/art/7")
        yield fleet_system
    finally:
        await fleet_system.stop()
        relays.close()


async def publish(system: FleetSystem, body: dict[str, Any]) -> None:
    """Publish a configuration, retrying until it is confirmed."""
    await system.wait_until(
        lambda: system.call_control("config.put", body), lambda response: response[0] == 200
    )


async def limit_bandwidth(system: FleetSystem) -> None:
    """Limit the bandwidth to the entry so that a large publication takes seconds."""
    assert system.relays is not None
    for link in system.relays.links.values():
        if link.source == "entry":
            link.return_bytes_per_second = LOW_BYTES_PER_SECOND


async def reset_streams_on_slow_link(system: FleetSystem) -> None:
    """Reset the entry's streams while the link delays each response."""
    assert system.relays is not None
    for link in system.relays.links.values():
        if link.source == "entry":
            link.delay_seconds = LONG_DELAY_SECONDS
            system.relays.reset(link)


async def block_control_responses(system: FleetSystem) -> None:
    """Block all data from control to the entry."""
    assert system.relays is not None
    for link in system.relays.links.values():
        if link.source == "entry":
            link.is_return_blocked = True


def followed_replicas(system: FleetSystem) -> list[str]:
    """Return the addresses of the replicas that the entry has followed, the most recent last."""
    return [
        line["control"]
        for line in system.log_of("entry")
        if line["message_type"] == "medlarpass:fleet_regained"
    ]


async def freeze_followed_replica(system: FleetSystem) -> None:
    """Freeze the replica that the entry follows, with its connections open."""
    followed = await system.wait_until(
        lambda: asyncio.sleep(0, followed_replicas(system)), lambda addresses: bool(addresses)
    )
    ip = followed[-1].rpartition(":")[0]
    name = next(name for name, address in system.addresses.items() if address == ip)
    system.processes[name].send_signal(signal.SIGSTOP)


async def no_fault(system: FleetSystem) -> None:
    """Inject no fault."""


FAULTS = {
    "no fault": no_fault,
    "low bandwidth": limit_bandwidth,
    "slow link": reset_streams_on_slow_link,
    "blocked control responses": block_control_responses,
    "frozen replica": freeze_followed_replica,
}


@pytest.mark.parametrize("fault", FAULTS)
async def test_a_route_that_was_confirmed_is_not_denied(system: Any, fault: str) -> None:
    """Guards against 404 for a route whose addition was confirmed more than 2 s ago.

    Callers treat 404 as final, so an entry whose routes may be stale must not return it.
    """
    await FAULTS[fault](system)
    await publish(system, configuration(2, LARGE_ROUTE_COUNT, "/new/"))
    confirmed_at = time.monotonic()
    not_found_times = []
    served_at = None
    while time.monotonic() < confirmed_at + OBSERVATION_SECONDS and served_at is None:
        sent_at = time.monotonic() - confirmed_at
        status, text, headers = await system.send_request("/new/7")
        if status == 404 and sent_at > MAX_APPLY_SECONDS:
            not_found_times.append(round(sent_at, 2))
        if status == 503:
            assert "routes_unknown" in text
            assert 0 < float(headers["Retry-After"]) < MAX_APPLY_SECONDS
        if status == 200:
            served_at = sent_at
        await asyncio.sleep(0.05)
    assert (
        not not_found_times
    ), f"404 at {not_found_times[0]} to {not_found_times[-1]} s after the confirmation"
    if fault != "blocked control responses":
        assert served_at is not None, "the route was never served"
    assert (await system.send_request("/art/7"))[0] == 200


async def test_a_confirmed_change_is_in_force_at_entries_that_follow(system: Any) -> None:
    """Guards against a confirmation that is sent before the entries have received the change."""
    assert system.relays is not None
    for link in system.relays.links.values():
        if link.source == "entry":
            link.delay_seconds = SHORT_DELAY_SECONDS
    await publish(system, configuration(2, 0, "/new/"))
    assert (await system.send_request("/new/7"))[0] == 200


async def test_a_confirmed_leave_is_followed_by_entries(system: Any) -> None:
    """Guards against confirming that a server leaves before entries stop sending it requests."""
    leaving = await system.add_server("art", "i-2")
    await system.wait_until(
        lambda: system.send_request("/art/7"),
        lambda response: response[0] == 200 and response[1].startswith("i-2"),
    )
    assert system.relays is not None
    for link in system.relays.links.values():
        if link.source == "entry":
            link.delay_seconds = SHORT_DELAY_SECONDS
    leaving.state = "draining"
    await system.wait_until(leaving.send_heartbeat, bool)
    executed_count = len(leaving.executed_requests)
    for number in range(20):
        assert (await system.send_request(f"/art/{number}"))[0] == 200
    assert len(leaving.executed_requests) == executed_count


async def test_a_publication_of_thousands_of_routes_is_confirmed(system: Any) -> None:
    """Guards against a size limit of one log record for a publication.

    Publications of 2,000 routes and of 1,500 more routes got 413, which operators treat as final.
    """
    body = configuration(2, MULTI_RECORD_ROUTE_COUNT, "/new/")
    status, text = await system.call_control("config.put", body)
    assert (status, text) == (200, "{}")
    await system.wait_until_served("/new/7")
    status, text = await system.call_control("config.get", {})
    assert (status, json.loads(text)) == (200, body)
