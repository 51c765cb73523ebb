"""How an entry looks for a replica to follow."""

from __future__ import annotations

import asyncio

from types import SimpleNamespace
from typing import TYPE_CHECKING
from typing import Any

from medlarpass.ranges import KeyLoads
from medlarpass.rpc import fleet_pb2
from medlarpass_daemon.entry.fleet.fleet_watcher import FleetWatcher

if TYPE_CHECKING:
    import pytest

LEADER = "10.0.0.1:1"


async def test_a_leader_that_does_not_serve_yet_is_asked_in_moderation(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against entries that ask a new leader without a pause until it serves.

    It names itself as the leader, and is the replica that the entries of its domain prefer.
    """
    settings: Any = SimpleNamespace(name="e", domain="north")
    seeds: Any = SimpleNamespace(addresses=[LEADER])
    nothing: Any = None
    watcher = FleetWatcher(settings, seeds, nothing, lambda: 0, nothing, KeyLoads(), dict, nothing)
    source = fleet_pb2.FleetSource(address=LEADER, domain="north")
    watcher.sources.take([LEADER], [source])
    asked: list[str] = []

    async def follow(address: str) -> str:
        asked.append(address)
        await asyncio.sleep(0)
        return LEADER

    monkeypatch.setattr(FleetWatcher, "_follow", lambda self, address: follow(address))
    running = asyncio.create_task(watcher.run())
    await asyncio.sleep(0.3)
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)
    assert 1 <= len(asked) <= 10
