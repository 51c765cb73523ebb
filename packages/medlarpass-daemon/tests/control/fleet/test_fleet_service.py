"""Updates that entries and relays receive."""

from __future__ import annotations

import asyncio
import random

from types import SimpleNamespace
from typing import TYPE_CHECKING
from typing import Any

import pytest

from medlarpass import ManualClock
from medlarpass.ranges import RangeAssignment
from medlarpass.rpc import control_pb2
from medlarpass.rpc import fleet_pb2
from medlarpass_daemon.control.fleet import fleet_service
from medlarpass_daemon.control.fleet.feed_updater import MAX_STALENESS_SECONDS
from medlarpass_daemon.control.fleet.feed_updater import FeedUpdater
from medlarpass_daemon.control.fleet.fleet_feed import FleetFeed
from medlarpass_daemon.control.fleet.fleet_feed import WatchCursor
from medlarpass_daemon.control.fleet.fleet_service import FleetService
from medlarpass_daemon.control.fleet.relayed_ranges import RelayedRanges
from medlarpass_daemon.control.fleet.report_relay import ReportRelay
from medlarpass_daemon.entry.fleet.fleet_routing import FleetRouting
from medlarpass_daemon.entry.fleet.publication_age import PublicationAge
from medlarpass_daemon.exceptions import PublicationGapError
from medlarpass_daemon.publication_parts import PublicationAssembler

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

ENTRY_COUNT = 190
#: Size of an update that reaches an entry within 0.2 s over a link of 2 Mbit/s that is half used.
MAX_UPDATE_BYTES = 25_000
#: The longest election timeout of the deployments, and the votes.
MAX_ELECTION_SECONDS = 1.3


def routing_of() -> FleetRouting:
    """Return the routing of an entry without a publication."""
    return FleetRouting(PublicationAge(ManualClock(), 2.0))


def service_of(simulation: Any) -> FleetService:
    """Return the service of the simulated replica."""
    simulation.log.replica.membership = SimpleNamespace(members=[])
    simulation.log.leader_address = lambda: "10.0.0.9:1"
    rpc = SimpleNamespace(endpoint=lambda: "10.0.0.1:1")
    settings: Any = SimpleNamespace(name="control", domain="north", rpc=rpc)
    unused: Any = None
    feed = FeedUpdater(settings, simulation.log, simulation.fleet, unused, simulation.clock)
    return FleetService(simulation.log, simulation.fleet, unused, feed, ReportRelay(feed, unused))


def watch(name: str = "e", version: int = 0, is_relay: bool = False) -> fleet_pb2.WatchRequest:
    """Return the request of a watcher."""
    return fleet_pb2.WatchRequest(
        entry=name, domain="north", version=version, is_relay=is_relay, address=f"{name}:1"
    )


async def read_whole_view(
    stream: AsyncIterator[fleet_pb2.FleetUpdate],
) -> list[fleet_pb2.FleetUpdate]:
    """Return the parts of the whole view at the beginning of a stream."""
    parts = [await anext(stream)]
    while not parts[-1].ends_whole:
        parts.append(await anext(stream))
    return parts


async def updates_of_follower(simulation: Any, version: int) -> list[fleet_pb2.FleetUpdate]:
    """Return the updates of a follower without a leader for an entry with a version in force."""
    simulation.log.replica.is_leader = False
    service = service_of(simulation)
    return [update async for update in service.Watch(watch(version=version), None)]


async def test_a_follower_serves_an_entry_without_a_view(new_simulation: Any) -> None:
    """Guards against an entry that restarts in a partitioned domain and can't serve."""
    simulation = new_simulation(2)
    record = simulation.servers["s0"].heartbeat().to_record()
    await simulation.log.propose(control_pb2.Command(record_server=record))
    part = RangeAssignment("stock", 0, 99, "s0", 1)
    assigned = control_pb2.AssignRanges(assignments=[part.to_proto()])
    await simulation.log.propose(control_pb2.Command(assign_ranges=assigned))
    *parts, moved = await updates_of_follower(simulation, 0)
    assert all(part.from_follower for part in parts)
    assert parts[0].publication.version == 1
    assert parts[0].begins_whole
    assert parts[-1].ends_whole
    assert [server.identity for part in parts for server in part.servers] == ["s0"]
    ranges = [key_range for part in parts for key_range in part.range_changes]
    assert [key_range.assignment.identity for key_range in ranges] == ["s0"]
    assert moved.not_leader.leader_address == "10.0.0.9:1"


async def test_a_follower_does_not_replace_the_view_of_an_entry(new_simulation: Any) -> None:
    """Guards against replacing the view from the leader by an older one."""
    (only,) = await updates_of_follower(new_simulation(2), 1)
    assert only.HasField("not_leader")


async def test_a_relay_forwards_the_view_of_the_leader(new_simulation: Any) -> None:
    """Guards against a view that is incomplete after a relay."""
    simulation = new_simulation(4)
    await simulation.run(2.0)
    leader = service_of(simulation)
    leader.feed.refresh()
    leader_stream = leader.Watch(watch("relay", is_relay=True), None)
    first = await anext(leader_stream)
    other = new_simulation(1)
    relay = service_of(other)
    other.log.replica.is_leader = False
    relay.feed._apply(first, RelayedRanges(), PublicationAssembler())
    relay_stream = relay.Watch(watch(), None)
    forwarded = await read_whole_view(relay_stream)
    assert {server.identity for part in forwarded for server in part.servers} == set(
        simulation.servers
    )
    ranges = [key_range for part in forwarded for key_range in part.range_changes]
    assert ranges == list(first.ranges.ranges)
    assert forwarded[0].publication == first.publication
    assert all(part.term == first.term for part in forwarded)
    await leader_stream.aclose()
    await relay_stream.aclose()


async def test_a_relay_without_messages_of_the_leader_stops_serving(new_simulation: Any) -> None:
    """Guards against entries that keep watching a replica with an outdated view."""
    simulation = new_simulation(1)
    relay = service_of(simulation)
    simulation.log.replica.is_leader = False
    relay.feed._apply(
        fleet_pb2.FleetUpdate(term=1, is_whole=True), RelayedRanges(), PublicationAssembler()
    )
    stream = relay.Watch(watch(version=1), None)
    assert not (await read_whole_view(stream))[-1].HasField("not_leader")
    simulation.clock.advance(MAX_STALENESS_SECONDS * 1.01)
    assert (await anext(stream)).not_leader.leader_address == "10.0.0.9:1"


async def test_a_costly_feed_is_updated_less_often(
    new_simulation: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a leader that has no time for its followers while keys move."""
    simulation = new_simulation(1)
    feed = service_of(simulation).feed
    refresh_count = 0

    def refresh() -> None:
        nonlocal refresh_count
        refresh_count += 1
        simulation.clock.advance(0.05)
        simulation.fleet.notify()

    monkeypatch.setattr(FeedUpdater, "refresh", lambda self: refresh())
    task = asyncio.create_task(feed._lead())
    await asyncio.sleep(0.5)
    task.cancel()
    assert 1 <= refresh_count <= 3


async def test_an_entry_waits_for_a_replica_that_cannot_serve_yet(
    new_simulation: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against entries that ask replicas again and again until a leader is heard.

    They asked several times a second, which took the processor time that late replicas lacked.
    """
    simulation = new_simulation(1)
    relay = service_of(simulation)
    simulation.log.replica.is_leader = False
    stream = relay.Watch(watch(version=1), None)
    first = asyncio.ensure_future(anext(stream))
    await asyncio.sleep(0.05)
    assert not first.done()
    update = fleet_pb2.FleetUpdate(term=1, is_whole=True)
    relay.feed._apply(update, RelayedRanges(), PublicationAssembler())
    assert (await first).begins_whole
    await stream.aclose()
    simulation.clock.advance(MAX_STALENESS_SECONDS)
    monkeypatch.setattr(fleet_service, "MAX_SERVING_WAIT_SECONDS", 0.1)
    (refusal,) = [update async for update in relay.Watch(watch(version=1), None)]
    assert refusal.HasField("not_leader")


async def test_entries_stay_at_a_relay_during_an_election(new_simulation: Any) -> None:
    """Guards against all entries that turn to a new leader for whole views at its election.

    The new leader was late for its followers then, which elected the next leader.
    """
    simulation = new_simulation(1)
    relay = service_of(simulation)
    simulation.log.replica.is_leader = False
    server = fleet_pb2.FleetServer(identity="s0")
    first = fleet_pb2.FleetUpdate(term=1, is_whole=True, servers=[server])
    relay.feed._apply(first, RelayedRanges(), PublicationAssembler())
    stream = relay.Watch(watch(version=1), None)
    await read_whole_view(stream)
    simulation.clock.advance(MAX_ELECTION_SECONDS)
    assert not (await anext(stream)).HasField("not_leader")
    next_term = fleet_pb2.FleetUpdate(term=2, is_whole=True, servers=[server])
    relay.feed._apply(next_term, RelayedRanges(), PublicationAssembler())
    update = await anext(stream)
    assert not update.HasField("not_leader")
    assert (update.term, len(update.servers), update.begins_whole) == (2, 0, False)
    await stream.aclose()


async def test_a_whole_view_is_sent_in_small_parts(new_simulation: Any) -> None:
    """Guards against a first message that takes longer than an entry waits.

    With 3,000 servers it took 1.5 s over a link of 2 Mbit/s. Entries closed the stream after 0.6 s
    and repeated that at one replica after the other.
    """
    feed = FleetFeed()
    feed.set_servers(
        fleet_pb2.FleetServer(identity=f"i-{number:010x}", life=1, pool="stock", ip="10.0.0.1")
        for number in range(3000)
    )
    feed.set_ranges(
        fleet_pb2.FleetRange(
            assignment=control_pb2.RangeAssignment(
                pool="stock", first=20 * number, last=20 * number + 19, identity="i", life=1
            )
        )
        for number in range(3000)
    )
    parts = feed.whole_view_for(WatchCursor(0))
    assert max(part.ByteSize() for part in parts) < 32_000
    assert sum(len(part.servers) for part in parts) == 3000
    assert sum(len(part.range_changes) for part in parts) == 3000
    assert [part.begins_whole for part in parts].count(True) == 1
    assert [part.ends_whole for part in parts].count(True) == 1


async def test_only_the_leader_serves_a_relay(new_simulation: Any) -> None:
    """Guards against relays that watch each other and keep the state of a lost leader."""
    simulation = new_simulation(1)
    relay = service_of(simulation)
    simulation.log.replica.is_leader = False
    relay.feed._apply(
        fleet_pb2.FleetUpdate(term=1, is_whole=True), RelayedRanges(), PublicationAssembler()
    )
    (only,) = [update async for update in relay.Watch(watch("r", is_relay=True), None)]
    assert only.HasField("not_leader")


async def test_all_entries_share_one_update(
    new_simulation: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against work that grows with the number of entries times servers."""
    simulation = new_simulation(4)
    await simulation.run(2.0)
    service = service_of(simulation)
    service.feed.refresh()
    built = []
    build = FleetFeed._header
    monkeypatch.setattr(FleetFeed, "_header", lambda *args: built.append(1) or build(*args))
    streams = [service.Watch(watch(f"e{number}"), None) for number in range(ENTRY_COUNT)]
    await asyncio.gather(*(read_whole_view(stream) for stream in streams))
    assert len(built) == 1
    simulation.fleet.directory.retire("s1", 1)
    simulation.fleet.servers_changed()
    service.feed.refresh()
    updates = await asyncio.gather(*(anext(stream) for stream in streams))
    assert len(built) == 2
    assert all([server.identity for server in update.servers] == ["s1"] for update in updates)
    for stream in streams:
        await stream.aclose()


async def test_a_change_contains_the_changed_servers_only(new_simulation: Any) -> None:
    """Guards against sending whole views over slow links when one of hundreds of servers leaves."""
    feed = FleetFeed()
    servers = {str(n): fleet_pb2.FleetServer(identity=str(n), life=1) for n in range(331)}
    feed.set_servers(servers.values())
    entry = WatchCursor(0)
    assert len(feed.update_for(entry).servers) == 331
    del servers["7"]
    servers["9"] = fleet_pb2.FleetServer(identity="9", life=2)
    feed.set_servers(servers.values())
    update = feed.update_for(entry)
    assert (update.is_whole, list(update.gone)) == (False, ["7"])
    assert [(server.identity, server.life) for server in update.servers] == [("9", 2)]


async def test_reports_through_a_relay_are_combined(new_simulation: Any) -> None:
    """Guards against loads that do not reach the leader or are counted twice."""
    simulation = new_simulation(1)
    relay = service_of(simulation)
    simulation.log.replica.is_leader = False
    relay.feed._apply(
        fleet_pb2.FleetUpdate(term=1, is_whole=True), RelayedRanges(), PublicationAssembler()
    )
    load = fleet_pb2.RangeLoad(pool="stock", keys=[5, 9], requests=[2, 1])
    time = fleet_pb2.ServerTime(identity="s0", answers=3, milliseconds=600)
    for _ in range(2):
        await relay.Report(fleet_pb2.EntryReport(entry="e", loads=[load], times=[time]), None)
    summed = relay.reports._build_report()
    assert [(list(load.keys), list(load.requests)) for load in summed.loads] == [([5, 9], [4, 2])]
    assert [(time.answers, time.milliseconds) for time in summed.times] == [(6, 1200)]
    assert not relay.reports._build_report().loads


async def test_a_server_that_left_under_another_leader_is_not_sent(new_simulation: Any) -> None:
    """Guards against a re-elected leader that uses a server which has left meanwhile.

    The replica led before and still has the server in its state from that time.
    """
    simulation = new_simulation(2)
    await simulation.run(1.0)
    for server in simulation.servers.values():
        record = server.heartbeat().to_record()
        await simulation.log.propose(control_pb2.Command(record_server=record))
    left = control_pb2.RetireServer(identity="s1", life=1)
    await simulation.log.propose(control_pb2.Command(retire_server=left))
    service = service_of(simulation)
    simulation.keeper.start_term()
    service.feed.refresh()
    stream = service.Watch(watch(), None)
    parts = await read_whole_view(stream)
    assert [server.identity for part in parts for server in part.servers] == ["s0"]
    await stream.aclose()


def large_document(version: int, count: int, timeout: float = 1.0) -> dict[str, Any]:
    """Return the document of a publication with many routes that compress badly.

    :param timeout: timeout of the first route
    """
    rng = random.Random(7)
    routes = [
        {
            "name": f"{rng.getrandbits(64):x}",
            "host": f"{rng.getrandbits(48):x}.example",
            "prefix": f"/{rng.getrandbits(64):x}/",
            "class": "download",
            "timeout": timeout if not index else 1.0,
            "target": 0.4,
            "priority": 2,
            "attempts": 2,
            "shares": [{"pool": "art", "weight": 1}],
        }
        for index in range(count)
    ]
    return {
        "version": version,
        "key_header": "Key",
        "routes": routes,
        "pools": [{"name": "art", "owned": False, "connections": 10}],
        "limits": {},
    }


def send_publication(feed: FleetFeed, entry: FleetRouting, cursor: WatchCursor) -> list[int]:
    """Send the publication to an entry and return the sizes of the updates."""
    parts = PublicationAssembler()
    sizes = []
    while entry.revision < feed.publication_version:
        update = feed.update_for(cursor)
        assert update.HasField("publication")
        assert cursor.has_more or entry.revision < update.publication.version
        entry.apply_part(update.publication, parts)
        sizes.append(update.ByteSize())
    assert not cursor.has_more
    return sizes


async def test_a_large_publication_is_sent_in_small_parts() -> None:
    """Guards against a publication that never arrives over a slow link.

    It was a single message. Entries aborted it after 0.6 s and requested it from the next replica.
    """
    feed, entry, cursor = FleetFeed(), routing_of(), WatchCursor(0)
    document = large_document(3, 3500)
    feed.set_publication(document)
    sizes = send_publication(feed, entry, cursor)
    assert len(sizes) > 3
    assert max(sizes) < MAX_UPDATE_BYTES
    assert entry.publication is not None
    assert entry.publication.document == document
    view = routing_of()
    parts = PublicationAssembler()
    for part in feed.whole_view_for(WatchCursor(0)):
        assert part.ByteSize() < MAX_UPDATE_BYTES
        if part.HasField("publication"):
            view.apply_part(part.publication, parts)
    assert view.revision == 3


async def test_a_small_change_of_a_large_publication_is_small() -> None:
    """Guards against sending thousands of routes to each entry when one timeout changes."""
    feed, entry, cursor = FleetFeed(), routing_of(), WatchCursor(0)
    feed.set_publication(large_document(3, 3500))
    send_publication(feed, entry, cursor)
    for version in range(4, 40):
        feed.set_publication(large_document(version, 3500, timeout=float(version)))
        assert send_publication(feed, entry, cursor) < [1000]
    assert entry.publication is not None
    assert entry.publication.document == large_document(39, 3500, timeout=39.0)


async def test_a_publication_that_is_superseded_during_its_transfer_arrives() -> None:
    """Guards against a transfer that starts again with each later version."""
    feed, entry, cursor = FleetFeed(), routing_of(), WatchCursor(0)
    feed.set_publication(large_document(3, 3500))
    parts = PublicationAssembler()
    for version in range(4, 60):
        update = feed.update_for(cursor)
        entry.apply_part(update.publication, parts)
        feed.set_publication(large_document(version, 3500, timeout=float(version)))
    assert entry.revision >= 50
    send_publication(feed, entry, cursor)
    assert entry.publication is not None
    assert entry.publication.document == large_document(59, 3500, timeout=59.0)


async def test_a_watcher_with_an_unknown_version_gets_all_routes() -> None:
    """Guards against a new leader that sends a change to an entry without its base version."""
    feed, entry = FleetFeed(), routing_of()
    feed.set_publication(large_document(9, 30))
    send_publication(feed, entry, WatchCursor(0))
    other = FleetFeed()
    other.set_publication(large_document(12, 40))
    send_publication(other, entry, WatchCursor(entry.revision))
    assert entry.publication is not None
    assert entry.publication.document == large_document(12, 40)


async def test_a_relay_forwards_a_changed_publication(new_simulation: Any) -> None:
    """Guards against a relay that loses a route when it is sent changes only."""
    leader, relay = FleetFeed(), service_of(new_simulation(1))
    ranges, parts, cursor = RelayedRanges(), PublicationAssembler(), WatchCursor(0)
    entry, entry_cursor = routing_of(), WatchCursor(0)
    feed = relay.fleet.feed
    for version in (3, 4, 5):
        leader.set_publication(large_document(version, 700 * version, timeout=float(version)))
        while feed.publication_version < version:
            relay.feed._apply(leader.update_for(cursor), ranges, parts)
        send_publication(feed, entry, entry_cursor)
    assert entry.publication is not None
    assert entry.publication.document == large_document(5, 3500, timeout=5.0)


async def test_only_a_leader_with_the_lease_reports_the_newest_publication(
    new_simulation: Any,
) -> None:
    """Guards against a former leader that reports an outdated version as the newest."""
    simulation = new_simulation(1)
    service = service_of(simulation)
    report = fleet_pb2.EntryReport(entry="e")
    response = await service.Report(report, None)
    assert (response.publication_version, response.age_ms) == (1, 0)
    simulation.keeper.lease.expires_at = 0.0
    assert not (await service.Report(report, None)).publication_version


async def test_a_relay_reports_the_age_of_its_last_response_from_the_leader(
    new_simulation: Any,
) -> None:
    """Guards against a relay that hides how old its information from the leader is."""
    simulation = new_simulation(1)
    relay = service_of(simulation)
    simulation.log.replica.is_leader = False
    relay.feed._apply(
        fleet_pb2.FleetUpdate(term=1, is_whole=True), RelayedRanges(), PublicationAssembler()
    )
    report = fleet_pb2.EntryReport(entry="e")
    assert not (await relay.Report(report, None)).publication_version
    sent_at = simulation.clock.now()
    simulation.clock.advance(0.1)
    leader_response = fleet_pb2.EntryReportResponse(publication_version=7, age_ms=50)
    relay.feed.newest_publication.record_response(leader_response, sent_at)
    simulation.clock.advance(0.1)
    response = await relay.Report(report, None)
    assert response.publication_version == 7
    assert 250 <= response.age_ms <= 252
    simulation.clock.advance(90 * 24 * 3600)
    assert not (await relay.Report(report, None)).publication_version


async def test_a_relay_does_not_report_a_publication_that_does_not_apply(
    new_simulation: Any,
) -> None:
    """Guards against a confirmation that counts a relay without the publication."""
    feed = service_of(new_simulation(1)).feed
    update = fleet_pb2.FleetUpdate(
        term=3, mark=9, publication=fleet_pb2.PackedPublication(version=7, base=6, parts=1)
    )
    with pytest.raises(PublicationGapError):
        feed._apply(update, RelayedRanges(), PublicationAssembler())
    assert (feed.fleet.feed.term, feed.fleet.feed.feed_revision) == (0, 0)
