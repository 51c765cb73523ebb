"""What callers get at an entry that hears late of a publication that control has confirmed."""

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

#: Seconds from a confirmation until every entry follows the version, from the users' bound.
APPLY = 2.0
#: Seconds after a confirmation for which an entry is asked. A version that an entry can't receive
#: on its link would stay away for good.
WATCHED = 8.0
#: Routes of the large publication, about 60 KB when packed, and the link's bytes a second. A
#: message with all of them takes longer than an entry waits for the next one.
ROUTES = 1500
THIN = 25_000
HOST = "rolls.example"
#: Routes of a publication whose text is larger than a record of the log.
MANY_ROUTES = 6000
#: Delay of a link in seconds, each way, that an entry still hears control over in time.
SLOW = 0.1
#: The same of a link whose queue is long because of bodies; a request and its answer take 0.8 s.
LATE = 0.4


def configuration(version: int, extra: int, new: str = "") -> dict[str, Any]:
    """Return a configuration with a route to the server, many others and perhaps a new one."""
    words = random.Random(version)

    def word() -> str:
        return "".join(words.choices(string.ascii_lowercase + string.digits, k=10))

    prefixes = ["/art/", *([new] if new else []), *(f"/{word()}/" for _ in range(extra))]
    routes = [
        {
            "name": f"r-{number}-{word()}",
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
    """Return a system with relays between its processes that serves ``/art/``."""
    relays = RelayNetwork()
    made = FleetSystem(tmp_path, relays=relays)
    try:
        await made.start()
        await put(made, configuration(1, 0))
        await made.add_server("art", "i-1")
        await made.wait_until_served("/art/7")
        yield made
    finally:
        await made.stop()
        relays.close()


async def put(system: FleetSystem, body: dict[str, Any]) -> None:
    """Send a configuration until it is confirmed."""
    await system.wait_until(
        lambda: system.call_control("config.put", body), lambda got: got[0] == 200
    )


async def make_link_thin(system: FleetSystem) -> None:
    """Leave the entry a link on which a large publication takes seconds."""
    assert system.relays is not None
    for link in system.relays.links.values():
        if link.source == "entry":
            link.rate_back = THIN


async def lose_stream_on_slow_link(system: FleetSystem) -> None:
    """Reset the entry's streams while each answer takes longer than a quick one."""
    assert system.relays is not None
    for link in system.relays.links.values():
        if link.source == "entry":
            link.delay = LATE
            system.relays.reset(link)


async def silence_control(system: FleetSystem) -> None:
    """Let nothing that control says reach the entry."""
    assert system.relays is not None
    for link in system.relays.links.values():
        if link.source == "entry":
            link.cut_back = True


def followed_replicas(system: FleetSystem) -> list[str]:
    """Return the addresses of the replicas that the entry has followed, the newest last."""
    return [
        line["control"]
        for line in system.log_of("entry")
        if line["message_type"] == "medlarpass:fleet_regained"
    ]


async def stop_followed_replica(system: FleetSystem) -> None:
    """Stop the replica that the entry follows, without a word to anyone."""
    followed = await system.wait_until(
        lambda: asyncio.sleep(0, followed_replicas(system)), lambda got: bool(got)
    )
    ip = followed[-1].rpartition(":")[0]
    name = next(name for name, each in system.addresses.items() if each == ip)
    system.processes[name].send_signal(signal.SIGSTOP)


async def leave_as_is(system: FleetSystem) -> None:
    """Disturb nothing."""


PLACES = {
    "nothing": leave_as_is,
    "thin link": make_link_thin,
    "slow link": lose_stream_on_slow_link,
    "silent control": silence_control,
    "stopped replica": stop_followed_replica,
}


@pytest.mark.parametrize("place", PLACES)
async def test_a_route_that_was_confirmed_is_not_denied(system: Any, place: str) -> None:
    """Guards against 404 for a route whose addition was confirmed more than 2 s ago.

    The caller takes 404 for final, so an entry that can't know the newest routes may not say it.
    """
    await PLACES[place](system)
    await put(system, configuration(2, ROUTES, "/new/"))
    confirmed_at = time.monotonic()
    denied = []
    served_at = None
    while time.monotonic() < confirmed_at + WATCHED and served_at is None:
        sent_at = time.monotonic() - confirmed_at
        status, text, headers = await system.send_request("/new/7")
        if status == 404 and sent_at > APPLY:
            denied.append(round(sent_at, 2))
        if status == 503:
            assert "routes_unknown" in text
            assert 0 < float(headers["Retry-After"]) < APPLY
        if status == 200:
            served_at = sent_at
        await asyncio.sleep(0.05)
    assert not denied, f"404 at {denied[0]} to {denied[-1]} s after the confirmation"
    if place != "silent control":
        assert served_at is not None, "the route was never served"
    assert (await system.send_request("/art/7"))[0] == 200


async def test_a_confirmed_change_is_in_force_at_entries_that_follow(system: Any) -> None:
    """Guards against a confirmation that is given before the entries have heard of the change."""
    assert system.relays is not None
    for link in system.relays.links.values():
        if link.source == "entry":
            link.delay = SLOW
    await put(system, configuration(2, 0, "/new/"))
    assert (await system.send_request("/new/7"))[0] == 200


async def test_a_confirmed_leave_is_followed_by_entries(system: Any) -> None:
    """Guards against new work for a server whose leave is confirmed before entries have heard."""
    leaving = await system.add_server("art", "i-2")
    await system.wait_until(
        lambda: system.send_request("/art/7"),
        lambda got: got[0] == 200 and got[1].startswith("i-2"),
    )
    assert system.relays is not None
    for link in system.relays.links.values():
        if link.source == "entry":
            link.delay = SLOW
    leaving.state = "draining"
    await system.wait_until(leaving.send_heartbeat, bool)
    executed_count = len(leaving.executed_requests)
    for number in range(20):
        assert (await system.send_request(f"/art/{number}"))[0] == 200
    assert len(leaving.executed_requests) == executed_count


async def test_a_publication_of_thousands_of_routes_is_confirmed(system: Any) -> None:
    """Guards against a bound of one log record on the number of routes.

    2,000 and 1,500 routes more were answered 413, which operators take for final.
    """
    body = configuration(2, MANY_ROUTES, "/new/")
    status, text = await system.call_control("config.put", body)
    assert (status, text) == (200, "{}")
    await system.wait_until_served("/new/7")
    status, text = await system.call_control("config.get", {})
    assert (status, json.loads(text)) == (200, body)
