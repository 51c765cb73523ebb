"""Tests control replicas whose disks are full for some seconds."""

from __future__ import annotations

import asyncio
import contextlib
import resource
import time

from typing import TYPE_CHECKING

from tools.soak.fleet_system import FleetSystem

if TYPE_CHECKING:
    from pathlib import Path

FULL_SECONDS = 2.0
#: Maximum file size of a process whose disk is simulated as full.
FULL_DISK_FILE_BYTES = 1
#: The users' limit for serving again after the last fault.
RECOVERY_SECONDS = 15.0


async def fill_disk(system: FleetSystem, name: str) -> None:
    """Refuse all writes of a process for some seconds; it is started again whenever it ends."""
    full_until = time.monotonic() + FULL_SECONDS
    while time.monotonic() < full_until:
        process = system.processes[name]
        with contextlib.suppress(ProcessLookupError):
            _, hard = resource.prlimit(process.pid, resource.RLIMIT_FSIZE)
            resource.prlimit(process.pid, resource.RLIMIT_FSIZE, (FULL_DISK_FILE_BYTES, hard))
        if process.returncode is not None:
            await system.start_process(name)
        await asyncio.sleep(0.05)
    with contextlib.suppress(ProcessLookupError):
        _, hard = resource.prlimit(system.processes[name].pid, resource.RLIMIT_FSIZE)
        resource.prlimit(system.processes[name].pid, resource.RLIMIT_FSIZE, (hard, hard))


async def keep_running(system: FleetSystem) -> None:
    """Start processes again that have ended, as the VMs do."""
    while True:
        for name, process in system.processes.items():
            if process.returncode is not None:
                await system.start_process(name)
        await asyncio.sleep(0.1)


async def publish_versions(system: FleetSystem, first: int) -> None:
    """Publish one version after the other, each until it is confirmed."""
    version = first
    while True:
        await system.publish(version)
        version += 1
        await asyncio.sleep(0.1)


async def test_changes_are_accepted_after_disks_were_full_in_turn(tmp_path: Path) -> None:
    """Guards against control that refuses changes for good once its disks have room again."""
    system = FleetSystem(tmp_path)
    tasks = []
    try:
        await system.start()
        await system.publish(1)
        await system.add_server("art", "i-1")
        await system.wait_until_served("/art/7")
        tasks.append(asyncio.create_task(publish_versions(system, 2)))
        for name in system.controls:
            await fill_disk(system, name)
        tasks.append(asyncio.create_task(keep_running(system)))
        async with asyncio.timeout(RECOVERY_SECONDS):
            await system.publish(1_000)
            for name in system.controls:
                await system.wait_until(
                    lambda name=name: asyncio.sleep(0, system.processes[name].returncode),
                    lambda status: status is None,
                )
        status, text = await system.call_control("config.get", {})
        assert (status, "r1000" in text) == (200, True)
        assert (await system.send_request("/art/7"))[0] == 200
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await system.stop()
