"""What servers ask of the leader."""

from __future__ import annotations

import asyncio

from typing import Any

from medlarpass_daemon.control.fleet.fleet_operations import FleetOperations


async def test_a_new_leader_knows_the_servers_that_the_old_one_heard(new_world: Any) -> None:
    """Guards against requests that find no server until each has sent another heartbeat.

    After a restart of the whole system a third of the requests found none for 0.6 s.
    """
    world = new_world(3)
    operations = FleetOperations(world.log, world.fleet)
    for server in world.servers.values():
        await operations.notice(server.notice())
    await asyncio.sleep(0)
    world.change_leader()
    assert set(world.fleet.directory.members) == {"s0", "s1", "s2"}


async def test_a_life_is_recorded_once(new_world: Any) -> None:
    """Guards against a log that grows with each heartbeat."""
    world = new_world(1)
    operations = FleetOperations(world.log, world.fleet)
    for _ in range(3):
        await operations.notice(world.servers["s0"].notice())
        await asyncio.sleep(0)
    assert world.state.applied_index == 1


async def test_a_leaving_server_is_not_recorded(new_world: Any) -> None:
    """Guards against a later leader that offers a server which has left."""
    world = new_world(1)
    operations = FleetOperations(world.log, world.fleet)
    await operations.notice(world.servers["s0"].notice())
    await operations.notice(world.servers["s0"].notice(is_leaving=True))
    await operations.notice(world.servers["s0"].notice(is_leaving=True))
    await asyncio.sleep(0)
    world.change_leader()
    assert not world.fleet.directory.members
