"""Operations that the leader serves to servers and operators."""

from __future__ import annotations

import asyncio
import threading

from types import SimpleNamespace
from typing import Any

import pytest

from medlarpass.fleet import ServerHeartbeat
from medlarpass.publication import Publication
from medlarpass.ranges import KEY_COUNT
from medlarpass.rpc import control_pb2
from medlarpass.rpc import fleet_pb2
from medlarpass_daemon.control.fleet.exceptions import InvalidNoticeError
from medlarpass_daemon.control.fleet.exceptions import LeaveNotFollowedError
from medlarpass_daemon.control.fleet.exceptions import NotLeadingError
from medlarpass_daemon.control.fleet.exceptions import NotPublishedError
from medlarpass_daemon.control.fleet.exceptions import TooFewReplicasError
from medlarpass_daemon.control.fleet.exceptions import UnknownPoolError
from medlarpass_daemon.control.fleet.fleet_operations import LEAVE_PATIENCE_SECONDS
from medlarpass_daemon.control.fleet.fleet_operations import PUBLICATION_TIMEOUT_SECONDS
from medlarpass_daemon.control.fleet.fleet_operations import REPLICA_JOIN_SECONDS
from medlarpass_daemon.control.fleet.fleet_operations import FleetOperations
from medlarpass_daemon.control.fleet.watchers import REACHABILITY_SECONDS
from medlarpass_daemon.control.fleet.watchers import RETURN_SECONDS
from medlarpass_daemon.large_documents import LARGE_DOCUMENT_BYTES

#: Validity of a grant in the simulation.
GRANT_LEASE_SECONDS = 4.0


def operations_of(simulation: Any, voters: int = 5, tolerated_losses: int = 1) -> FleetOperations:
    """Return the operations of the simulated replica."""
    members = SimpleNamespace(voters=frozenset(range(voters)))
    simulation.log.replica.membership = members
    simulation.log.replica.elected_at = simulation.clock.now()
    control: Any = SimpleNamespace(min_voters=2 * tolerated_losses + 1)
    return FleetOperations(simulation.log, simulation.fleet, control)


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


async def test_a_new_leader_knows_the_servers_of_the_old_one(new_simulation: Any) -> None:
    """Guards against requests without a server until each has sent another heartbeat.

    After a restart of the whole system a third of the requests found none for 0.6 s.
    """
    simulation = new_simulation(3)
    operations = operations_of(simulation)
    for server in simulation.servers.values():
        await operations.handle_heartbeat(server.heartbeat())
    await asyncio.sleep(0)
    simulation.change_leader()
    assert set(simulation.fleet.directory.members) == {"s0", "s1", "s2"}


async def test_an_incarnation_is_recorded_once(new_simulation: Any) -> None:
    """Guards against a log that grows with each heartbeat."""
    simulation = new_simulation(1)
    operations = operations_of(simulation)
    for _ in range(3):
        await operations.handle_heartbeat(simulation.servers["s0"].heartbeat())
        await asyncio.sleep(0)
    assert simulation.state.applied_index == 1


async def test_a_leaving_server_is_not_recorded(new_simulation: Any) -> None:
    """Guards against a later leader that uses a server which has left."""
    simulation = new_simulation(1)
    operations = operations_of(simulation)
    simulation.clock.advance(REACHABILITY_SECONDS)
    await operations.handle_heartbeat(simulation.servers["s0"].heartbeat())
    await operations.handle_heartbeat(simulation.servers["s0"].heartbeat(is_leaving=True))
    await operations.handle_heartbeat(simulation.servers["s0"].heartbeat(is_leaving=True))
    await asyncio.sleep(0)
    simulation.change_leader()
    assert not simulation.fleet.directory.members


def heartbeat_of_another_writer(
    known: ServerHeartbeat, identity: str, is_leaving: bool = False
) -> ServerHeartbeat:
    """Return a later heartbeat from the address of a server, for a pool that nobody published."""
    return ServerHeartbeat(
        identity, 99, 1, "store", known.ip, known.port, known.domain, 3, is_leaving, 0.0
    )


@pytest.mark.parametrize("identity", ["agent", "s0"])
@pytest.mark.parametrize("is_leaving", [False, True])
async def test_a_heartbeat_of_an_unknown_pool_replaces_no_server(
    new_simulation: Any, identity: str, is_leaving: bool
) -> None:
    """Guards against two owners of a key after one heartbeat of another writer.

    It named the address of a server, whose keys went to other servers at once.
    """
    simulation = new_simulation(3)
    operations = operations_of(simulation)
    await simulation.run(2)
    known = simulation.servers["s0"].heartbeat()
    with pytest.raises(UnknownPoolError):
        await operations.handle_heartbeat(heartbeat_of_another_writer(known, identity, is_leaving))
    await simulation.run(1)
    assert simulation.count_unowned() == 0
    assert simulation.state.ranges.last_fence == 3
    assert not simulation.state.ranges.is_retired(identity, 1)


def heartbeat_of_a_claimant(known: ServerHeartbeat) -> ServerHeartbeat:
    """Return a valid heartbeat of another server that names the address of a known one."""
    return ServerHeartbeat(
        "other", 99, 1, known.pool, known.ip, known.port, known.domain, 3, False, 0.0
    )


async def test_a_heartbeat_is_no_proof_that_another_server_has_ended(new_simulation: Any) -> None:
    """Guards against two owners after a heartbeat with the address of a live server (review/7).

    Its keys were granted to others at once, and its own heartbeats counted as outdated.
    """
    simulation = new_simulation(3)
    operations = operations_of(simulation)
    await simulation.run(2)
    owner = simulation.servers["s0"]
    owned = [key for key in range(0, KEY_COUNT, 997) if owner.owns(key)]
    await operations.handle_heartbeat(heartbeat_of_a_claimant(owner.heartbeat()))
    await simulation.run(3)
    assert simulation.state.ranges.last_fence == 3
    assert [key for key in range(0, KEY_COUNT, 997) if owner.owns(key)] == owned
    assert simulation.fleet.directory.has_joined(owner.heartbeat())
    assert "other" not in simulation.fleet.directory.members


async def test_a_refuted_claim_is_not_checked_again(new_simulation: Any) -> None:
    """Guards against a release at a live server for each heartbeat that names its address."""
    simulation = new_simulation(3)
    operations = operations_of(simulation)
    await simulation.run(2)
    claimant = heartbeat_of_a_claimant(simulation.servers["s0"].heartbeat())
    await operations.handle_heartbeat(claimant)
    await simulation.run(1)
    assert simulation.fleet.claims.refuted
    claimant.sequence += 1
    await operations.handle_heartbeat(claimant)
    assert not simulation.fleet.claims.pending


async def test_a_refuted_claim_takes_no_address_of_a_server_without_keys(
    new_simulation: Any,
) -> None:
    """Guards against a live server that is replaced as soon as its keys have moved elsewhere."""
    simulation = new_simulation(3)
    operations = operations_of(simulation)
    await simulation.run(2)
    owner = simulation.servers["s0"]
    claimant = heartbeat_of_a_claimant(owner.heartbeat())
    await operations.handle_heartbeat(claimant)
    await simulation.run(1)
    simulation.fleet.may_own_keys = lambda _: False
    claimant.sequence += 1
    await operations.handle_heartbeat(claimant)
    assert "other" not in simulation.fleet.directory.members
    assert not simulation.fleet.directory.is_replaced(simulation.fleet.directory.members["s0"])


async def test_the_keys_of_a_server_whose_address_is_used_again_are_free_at_once(
    new_simulation: Any,
) -> None:
    """Guards against waiting for the lease of a server that has certainly ended."""
    simulation = new_simulation(4)
    operations = operations_of(simulation)
    successor = simulation.servers.pop("s3")
    await simulation.run(2)
    ended = simulation.servers["s0"]
    ended.is_up = False
    simulation.servers["s3"] = successor
    successor.port, successor.incarnation = ended.port, 2
    successor.silent_until = simulation.clock.now() + 60
    await operations.handle_heartbeat(successor.heartbeat())
    await simulation.run(0.5)
    assert simulation.count_unowned() == 0
    await operations.handle_heartbeat(successor.heartbeat())
    assert simulation.fleet.directory.has_joined(successor.heartbeat())


async def test_a_claim_is_not_proved_without_an_answer(new_simulation: Any) -> None:
    """Guards against two owners when nothing answers at an address that two servers name."""
    simulation = new_simulation(3)
    operations = operations_of(simulation)
    await simulation.run(2)
    owner = simulation.servers["s0"]
    owner.is_unreachable = True
    claimant = heartbeat_of_a_claimant(owner.heartbeat())
    for _ in range(4):
        claimant.sequence += 1
        await operations.handle_heartbeat(claimant)
        await simulation.run(0.5)
    assert "other" not in simulation.fleet.directory.members
    # Without an answer the lease of the keys decides.
    await simulation.run(GRANT_LEASE_SECONDS)
    assert simulation.count_unowned() == 0
    claimant.sequence += 1
    await operations.handle_heartbeat(claimant)
    assert "other" in simulation.fleet.directory.members


async def test_an_outdated_heartbeat_replaces_no_record(new_simulation: Any) -> None:
    """Guards against a new leader that looks for a server which has ended.

    A late heartbeat replaced the record of the server that has the address now.
    """
    simulation = new_simulation(2)
    operations = operations_of(simulation)
    former, successor = simulation.servers.values()
    successor.port, successor.incarnation = former.port, 2
    late = former.heartbeat()
    await operations.handle_heartbeat(successor.heartbeat())
    await asyncio.sleep(0)
    await operations.handle_heartbeat(late)
    await asyncio.sleep(0)
    assert [record.identity for record in simulation.state.servers.all()] == ["s1"]


async def test_a_heartbeat_before_the_first_publication_counts_once_its_pool_is_known(
    new_simulation: Any,
) -> None:
    """Guards against servers that are recorded without a known pool, and against a late start."""
    simulation = new_simulation(2)
    simulation.state.publication = control_pb2.Publish()
    operations = operations_of(simulation)
    known = simulation.servers["s0"].heartbeat()
    await operations.handle_heartbeat(known)
    await operations.handle_heartbeat(heartbeat_of_another_writer(known, "agent"))
    with pytest.raises(NotPublishedError):
        await operations.handle_heartbeat(heartbeat_of_another_writer(known, "s0", True))
    assert not simulation.fleet.directory.members
    await operations.publish(publication(2), b"{}")
    assert set(simulation.fleet.directory.members) == {"s0"}


async def test_a_heartbeat_before_the_first_publication_counts_in_its_term_only(
    new_simulation: Any,
) -> None:
    """Guards against requests and keys for a server that ended while another replica led."""
    simulation = new_simulation(1)
    simulation.state.publication = control_pb2.Publish()
    operations = operations_of(simulation)
    await operations.handle_heartbeat(simulation.servers["s0"].heartbeat())
    simulation.log.replica.term += 2
    simulation.fleet.start_term(simulation.log.replica.term)
    await operations.publish(publication(2), b"{}")
    assert not simulation.fleet.directory.members


@pytest.mark.parametrize(
    "changes", [{"domain": "d\ud800"}, {"incarnation": 1 << 64}, {"port": 1 << 40}, {"slots": "3"}]
)
async def test_a_heartbeat_that_no_message_can_hold_is_refused(
    new_simulation: Any, changes: dict[str, Any]
) -> None:
    """Guards against entries that learn of no change of servers after one odd heartbeat."""
    simulation = new_simulation(1)
    operations = operations_of(simulation)
    heartbeat = simulation.servers["s0"].heartbeat()
    for name, value in changes.items():
        setattr(heartbeat, name, value)
    with pytest.raises(InvalidNoticeError):
        await operations.handle_heartbeat(heartbeat)
    assert not simulation.fleet.directory.members


async def test_a_failed_update_of_the_feed_is_repeated(new_simulation: Any) -> None:
    """Guards against a feed revision that counts as sent although it lacks the changed servers.

    A leave was confirmed, and entries went on sending requests to the server.
    """
    simulation = new_simulation(2)
    operations = operations_of(simulation)
    await operations.handle_heartbeat(simulation.servers["s0"].heartbeat())
    update_feed(simulation)
    odd = simulation.servers["s1"].heartbeat()
    odd.domain = "\ud800"
    simulation.fleet.directory.record_heartbeat(odd)
    simulation.fleet.directory.retire("s0", 1)
    simulation.fleet.servers_changed()
    revision = simulation.fleet.feed.feed_revision
    for _ in range(2):
        with pytest.raises(ValueError, match="surrogates"):
            update_feed(simulation)
    assert simulation.fleet.feed.feed_revision == revision
    del simulation.fleet.directory.members["s1"]
    update_feed(simulation)
    (server,) = simulation.fleet.feed.servers.items.values()
    assert server.phase == fleet_pb2.SERVER_PHASE_RETIRED


async def test_a_server_of_a_removed_pool_can_leave(new_simulation: Any) -> None:
    """Guards against a server that gets no confirmation because its pool was removed before."""
    simulation = new_simulation(1)
    operations = operations_of(simulation)
    simulation.clock.advance(REACHABILITY_SECONDS)
    server = simulation.servers["s0"]
    await operations.handle_heartbeat(server.heartbeat())
    await operations.publish({**publication(2), "pools": []}, b"{}")
    await operations.handle_heartbeat(server.heartbeat(is_leaving=True))
    assert simulation.state.ranges.is_retired("s0", server.incarnation)


async def test_a_change_needs_enough_replicas_for_the_tolerated_losses(new_simulation: Any) -> None:
    """Guards against a confirmed change on three voters if the loss of two disks is tolerated."""
    simulation = new_simulation(1)
    operations = operations_of(simulation, voters=3, tolerated_losses=2)
    with pytest.raises(TooFewReplicasError):
        await operations.publish(publication(2), b"{}")
    simulation.log.replica.membership.voters = frozenset(range(5))
    assert await operations.publish(publication(2), b"{}") == 2


async def test_a_system_with_few_replicas_accepts_changes(new_simulation: Any) -> None:
    """Guards against a deployment that never works because it has too few VMs with disks."""
    simulation = new_simulation(1)
    operations = operations_of(simulation, voters=3, tolerated_losses=2)
    simulation.clock.advance(REPLICA_JOIN_SECONDS)
    assert await operations.publish(publication(2), b"{}") == 2


class SimulatedEntry:
    """An entry with an open stream, which reports the state that it has."""

    def __init__(self, simulation: Any, name: str) -> None:
        self.simulation = simulation
        self.name = name
        simulation.fleet.watchers.add_stream(fleet_pb2.WatchRequest(entry=name))

    def report_position(self) -> None:
        """Report that the entry has the current state of the feed."""
        feed = self.simulation.fleet.feed
        report = fleet_pb2.EntryReport(entry=self.name, term=feed.term, mark=feed.feed_revision)
        self.simulation.fleet.watchers.record_report(report)


async def entries_of(simulation: Any, count: int) -> list[SimulatedEntry]:
    """Return entries with the current state of the simulated replica, which has led for a while."""
    simulation.clock.advance(REACHABILITY_SECONDS)
    update_feed(simulation)
    entries = [SimulatedEntry(simulation, f"e{number}") for number in range(count)]
    for entry in entries:
        entry.report_position()
    return entries


def update_feed(simulation: Any) -> None:
    """Update the feed of the simulated replica."""
    simulation.fleet.update_feed([], fleet_pb2.FleetSource())


async def start(action: Any) -> asyncio.Task[Any]:
    """Start a task and let it run until it has to wait."""
    task = asyncio.create_task(action)
    for _ in range(20):
        await asyncio.sleep(0)
    return task


async def test_a_publication_is_confirmed_once_entries_have_it(new_simulation: Any) -> None:
    """Guards against a 404 response of an entry that has not received a confirmed route yet."""
    simulation = new_simulation(1)
    operations = operations_of(simulation)
    entries = await entries_of(simulation, 3)
    confirmation = await start(operations.publish(publication(2), b"{}"))
    update_feed(simulation)
    for entry in entries:
        assert not confirmation.done()
        entry.report_position()
        await asyncio.sleep(0.01)
    assert await confirmation == 2
    # A repeated request after a lost confirmation has nothing to wait for.
    assert await operations.publish(publication(2), b"{}") == 2


async def test_a_large_publication_is_checked_outside_the_event_loop(
    new_simulation: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a leader that sends nothing for longer than an election timeout.

    The check of 6,000 routes took 0.6 to 1.5 s of the event loop.
    """
    simulation = new_simulation(1)
    operations = operations_of(simulation)
    simulation.clock.advance(REACHABILITY_SECONDS)
    threads = []
    check = Publication.from_document

    def record(*arguments: Any) -> Publication:
        threads.append(threading.current_thread())
        return check(*arguments)

    monkeypatch.setattr(Publication, "from_document", record)
    assert await operations.publish(publication(2), b" " * LARGE_DOCUMENT_BYTES) == 2
    assert await operations.publish(publication(3), b"{}") == 3
    assert threads[0] is not threading.main_thread()
    assert threads[1] is threading.main_thread()


async def test_a_publication_that_is_in_the_feed_at_once_is_waited_for(new_simulation: Any) -> None:
    """Guards against waiting for a later state than the one that contains the publication."""
    simulation = new_simulation(1)
    simulation.state.observers.append(lambda: update_feed(simulation))
    operations = operations_of(simulation)
    entries = await entries_of(simulation, 1)
    confirmation = await start(operations.publish(publication(2), b"{}"))
    assert not confirmation.done()
    entries[0].report_position()
    assert await confirmation == 2


async def test_a_lagging_entry_delays_no_confirmation_for_long(new_simulation: Any) -> None:
    """Guards against changes blocked by one slow entry."""
    simulation = new_simulation(1)
    operations = operations_of(simulation)
    await entries_of(simulation, 1)
    confirmation = await start(operations.publish(publication(2), b"{}"))
    assert await confirmation == 2


async def test_a_new_leader_waits_for_entries_to_report(new_simulation: Any) -> None:
    """Guards against a confirmation that waits for no entry because none has reported yet.

    A route was confirmed right after an election, and entries still refused it 3.6 s later.
    """
    simulation = new_simulation(1)
    operations = operations_of(simulation)
    started_at = asyncio.get_running_loop().time()
    assert await operations.publish(publication(2), b"{}") == 2
    assert asyncio.get_running_loop().time() - started_at >= PUBLICATION_TIMEOUT_SECONDS
    simulation.clock.advance(REACHABILITY_SECONDS)
    confirmation = await start(operations.publish(publication(3), b"{}"))
    assert confirmation.done()


async def test_an_unreachable_entry_is_not_waited_for(new_simulation: Any) -> None:
    """Guards against slow changes while a domain is partitioned."""
    simulation = new_simulation(1)
    operations = operations_of(simulation)
    await entries_of(simulation, 2)
    simulation.clock.advance(REACHABILITY_SECONDS)
    assert await operations.publish(publication(2), b"{}") == 2


async def test_a_leave_is_confirmed_once_entries_have_it(new_simulation: Any) -> None:
    """Guards against new work for a server whose leave was confirmed.

    The server repeats its leave with each heartbeat; only the first confirmation takes longer.
    """
    simulation = new_simulation(1)
    operations = operations_of(simulation)
    server = simulation.servers["s0"]
    await operations.handle_heartbeat(server.heartbeat())
    (entry,) = await entries_of(simulation, 1)
    confirmation = await start(operations.handle_heartbeat(server.heartbeat(is_leaving=True)))
    assert not confirmation.done()
    update_feed(simulation)
    entry.report_position()
    await confirmation
    update_feed(simulation)
    await operations.handle_heartbeat(server.heartbeat(is_leaving=True))


async def test_a_leave_is_not_confirmed_while_entries_change_replicas(new_simulation: Any) -> None:
    """Guards against requests to a server whose leave a leader confirmed to itself.

    A relay had just lost the leader, and no report told that its entries followed an older state;
    they sent requests to the server for 13 s.
    """
    simulation = new_simulation(1)
    operations = operations_of(simulation)
    server = simulation.servers["s0"]
    await operations.handle_heartbeat(server.heartbeat())
    await entries_of(simulation, 0)
    relay = fleet_pb2.WatchRequest(is_relay=True, address="10.0.0.2:1", domain="north")
    watchers = simulation.fleet.watchers
    watchers.add_stream(relay)
    feed = simulation.fleet.feed
    report = fleet_pb2.EntryReport(
        entry=relay.address, entries=18, term=feed.term, mark=feed.feed_revision
    )
    watchers.record_report(report)
    watchers.remove_stream(relay)
    with pytest.raises(LeaveNotFollowedError):
        await operations.handle_heartbeat(server.heartbeat(is_leaving=True))
    watchers.add_stream(relay)
    update_feed(simulation)
    report.mark = feed.feed_revision
    watchers.record_report(report)
    await operations.handle_heartbeat(server.heartbeat(is_leaving=True))


async def test_a_leave_is_not_confirmed_while_an_entry_does_not_follow(new_simulation: Any) -> None:
    """Guards against a leave that is confirmed after 0.4 s whatever entries know.

    An entry that never follows does not keep the server from leaving.
    """
    simulation = new_simulation(1)
    operations = operations_of(simulation)
    server = simulation.servers["s0"]
    await operations.handle_heartbeat(server.heartbeat())
    (entry,) = await entries_of(simulation, 1)
    stale = (simulation.fleet.feed.term, simulation.fleet.feed.feed_revision)
    with pytest.raises(LeaveNotFollowedError):
        await operations.handle_heartbeat(server.heartbeat(is_leaving=True))
    simulation.clock.advance(LEAVE_PATIENCE_SECONDS)
    report = fleet_pb2.EntryReport(entry=entry.name, term=stale[0], mark=stale[1])
    simulation.fleet.watchers.record_report(report)
    await operations.handle_heartbeat(server.heartbeat(is_leaving=True))


@pytest.mark.parametrize("call", ["leave", "publish"])
async def test_a_former_leader_confirms_nothing(new_simulation: Any, call: str) -> None:
    """Guards against a confirmation of a leader whose entries have turned to its successor."""
    simulation = new_simulation(1)
    operations = operations_of(simulation)
    server = simulation.servers["s0"]
    await operations.handle_heartbeat(server.heartbeat())
    await entries_of(simulation, 1)
    action = (
        operations.handle_heartbeat(server.heartbeat(is_leaving=True))
        if call == "leave"
        else operations.publish(publication(2), b"{}")
    )
    confirmation = await start(action)
    simulation.log.replica.is_leader = False
    simulation.log.leader_address = lambda: "10.0.0.9:1"
    with pytest.raises(NotLeadingError):
        await confirmation


async def test_a_leave_is_not_confirmed_before_the_term_of_its_leader_has_begun(
    new_simulation: Any,
) -> None:
    """Guards against requests to a server whose leave was confirmed right after an election.

    The state of an earlier term of the replica was still in place, in which no entry lags.
    """
    simulation = new_simulation(1)
    operations = operations_of(simulation)
    server = simulation.servers["s0"]
    await operations.handle_heartbeat(server.heartbeat())
    await entries_of(simulation, 1)
    simulation.fleet.end_term()
    simulation.log.replica.term += 2
    with pytest.raises(LeaveNotFollowedError):
        await operations.handle_heartbeat(server.heartbeat(is_leaving=True))


async def test_a_leave_without_incarnation_is_of_the_newest_one_in_the_log(
    new_simulation: Any,
) -> None:
    """Guards against a leave that is confirmed for an incarnation that has ended.

    Right after an election the servers were those of an earlier term of the replica.
    """
    simulation = new_simulation(1)
    operations = operations_of(simulation)
    server = simulation.servers["s0"]
    await operations.handle_heartbeat(server.heartbeat())
    simulation.fleet.end_term()
    simulation.log.replica.term += 2
    server.restart()
    record = server.heartbeat().to_record()
    await simulation.log.propose(control_pb2.Command(record_server=record))
    leave = await start(operations.retire("s0", None))
    simulation.clock.advance(REACHABILITY_SECONDS)
    simulation.fleet.start_term(simulation.log.replica.term)
    simulation.clock.advance(REACHABILITY_SECONDS)
    await leave
    assert simulation.state.ranges.is_retired("s0", server.incarnation)


async def test_a_publication_is_waited_for_before_the_term_of_its_leader_has_begun(
    new_simulation: Any,
) -> None:
    """Guards against a route that is confirmed right after an election and then not found."""
    simulation = new_simulation(1)
    operations = operations_of(simulation)
    await entries_of(simulation, 1)
    simulation.fleet.end_term()
    simulation.log.replica.term += 2
    confirmation = await start(operations.publish(publication(2), b"{}"))
    assert not confirmation.done()
    assert await confirmation == 2


async def test_entries_of_the_previous_leader_are_waited_for(new_simulation: Any) -> None:
    """Guards against a new leader that confirms a leave before the entries have found it."""
    simulation = new_simulation(1)
    operations = operations_of(simulation)
    server = simulation.servers["s0"]
    await operations.handle_heartbeat(server.heartbeat())
    simulation.fleet.feed.entry_count = 73
    simulation.fleet.start_term(simulation.fleet.led_term)
    await operations.handle_heartbeat(server.heartbeat())
    simulation.clock.advance(REACHABILITY_SECONDS)
    with pytest.raises(LeaveNotFollowedError):
        await operations.handle_heartbeat(server.heartbeat(is_leaving=True))
    simulation.clock.advance(RETURN_SECONDS)
    await operations.handle_heartbeat(server.heartbeat(is_leaving=True))


async def test_the_counts_of_entries_that_left_are_dropped(new_simulation: Any) -> None:
    """Guards against memory that grows with each entry that loses its stream."""
    simulation = new_simulation(1)
    watchers = simulation.fleet.watchers
    request = fleet_pb2.WatchRequest(entry="e0")
    for _ in range(100):
        watchers.add_stream(request)
        watchers.remove_stream(request)
        simulation.clock.advance(RETURN_SECONDS / 4)
    assert len(watchers.earlier_counts) <= 4
    assert watchers.missing_count == 1
    simulation.clock.advance(RETURN_SECONDS)
    assert watchers.missing_count == 0


async def test_a_relay_counts_as_its_slowest_entry(new_simulation: Any) -> None:
    """Guards against a confirmation that waits for relays but not for the entries behind them."""
    simulation = new_simulation(1)
    watchers = simulation.fleet.watchers
    assert watchers.oldest_position((3, 9)) == (3, 9)
    for name, position in (("e0", (3, 8)), ("e1", (3, 5)), ("e2", (2, 70))):
        watchers.add_stream(fleet_pb2.WatchRequest(entry=name))
        report = fleet_pb2.EntryReport(entry=name, term=position[0], mark=position[1])
        watchers.record_report(report)
    assert watchers.oldest_position((3, 9)) == (2, 70)
    watchers.remove_stream(fleet_pb2.WatchRequest(entry="e2"))
    assert watchers.oldest_position((3, 9)) == (3, 5)
    assert watchers.lagging((3, 6)) == ["e1"]
