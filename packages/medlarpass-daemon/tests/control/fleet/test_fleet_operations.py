"""What servers ask of the leader."""

from __future__ import annotations

import asyncio

from types import SimpleNamespace
from typing import Any

import pytest

from medlarpass.rpc import fleet_pb2
from medlarpass_daemon.control.fleet.exceptions import TooFewReplicasError
from medlarpass_daemon.control.fleet.fleet_operations import JOIN_TIME
from medlarpass_daemon.control.fleet.fleet_operations import PUBLICATION_WAIT
from medlarpass_daemon.control.fleet.fleet_operations import FleetOperations
from medlarpass_daemon.control.fleet.watchers import REACHED


def operations_of(world: Any, voters: int = 5, losses: int = 1) -> FleetOperations:
    """Return the operations of the world's replica."""
    members = SimpleNamespace(voters=frozenset(range(voters)))
    world.log.replica.membership = members
    world.log.replica.elected_at = world.clock.now()
    control: Any = SimpleNamespace(least_voters=2 * losses + 1)
    return FleetOperations(world.log, world.fleet, control)


def publication(version: int) -> dict[str, Any]:
    """Return the document of a publication without routes."""
    pool = {"name": "stock", "owned": True, "connections": 100}
    return {
        "version": version,
        "key_header": "Key",
        "routes": [],
        "pools": [pool],
        "limits": {},
    }


async def test_a_new_leader_knows_the_servers_that_the_old_one_heard(new_world: Any) -> None:
    """Guards against requests that find no server until each has sent another heartbeat.

    After a restart of the whole system a third of the requests found none for 0.6 s.
    """
    world = new_world(3)
    operations = operations_of(world)
    for server in world.servers.values():
        await operations.notice(server.notice())
    await asyncio.sleep(0)
    world.change_leader()
    assert set(world.fleet.directory.members) == {"s0", "s1", "s2"}


async def test_a_life_is_recorded_once(new_world: Any) -> None:
    """Guards against a log that grows with each heartbeat."""
    world = new_world(1)
    operations = operations_of(world)
    for _ in range(3):
        await operations.notice(world.servers["s0"].notice())
        await asyncio.sleep(0)
    assert world.state.applied_index == 1


async def test_a_leaving_server_is_not_recorded(new_world: Any) -> None:
    """Guards against a later leader that offers a server which has left."""
    world = new_world(1)
    operations = operations_of(world)
    await operations.notice(world.servers["s0"].notice())
    await operations.notice(world.servers["s0"].notice(is_leaving=True))
    await operations.notice(world.servers["s0"].notice(is_leaving=True))
    await asyncio.sleep(0)
    world.change_leader()
    assert not world.fleet.directory.members


async def test_a_change_waits_for_as_many_disks_as_may_be_lost(new_world: Any) -> None:
    """Guards against a confirmed change on three voters where two disks may be lost."""
    world = new_world(1)
    operations = operations_of(world, voters=3, losses=2)
    with pytest.raises(TooFewReplicasError):
        await operations.publish(publication(2), b"{}")
    world.log.replica.membership.voters = frozenset(range(5))
    assert await operations.publish(publication(2), b"{}") == 2


async def test_a_system_with_few_replicas_takes_changes(new_world: Any) -> None:
    """Guards against a deployment that never serves because it has too few VMs with disks."""
    world = new_world(1)
    operations = operations_of(world, voters=3, losses=2)
    world.clock.advance(JOIN_TIME)
    assert await operations.publish(publication(2), b"{}") == 2


class FollowingEntry:
    """An entry with an open stream that reports how far it follows."""

    def __init__(self, world: Any, name: str) -> None:
        self.world = world
        self.name = name
        world.fleet.watchers.opened(fleet_pb2.WatchRequest(entry=name))

    def follow(self) -> None:
        """Take all that the feed has, and report it."""
        feed = self.world.fleet.feed
        report = fleet_pb2.EntryReport(entry=self.name, term=feed.term, mark=feed.mark)
        self.world.fleet.watchers.take(report)


async def entries_of(world: Any, count: int) -> list[FollowingEntry]:
    """Return entries that follow the world's replica, which has led for some time."""
    world.clock.advance(REACHED)
    refresh(world)
    entries = [FollowingEntry(world, f"e{number}") for number in range(count)]
    for entry in entries:
        entry.follow()
    return entries


def refresh(world: Any) -> None:
    """Bring the feed of the world's replica up to date."""
    world.fleet.refresh([], fleet_pb2.FleetSource())


async def begun(action: Any) -> asyncio.Task[Any]:
    """Return a task that has run as far as it can."""
    task = asyncio.create_task(action)
    for _ in range(20):
        await asyncio.sleep(0)
    return task


async def test_a_publication_is_confirmed_once_entries_follow_it(new_world: Any) -> None:
    """Guards against 404 at an entry that has not heard of a confirmed route yet."""
    world = new_world(1)
    operations = operations_of(world)
    entries = await entries_of(world, 3)
    confirmation = await begun(operations.publish(publication(2), b"{}"))
    refresh(world)
    for entry in entries:
        assert not confirmation.done()
        entry.follow()
        await asyncio.sleep(0.01)
    assert await confirmation == 2
    # Sent again after a lost confirmation: nothing is left to wait for.
    assert await operations.publish(publication(2), b"{}") == 2


async def test_a_publication_that_the_feed_had_at_once_is_waited_for(new_world: Any) -> None:
    """Guards against a wait for a later state than the one that tells of the publication."""
    world = new_world(1)
    world.state.observers.append(lambda: refresh(world))
    operations = operations_of(world)
    entries = await entries_of(world, 1)
    confirmation = await begun(operations.publish(publication(2), b"{}"))
    assert not confirmation.done()
    entries[0].follow()
    assert await confirmation == 2


async def test_an_entry_that_stays_behind_holds_up_no_confirmation_for_long(new_world: Any) -> None:
    """Guards against changes that one slow entry stops."""
    world = new_world(1)
    operations = operations_of(world)
    await entries_of(world, 1)
    confirmation = await begun(operations.publish(publication(2), b"{}"))
    assert await confirmation == 2


async def test_a_new_leader_waits_for_entries_to_report(new_world: Any) -> None:
    """Guards against a confirmation that counts nobody because nobody has reported yet.

    A route was confirmed a moment after an election; entries denied it 3.6 s later.
    """
    world = new_world(1)
    operations = operations_of(world)
    began_at = asyncio.get_running_loop().time()
    assert await operations.publish(publication(2), b"{}") == 2
    assert asyncio.get_running_loop().time() - began_at >= PUBLICATION_WAIT
    world.clock.advance(REACHED)
    confirmation = await begun(operations.publish(publication(3), b"{}"))
    assert confirmation.done()


async def test_a_silent_entry_is_not_waited_for(new_world: Any) -> None:
    """Guards against slow changes while a domain is cut off."""
    world = new_world(1)
    operations = operations_of(world)
    await entries_of(world, 2)
    world.clock.advance(REACHED)
    assert await operations.publish(publication(2), b"{}") == 2


async def test_a_leave_is_confirmed_once_entries_follow_it(new_world: Any) -> None:
    """Guards against new work for a server whose leave was confirmed.

    The server repeats its leave with each heartbeat; only the first confirmation takes longer.
    """
    world = new_world(1)
    operations = operations_of(world)
    server = world.servers["s0"]
    await operations.notice(server.notice())
    (entry,) = await entries_of(world, 1)
    confirmation = await begun(operations.notice(server.notice(is_leaving=True)))
    assert not confirmation.done()
    refresh(world)
    entry.follow()
    await confirmation
    refresh(world)
    await operations.notice(server.notice(is_leaving=True))


async def test_a_relay_counts_as_its_last_entry(new_world: Any) -> None:
    """Guards against a confirmation that waits for relays but not for the entries behind them."""
    world = new_world(1)
    watchers = world.fleet.watchers
    assert watchers.oldest((3, 9)) == (3, 9)
    for name, position in (("e0", (3, 8)), ("e1", (3, 5)), ("e2", (2, 70))):
        watchers.opened(fleet_pb2.WatchRequest(entry=name))
        report = fleet_pb2.EntryReport(entry=name, term=position[0], mark=position[1])
        watchers.take(report)
    assert watchers.oldest((3, 9)) == (2, 70)
    watchers.closed(fleet_pb2.WatchRequest(entry="e2"))
    assert watchers.oldest((3, 9)) == (3, 5)
    assert watchers.behind((3, 6)) == ["e1"]
