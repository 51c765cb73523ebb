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
from medlarpass_daemon.control.fleet.exceptions import DomainNotKnownYetError
from medlarpass_daemon.control.fleet.exceptions import EvacuationNotFollowedError
from medlarpass_daemon.control.fleet.exceptions import NotLeadingError
from medlarpass_daemon.control.fleet.exceptions import TooFewReplicasError
from medlarpass_daemon.control.fleet.exceptions import UnknownDomainError
from medlarpass_daemon.control.fleet.feed_updater import FeedUpdater
from medlarpass_daemon.control.fleet.fleet_operations import LEAVE_PATIENCE_SECONDS
from medlarpass_daemon.control.fleet.fleet_operations import FleetOperations
from medlarpass_daemon.control.fleet.fleet_service import FleetService
from medlarpass_daemon.control.fleet.known_domains import DISCOVERY_SECONDS
from medlarpass_daemon.control.fleet.report_relay import ReportRelay
from medlarpass_daemon.control.fleet.watchers import REACHABILITY_SECONDS

READY = fleet_pb2.SERVER_PHASE_READY
EVACUATED = fleet_pb2.SERVER_PHASE_EVACUATED


def operations_of(simulation: Any, voters: int = 3) -> FleetOperations:
    """Return the operations of the simulated replica."""
    replica = simulation.log.replica
    replica.membership = SimpleNamespace(voters=frozenset(range(voters)), members=[])
    replica.elected_at = simulation.clock.now()

    async def read_index() -> int:
        if not replica.is_leader:
            raise NotLeaderError("another replica leads")
        return int(simulation.state.applied_index)

    replica.read_index = read_index
    replica.wait_applied = lambda index: asyncio.sleep(0)
    simulation.log.leader_address = lambda: "10.0.0.9:1"
    control: Any = SimpleNamespace(min_voters=3)
    return FleetOperations(simulation.log, simulation.fleet, control)


def place(simulation: Any, domains: dict[str, str]) -> None:
    """Place servers in failure domains."""
    for identity, domain in domains.items():
        simulation.servers[identity].domain = domain


async def write(simulation: Any, domain: str, evacuated: bool = True) -> None:
    """Write a command to the log, as an operator does."""
    body = control_pb2.SetEvacuation(
        change_id=f"c{simulation.state.applied_index}", domain=domain, evacuated=evacuated
    )
    await simulation.log.propose(control_pb2.Command(set_evacuation=body))


def owners_of(simulation: Any) -> set[str]:
    """Return the servers that hold keys according to the log."""
    return {assignment.identity for assignment in simulation.state.ranges.all()}


def update_feed(simulation: Any) -> dict[str, fleet_pb2.ServerPhase]:
    """Update the feed of the simulated replica and return the phases in it."""
    simulation.fleet.update_feed([], fleet_pb2.FleetSource())
    return {name: server.phase for name, server in simulation.fleet.feed.servers.items.items()}


def report(simulation: Any, name: str) -> None:
    """Report that an entry has the current state of the feed."""
    feed = simulation.fleet.feed
    simulation.fleet.watchers.record_report(
        fleet_pb2.EntryReport(entry=name, term=feed.term, mark=feed.feed_revision)
    )


async def start(action: Any) -> asyncio.Task[Any]:
    """Start a task and let it run until it has to wait."""
    task = asyncio.create_task(action)
    for _ in range(20):
        await asyncio.sleep(0)
    return task


async def follow(simulation: Any) -> None:
    """Let an entry follow the leader, which has led for a while and knows its servers."""
    simulation.clock.advance(max(REACHABILITY_SECONDS, DISCOVERY_SECONDS))
    for server in simulation.servers.values():
        simulation.fleet.directory.record_heartbeat(server.heartbeat())
    simulation.fleet.servers_changed()
    update_feed(simulation)
    simulation.fleet.watchers.add_stream(fleet_pb2.WatchRequest(entry="e", domain="west"))
    report(simulation, "e")


async def test_the_keys_of_an_evacuated_domain_move_elsewhere_and_return(
    new_simulation: Any,
) -> None:
    """Guards against a domain that keeps keys, and against one that gets none afterwards."""
    simulation = new_simulation(6)
    place(simulation, {"s0": "north", "s1": "north"})
    await simulation.run(2)
    assert {"s0", "s1"} <= owners_of(simulation)
    await write(simulation, "north")
    await simulation.run(1)
    assert owners_of(simulation) == {"s2", "s3", "s4", "s5"}
    assert simulation.count_unowned() == 0
    await write(simulation, "north", evacuated=False)
    await simulation.run(5)
    assert {"s0", "s1"} <= owners_of(simulation)
    assert simulation.count_unowned() == 0


async def test_a_large_domain_is_empty_within_three_seconds(new_simulation: Any) -> None:
    """Load: 60 servers, 20 of them evacuated with 3 ranges each, that need 0.4 s for a release."""
    simulation = new_simulation(60)
    place(simulation, {f"s{number}": "north" for number in range(20)})
    await simulation.run(2)
    for _ in range(2):
        halves = [
            assignment.with_bounds(assignment.first, (assignment.first + assignment.last) // 2)
            for assignment in simulation.state.ranges.all()
            if simulation.servers[assignment.identity].domain == "north"
        ]
        await simulation.keeper.grants.assign(halves[:20], owners_stay=True)
        await simulation.run(0.3)
    for server in simulation.servers.values():
        server.release_seconds = 0.4
    await write(simulation, "north")
    most_running = 0
    for _ in range(30):
        await simulation.run(0.1)
        most_running = max(most_running, len(simulation.keeper.moves.tasks))
    evacuated = {name for name, server in simulation.servers.items() if server.domain == "north"}
    assert not evacuated & owners_of(simulation)
    assert simulation.count_unowned() == 0
    assert 0 < most_running <= MAX_RUNNING_COUNT


@pytest.mark.parametrize("seed", range(4))
async def test_no_key_has_two_owners_while_calls_fail(new_simulation: Any, seed: int) -> None:
    """Guards against two owners of a key when releases and grants of an evacuation are lost."""
    simulation = new_simulation(9, seed=seed, loss_ratio=0.3)
    place(simulation, {"s0": "north", "s1": "north", "s2": "north"})
    await simulation.run(3)
    for evacuated in (True, False, True):
        await write(simulation, "north", evacuated)
        await simulation.run(2)
    await simulation.run(12)
    assert not {"s0", "s1", "s2"} & owners_of(simulation)


async def test_keys_stay_where_no_server_is_elsewhere(new_simulation: Any) -> None:
    """Guards against keys without an owner, which would be cold after the evacuation."""
    simulation = new_simulation(3)
    await simulation.run(2)
    fences = simulation.state.ranges.last_fence
    await write(simulation, "d")
    await simulation.run(10)
    assert simulation.state.ranges.last_fence == fences
    assert simulation.count_unowned() == 0


async def test_a_server_that_joins_an_evacuated_domain_gets_no_keys(new_simulation: Any) -> None:
    """Guards against work for a server that started during the evacuation."""
    simulation = new_simulation(4)
    place(simulation, {"s0": "north"})
    simulation.servers["s0"].silent_until = simulation.clock.now() + 3
    await simulation.run(2)
    await write(simulation, "north")
    await simulation.run(3)
    simulation.fleet.servers_changed()
    assert update_feed(simulation) == {"s0": EVACUATED, "s1": READY, "s2": READY, "s3": READY}
    assert "s0" not in owners_of(simulation)


async def test_the_next_leader_keeps_the_domain_evacuated(new_simulation: Any) -> None:
    """Guards against an evacuation that ends with the leader that confirmed it.

    The leader is lost right after the command is in the log, before it has moved a key.
    """
    simulation = new_simulation(6)
    place(simulation, {"s0": "north", "s1": "north"})
    operations = operations_of(simulation)
    await simulation.run(2)
    for server in simulation.servers.values():
        await operations.handle_heartbeat(server.heartbeat())
    await asyncio.sleep(0)
    await write(simulation, "north")
    simulation.change_leader()
    phases = update_feed(simulation)
    assert {name for name, phase in phases.items() if phase == EVACUATED} == {"s0", "s1"}
    await simulation.run(3)
    assert not {"s0", "s1"} & owners_of(simulation)
    assert simulation.count_unowned() == 0
    simulation.change_leader()
    await simulation.run(3)
    assert not {"s0", "s1"} & owners_of(simulation)
    # The caller repeats its command at the new leader, which does not write it again.
    operations = operations_of(simulation)
    applied = simulation.state.applied_index
    update_feed(simulation)
    await operations.set_evacuation("north", True)
    assert simulation.state.applied_index == applied


async def test_a_follower_tells_entries_of_evacuations(new_simulation: Any) -> None:
    """Guards against requests to an evacuated domain from an entry that finds no leader."""
    simulation = new_simulation(2)
    place(simulation, {"s0": "north"})
    operations = operations_of(simulation)
    for server in simulation.servers.values():
        await operations.handle_heartbeat(server.heartbeat())
    await asyncio.sleep(0)
    await write(simulation, "north")
    simulation.log.replica.is_leader = False
    unused: Any = None
    rpc = SimpleNamespace(endpoint=lambda: "10.0.0.1:1")
    settings: Any = SimpleNamespace(name="control", domain="north", rpc=rpc)
    feed = FeedUpdater(settings, simulation.log, simulation.fleet, unused, simulation.clock)
    relay = ReportRelay(feed, unused)
    service = FleetService(simulation.log, simulation.fleet, unused, feed, relay)
    updates = [update async for update in service.Watch(fleet_pb2.WatchRequest(entry="e"), None)]
    phases = {server.identity: server.phase for update in updates for server in update.servers}
    assert phases == {"s0": EVACUATED, "s1": READY}


@pytest.mark.parametrize("evacuated", [True, False])
async def test_a_command_is_confirmed_once_entries_have_it(
    new_simulation: Any, evacuated: bool
) -> None:
    """Guards against requests to a domain whose evacuation was confirmed, and after its end."""
    simulation = new_simulation(1)
    operations = operations_of(simulation)
    if not evacuated:
        await write(simulation, "d")
    await follow(simulation)
    confirmation = await start(operations.set_evacuation("d", evacuated))
    assert not confirmation.done()
    repeated = await start(operations.set_evacuation("d", evacuated))
    assert update_feed(simulation) == {"s0": EVACUATED if evacuated else READY}
    report(simulation, "e")
    await asyncio.gather(confirmation, repeated)
    assert simulation.state.tables.audit.count == (1 if evacuated else 2)
    # The entry has the state already; a later one is not waited for.
    await asyncio.wait_for(operations.set_evacuation("d", evacuated), 0.2)


async def test_an_entry_that_does_not_follow_delays_no_evacuation_for_long(
    new_simulation: Any,
) -> None:
    """Guards against a confirmation before an entry follows, and against one that never comes."""
    simulation = new_simulation(1)
    operations = operations_of(simulation)
    await follow(simulation)
    stale = simulation.fleet.feed.feed_revision
    for _ in range(2):
        with pytest.raises(EvacuationNotFollowedError):
            await operations.set_evacuation("d", True)
        update_feed(simulation)
    simulation.clock.advance(LEAVE_PATIENCE_SECONDS)
    message = fleet_pb2.EntryReport(entry="e", term=simulation.fleet.feed.term, mark=stale)
    simulation.fleet.watchers.record_report(message)
    await operations.set_evacuation("d", True)
    assert simulation.state.tables.audit.count == 1


async def test_a_leader_that_serves_no_entries_yet_confirms_nothing(new_simulation: Any) -> None:
    """Guards against a confirmation in the moment between an election and the first update."""
    simulation = new_simulation(1)
    operations = operations_of(simulation)
    await follow(simulation)
    simulation.log.replica.term += 1
    with pytest.raises(EvacuationNotFollowedError):
        await operations.set_evacuation("d", True)
    assert simulation.state.tables.evacuated_domains == {"d"}


async def test_a_former_leader_confirms_no_evacuation(new_simulation: Any) -> None:
    """Guards against the confirmation of a repeated command that another leader has undone."""
    simulation = new_simulation(1)
    operations = operations_of(simulation)
    await write(simulation, "d")
    await follow(simulation)

    async def read_index() -> int:
        raise NotLeaderError("another replica leads")

    simulation.log.replica.read_index = read_index
    with pytest.raises(NotLeadingError):
        await operations.set_evacuation("d", True)


async def test_only_known_domains_are_evacuated(new_simulation: Any) -> None:
    """Guards against a mistyped domain that is confirmed, and a new leader that denies a domain."""
    simulation = new_simulation(1)
    operations = operations_of(simulation)
    for domain in ("north", "d", "", "d\ud800"):
        with pytest.raises(DomainNotKnownYetError):
            await operations.set_evacuation(domain, True)
    await follow(simulation)
    for domain in ("north", "", "d\ud800", "d" * 100_000):
        with pytest.raises(UnknownDomainError):
            await operations.set_evacuation(domain, True)
    assert simulation.state.applied_index == 0
    member = SimpleNamespace(domain="south")
    simulation.log.replica.membership.members.append(member)
    for domain in ("d", "west", "south"):
        confirmation = await start(operations.set_evacuation(domain, True))
        update_feed(simulation)
        report(simulation, "e")
        await confirmation
    assert simulation.state.tables.evacuated_domains == {"d", "west", "south"}


async def test_too_few_replicas_store_no_evacuation(new_simulation: Any) -> None:
    """Guards against a confirmed evacuation that is lost with one disk."""
    simulation = new_simulation(1)
    await follow(simulation)
    operations = operations_of(simulation, voters=1)
    with pytest.raises(TooFewReplicasError):
        await operations.set_evacuation("d", True)
    assert not simulation.state.tables.evacuated_domains
