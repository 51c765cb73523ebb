"""Tests the ports of real processes against callers whose requests never end.

Nothing here depends on the speed of the machine: a process must live, stay below a bound of memory
and descriptors, and answer one ordinary request afterwards.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import pytest
import pytest_asyncio

from tools.bench.hostile_crowd import CROWD_SIZE
from tools.bench.hostile_crowd import ENDLESS
from tools.bench.hostile_crowd import ProcessResources
from tools.bench.hostile_crowd import send_slowly
from tools.bench.hostile_crowd import send_without_end
from tools.soak.fleet_system import FleetSystem

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

pytestmark = pytest.mark.asyncio(loop_scope="module")

#: Connections of the crowd, with what the kernel and the process read ahead for each.
MAX_GROWTH_BYTES = 32 << 20
#: Connections of the crowd twice, as closed ones may not be collected yet, and those to other
#: processes that are opened meanwhile.
MAX_FURTHER_DESCRIPTORS = 2 * CROWD_SIZE + 24
#: Bytes that one connection may take, of kinds that can go on without using memory. A kernel holds
#: up to 6 MiB of a connection; a body that nobody reads is taken for some time, so that an ordinary
#: caller can read the response first.
MAX_TAKEN_BYTES = {
    "empty lines": 12 << 20,
    "empty lines after a request": 12 << 20,
    "chunk size": 12 << 20,
    "unread body": 20 << 20,
}
#: Far above the time that is allowed for a head.
SLOW_SECONDS = 45.0
#: Process, name of the port and path of an ordinary request, by port.
PORTS = {
    "callers": ("entry", "front", "/art/7"),
    "readiness": ("entry", "platform", "/readyz"),
    "control": ("control-0", "control", "/api/rpc?call=config.get"),
    "operators": ("control-0", "operators", "/v1/replicas"),
}


class SmallSystem(FleetSystem):
    """A system whose entry buffers little."""

    def settings_for(self, name: str, first_start: bool) -> dict[str, Any]:
        settings = super().settings_for(name, first_start)
        if name in self.entries:
            settings["entry"] |= {
                "concurrency": 64,
                "buffer": "16KiB",
                "order_body": "64KiB",
                "upload_held": "64KiB",
            }
        return settings

    def configuration(self, version: int, **timeouts: float) -> dict[str, Any]:
        document = super().configuration(version, **timeouts)
        document["limits"] = {
            "max_header_bytes": 16_384,
            "max_body_bytes": 64 << 20,
            "header_timeout_s": 3,
            "idle_timeout_s": 600,
        }
        return document


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def system(tmp_path_factory: pytest.TempPathFactory) -> AsyncIterator[SmallSystem]:
    """Return a started system."""
    running_system = SmallSystem(tmp_path_factory.mktemp("hostile"))
    try:
        await running_system.start()
        server = await running_system.add_server("art", "i-1")
        await running_system.wait_until(server.send_heartbeat, bool)
        await running_system.publish(1)
        await running_system.wait_until_served("/art/7")
        yield running_system
    finally:
        await running_system.stop()


async def restart(system: SmallSystem, name: str) -> None:
    """Start a process again, so that it holds nothing of an earlier test."""
    process = system.processes[name]
    if process.returncode is None:
        process.kill()
        await process.wait()
    await system.start_process(name)


async def wait_until_answered(system: SmallSystem, port: str) -> None:
    """Repeat an ordinary request until it is answered."""
    name, port_name, path = PORTS[port]
    if port == "callers":
        await system.wait_until_served(path)
        return
    session = system.session
    assert session is not None
    url = f"http://{system.addresses[name]}:{system.ports[port_name]}{path}"
    method = "POST" if port == "control" else "GET"

    async def status() -> int:
        try:
            async with session.request(method, url, allow_redirects=False) as response:
                return response.status
        except OSError:
            return 0

    # A replica that does not lead refers calls to the leader.
    await system.wait_until(status, lambda result: result in (200, 307))


@pytest.mark.parametrize("kind", ENDLESS)
@pytest.mark.parametrize("port", PORTS)
async def test_a_request_without_end_takes_little(
    system: SmallSystem, port: str, kind: str
) -> None:
    """Guards against a process that ends, hangs or grows because of a request without end."""
    name, port_name, path = PORTS[port]
    await restart(system, name)
    await wait_until_answered(system, port)
    process = system.processes[name]
    resources = ProcessResources(process.pid)
    taken = await send_without_end(system.addresses[name], system.ports[port_name], path, kind)
    assert process.returncode is None
    await wait_until_answered(system, port)
    growth = resources.memory_growth()
    # Shown when the test fails.
    print(f"grew by {growth >> 20} MiB; one connection took {max(taken) >> 20} MiB")
    assert growth < MAX_GROWTH_BYTES
    further = resources.open_descriptors() - resources.descriptors_before
    assert further <= MAX_FURTHER_DESCRIPTORS
    assert max(taken) < MAX_TAKEN_BYTES.get(kind, max(taken) + 1)


@pytest.mark.parametrize("port", PORTS)
async def test_a_head_at_one_byte_a_second_is_ended(system: SmallSystem, port: str) -> None:
    """Guards against connections that stay open for good while a head arrives."""
    name, port_name, path = PORTS[port]
    process = system.processes[name]
    resources = ProcessResources(process.pid)
    ip = system.addresses[name]
    closed = await send_slowly(ip, system.ports[port_name], path, SLOW_SECONDS)
    assert closed == CROWD_SIZE
    assert process.returncode is None
    await wait_until_answered(system, port)
    assert resources.memory_growth() < MAX_GROWTH_BYTES
    further = resources.open_descriptors() - resources.descriptors_before
    assert further <= MAX_FURTHER_DESCRIPTORS
