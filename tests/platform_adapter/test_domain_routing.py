"""Choice of the failure domain by the processes of a system, with stand-in servers."""

from __future__ import annotations

import signal

from typing import TYPE_CHECKING
from typing import Any

import pytest

from tools.soak.fleet_system import FleetSystem

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

REQUEST_COUNT = 20


class RoutedSystem(FleetSystem):
    """A system whose control decides on the failure domain of requests."""

    def settings_for(self, name: str, first_start: bool) -> dict[str, Any]:
        """Return the settings of a process."""
        settings = super().settings_for(name, first_start)
        settings["fleet"]["domain_routing"] = True
        return settings


@pytest.fixture
async def routed(tmp_path: Path) -> AsyncIterator[RoutedSystem]:
    """Return a started system with an entry in the domain north and servers in two domains."""
    system = RoutedSystem(tmp_path)
    try:
        await system.start()
        for identity, zone in (("i-1", "north"), ("i-2", "south"), ("i-3", "south")):
            server = await system.add_server("orders", identity)
            server.zone = zone
            await system.wait_until(server.send_heartbeat, bool)
        await system.publish(1)
        await system.wait_until_served("/orders/7", method="POST")
        yield system
    finally:
        await system.stop()


async def servers_of(system: FleetSystem) -> set[str]:
    """Return the servers that respond to a number of requests; each has to be served."""
    served = set()
    for _ in range(REQUEST_COUNT):
        status, body, _ = await system.send_request("/orders/7", "POST")
        assert status == 200
        served.add(body.partition(" ")[0])
    return served


async def test_requests_stay_in_their_domain_also_without_control(routed: Any) -> None:
    """Guards against entries that spread over all domains, or refuse, once the leader is lost."""
    system = routed
    await system.wait_until(lambda: servers_of(system), lambda served: served == {"i-1"})
    for name in system.controls:
        system.processes[name].send_signal(signal.SIGKILL)
        await system.processes[name].wait()
    log = system.folder / "entry.log"

    async def is_outdated() -> bool:
        await system.send_request("/orders/7", "POST")
        return "traffic_plan_outdated" in log.read_text(encoding="utf-8")

    await system.wait_until(is_outdated, bool)
    assert await servers_of(system) == {"i-1"}
    await system.servers[0].stop()
    await system.wait_until_served("/orders/7", method="POST")
    assert await servers_of(system) <= {"i-2", "i-3"}


async def test_a_domain_without_servers_is_left(routed: Any) -> None:
    """Guards against a plan that keeps requests in a domain whose last server has left."""
    system = routed
    system.servers[0].state = "draining"
    await system.wait_until(system.servers[0].send_heartbeat, bool)
    await system.wait_until(lambda: servers_of(system), lambda served: served == {"i-2", "i-3"})
