"""Evacuation of a failure domain by the leader."""

from __future__ import annotations

import asyncio

from types import SimpleNamespace
from typing import Any

import pytest

from medlarpass.ranges.evacuation_pace import MAX_RUNNING_COUNT
from medlarpass.replication import NotLeaderError
from medlarpass.rpc import control_pb2
from medlarpass.rpc import fleet_pb2
from medlarpass_daemon.control.fleet import exceptions
from medlarpass_daemon.control.fleet.fleet_operations import LEAVE_PATIENCE_SECONDS
from medlarpass_daemon.control.fleet.fleet_operations import FleetOperations
from medlarpass_daemon.control.fleet.fleet_service import FleetService
from medlarpass_daemon.control.fleet.known_domains import DISCOVERY_SECONDS

READY = fleet_pb2.SERVER_PHASE_READY
EVACUATED = fleet_pb2.SERVER_PHASE_EVACUATED


def operations_of(simulation: Any, voters: int = 3) -> FleetOperations:
    """Return the operations of the simulated replica."""
    replica = simulation.log.replica
    replica.membership = SimpleNamespace(voters=frozenset(range(voters)), members=[])
    replica.elected_at = simulation.clock.now()
    replica.is_deposed = False

    async def read_index() -> int:
        if replica.is_deposed:
            raise NotLeaderError("another replica leads")
        return int(simulation.state.applied_index)

    replica.read_index = read_index
    replica.wait_applied = lambda index: asyncio.sleep(0)
    simulation.log.leader_address = lambda: "10.0.0.9:1"
    control: Any = SimpleNamespace(min_voters=3)
    return FleetOperations(simulation.log, simulation.fleet, control)


def in_domain(new_simulation: Any, count: int, evacuated: int, **options: Any) -> Any:
    """Return a simulation in which the first servers are in a domain of their own."""
    simulation = new_simulation(count, **options)
    for number in range(evacuated):
        simulation.servers[f"s{number}"].domain = "north"
    return simulation


async def write(simulation: Any, domain: str, evacuated: bool = True) -> None:
    """Write a command to the log, as an operator does."""
    change_id = f"c{simulation.state.applied_index}"
    body = control_pb2.SetEvacuation(change_id=change_id, domain=domain, evacuated=evacuated)
    await simulation.log.propose(control_pb2.Command(set_evacuation=body))


def domains_with_keys(simulation: Any) -> set[str]:
    """Return the domains whose servers hold keys according to the log."""
    return {simulation.servers[owned.identity].domain for owned in simulation.state.ranges.all()}


def deliver(simulation: Any) -> dict[str, fleet_pb2.ServerPhase]:
    """Update the feed, let the entry report it and return the phases in it."""
    feed = simulation.fleet.feed
    simulation.fleet.update_feed([], fleet_pb2.FleetSource())
    simulation.fleet.watchers.record_report(
        fleet_pb2.EntryReport(entry="e", term=feed.term, mark=feed.feed_revision)
    )
    return {name: server.phase for name, server in feed.servers.items.items()}


async def start(action: Any) -> asyncio.Task[Any]:
    """Start a task and let it run until it has to wait."""
    task = asyncio.create_task(action)
    for _ in range(20):
        await asyncio.sleep(0)
    return task


async def followed(new_simulation: Any, voters: int = 3) -> tuple[Any, FleetOperations]:
    """Return a leader with a server, an entry that follows it, and its operations."""
    simulation = new_simulation(1)
    operations = operations_of(simulation, voters)
    simulation.clock.advance(DISCOVERY_SECONDS)
    simulation.fleet.directory.record_heartbeat(simulation.servers["s0"].heartbeat())
    simulation.fleet.watchers.add_stream(fleet_pb2.WatchRequest(entry="e", domain="west"))
    deliver(simulation)
    return simulation, operations


async def test_keys_move_elsewhere_and_return(new_simulation: Any) -> None:
    """Guards against a domain that keeps keys, and against one that gets none afterwards."""
    simulation = in_domain(new_simulation, 6, 2)
    await simulation.run(2)
    for evacuated, seconds, domains in ((True, 1, {"d"}), (False, 5, {"d", "north"})):
        await write(simulation, "north", evacuated)
        await simulation.run(seconds)
        assert domains_with_keys(simulation) == domains
        assert simulation.count_unowned() == 0


@pytest.mark.parametrize("changes_leader", [False, True])
async def test_a_large_domain_is_empty_within_three_seconds(
    new_simulation: Any, changes_leader: bool
) -> None:
    """Load: 60 servers, 20 of them evacuated with 3 ranges each, that need 0.4 s for a release.

    A new leader has to grant all ranges again before it may move them.
    """
    simulation = in_domain(new_simulation, 60, 20)
    await simulation.run(2)
    for _ in range(2):
        halves = [
            owned.with_bounds(owned.first, (owned.first + owned.last) // 2)
            for owned in simulation.state.ranges.all()
            if simulation.servers[owned.identity].domain == "north"
        ]
        await simulation.keeper.grants.assign(halves[:20], owners_stay=True)
        await simulation.run(0.3)
    for server in simulation.servers.values():
        server.release_seconds = 0.4
    await write(simulation, "north")
    if changes_leader:
        simulation.change_leader()
    most_running = 0
    for _ in range(30):
        await simulation.run(0.1)
        most_running = max(most_running, len(simulation.keeper.moves.tasks))
    assert domains_with_keys(simulation) == {"d"}
    assert simulation.count_unowned() == 0
    assert 0 < most_running <= MAX_RUNNING_COUNT


@pytest.mark.parametrize("seed", range(4))
async def test_no_key_has_two_owners_while_calls_fail(new_simulation: Any, seed: int) -> None:
    """Guards against two owners of a key when releases and grants of an evacuation are lost."""
    simulation = in_domain(new_simulation, 9, 3, seed=seed, loss_ratio=0.3)
    await simulation.run(3)
    for evacuated in (True, False, True):
        await write(simulation, "north", evacuated)
        await simulation.run(2)
    await simulation.run(12)
    assert domains_with_keys(simulation) == {"d"}


async def test_keys_stay_where_no_server_is_elsewhere(new_simulation: Any) -> None:
    """Guards against keys without an owner, which would be cold after the evacuation."""
    simulation = in_domain(new_simulation, 3, 3)
    await simulation.run(2)
    fences = simulation.state.ranges.last_fence
    await write(simulation, "north")
    await simulation.run(10)
    assert (simulation.state.ranges.last_fence, simulation.count_unowned()) == (fences, 0)


async def test_the_next_leader_keeps_the_domain_evacuated(new_simulation: Any) -> None:
    """Guards against an evacuation that ends with the leader that confirmed it.

    The leader is lost right after the command is in the log, before it has moved a key. Later, a
    server joins the domain.
    """
    simulation = in_domain(new_simulation, 6, 3)
    simulation.servers["s2"].silent_until = simulation.clock.now() + 4
    operations = operations_of(simulation)
    await simulation.run(2)
    for identity in ("s0", "s1", "s3", "s4", "s5"):
        await operations.handle_heartbeat(simulation.servers[identity].heartbeat())
    await asyncio.sleep(0)
    await write(simulation, "north")
    simulation.change_leader()
    phases = deliver(simulation)
    assert {name for name, phase in phases.items() if phase == EVACUATED} == {"s0", "s1"}
    # An entry that finds no leader learns the same from the log of a follower.
    unused: Any = None
    service = FleetService(simulation.log, simulation.fleet, unused, unused, unused)
    view = service._whole_view_from_log()
    assert {server.identity: server.phase for part in view for server in part.servers} == phases
    await simulation.run(3)
    assert domains_with_keys(simulation) == {"d"}
    assert simulation.count_unowned() == 0
    simulation.fleet.servers_changed()
    assert deliver(simulation)["s2"] == EVACUATED
    # The caller repeats its command at the new leader, which does not write it again.
    applied = simulation.state.applied_index
    await operations_of(simulation).set_evacuation("north", True)
    assert simulation.state.applied_index == applied


@pytest.mark.parametrize("evacuated", [True, False])
async def test_a_command_is_confirmed_once_entries_have_it(
    new_simulation: Any, evacuated: bool
) -> None:
    """Guards against requests to a domain whose evacuation was confirmed, and after its end."""
    simulation, operations = await followed(new_simulation)
    await write(simulation, "d", not evacuated)
    deliver(simulation)
    confirmations = [await start(operations.set_evacuation("d", evacuated)) for _ in range(2)]
    assert not any(confirmation.done() for confirmation in confirmations)
    assert deliver(simulation) == {"s0": EVACUATED if evacuated else READY}
    await asyncio.gather(*confirmations)
    assert simulation.state.tables.audit.count == 2
    # The entry has the state already; a later one is not waited for.
    await asyncio.wait_for(operations.set_evacuation("d", evacuated), 0.2)


async def test_an_entry_that_does_not_follow_is_waited_for_with_a_bound(
    new_simulation: Any,
) -> None:
    """Guards against a confirmation before an entry follows, and against one that never comes."""
    simulation, operations = await followed(new_simulation)
    feed = simulation.fleet.feed
    stale = fleet_pb2.EntryReport(entry="e", term=feed.term, mark=feed.feed_revision)
    for _ in range(2):
        with pytest.raises(exceptions.EvacuationNotFollowedError):
            await operations.set_evacuation("d", True)
        simulation.fleet.update_feed([], fleet_pb2.FleetSource())
    simulation.clock.advance(LEAVE_PATIENCE_SECONDS)
    simulation.fleet.watchers.record_report(stale)
    await operations.set_evacuation("d", True)
    assert simulation.state.tables.audit.count == 1


async def test_only_a_leader_that_serves_confirms(new_simulation: Any) -> None:
    """Guards against a confirmation right after an election, or by a leader that was deposed.

    The latter does not know whether its successor has undone the command.
    """
    simulation, operations = await followed(new_simulation)
    simulation.log.replica.term += 1
    with pytest.raises(exceptions.EvacuationNotFollowedError):
        await operations.set_evacuation("d", True)
    assert simulation.state.tables.evacuated_domains == {"d"}
    simulation.log.replica.is_deposed = True
    with pytest.raises(exceptions.NotLeadingError):
        await operations.set_evacuation("d", True)


async def test_only_known_domains_are_evacuated(new_simulation: Any) -> None:
    """Guards against a mistyped domain that is confirmed, and a new leader that denies a domain."""
    simulation, operations = await followed(new_simulation)
    for domain in ("north", "", "d\ud800", "d" * 100_000):
        with pytest.raises(exceptions.UnknownDomainError):
            await operations.set_evacuation(domain, True)
    simulation.fleet.led_at = simulation.clock.now()
    with pytest.raises(exceptions.DomainNotKnownYetError):
        await operations.set_evacuation("north", True)
    simulation.clock.advance(DISCOVERY_SECONDS)
    simulation.log.replica.membership.members.append(SimpleNamespace(domain="south"))
    for domain in ("d", "west", "south"):
        confirmation = await start(operations.set_evacuation(domain, True))
        deliver(simulation)
        await confirmation
    assert simulation.state.tables.evacuated_domains == {"d", "west", "south"}


async def test_too_few_replicas_store_no_evacuation(new_simulation: Any) -> None:
    """Guards against a confirmed evacuation that is lost with one disk."""
    simulation, operations = await followed(new_simulation, voters=1)
    simulation.log.replica.elected_at = simulation.clock.now()
    with pytest.raises(exceptions.TooFewReplicasError):
        await operations.set_evacuation("d", True)
    assert not simulation.state.tables.evacuated_domains
