"""What entries and relays are told."""

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
from medlarpass_daemon.control.fleet.feed_keeper import SILENCE
from medlarpass_daemon.control.fleet.feed_keeper import FeedKeeper
from medlarpass_daemon.control.fleet.fleet_feed import FleetFeed
from medlarpass_daemon.control.fleet.fleet_feed import Told
from medlarpass_daemon.control.fleet.fleet_service import FleetService
from medlarpass_daemon.control.fleet.relayed_ranges import RelayedRanges
from medlarpass_daemon.control.fleet.report_relay import ReportRelay
from medlarpass_daemon.entry.fleet.fleet_routing import FleetRouting
from medlarpass_daemon.entry.fleet.publication_age import PublicationAge
from medlarpass_daemon.exceptions import PublicationGapError
from medlarpass_daemon.publication_parts import PublicationParts

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

ENTRIES = 190
#: Bytes of an update that reaches an entry within 0.2 s on a link of 2 Mbit/s that carries as much
#: again.
MOST_BYTES = 25_000


def routing_of() -> FleetRouting:
    """Return the routing of an entry that knows nothing yet."""
    return FleetRouting(PublicationAge(ManualClock(), 2.0))


def service_of(world: Any) -> FleetService:
    """Return the service of the world's replica."""
    world.log.replica.membership = SimpleNamespace(members=[])
    world.log.leader_address = lambda: "10.0.0.9:1"
    rpc = SimpleNamespace(endpoint=lambda: "10.0.0.1:1")
    settings: Any = SimpleNamespace(name="control", domain="north", rpc=rpc)
    nothing: Any = None
    feed = FeedKeeper(settings, world.log, world.fleet, nothing, world.clock)
    return FleetService(world.log, world.fleet, nothing, feed, ReportRelay(feed, nothing))


def watch(name: str = "e", version: int = 0, is_relay: bool = False) -> fleet_pb2.WatchRequest:
    """Return the request of a watcher."""
    return fleet_pb2.WatchRequest(
        entry=name, domain="north", version=version, is_relay=is_relay, address=f"{name}:1"
    )


async def view_of(stream: AsyncIterator[fleet_pb2.FleetUpdate]) -> list[fleet_pb2.FleetUpdate]:
    """Return the parts of the whole view at the beginning of a stream."""
    parts = [await anext(stream)]
    while not parts[-1].ends_whole:
        parts.append(await anext(stream))
    return parts


async def told(world: Any, version: int) -> list[fleet_pb2.FleetUpdate]:
    """Return what a follower without a leader tells an entry that has a version in force."""
    world.log.replica.is_leader = False
    service = service_of(world)
    return [update async for update in service.Watch(watch(version=version), None)]


async def test_a_follower_tells_an_entry_that_knows_nothing(new_world: Any) -> None:
    """Restart in a cut-off domain: guards against an entry that can't serve until the cut heals."""
    world = new_world(2)
    record = world.servers["s0"].notice().to_record()
    await world.log.propose(control_pb2.Command(record_server=record))
    part = RangeAssignment("stock", 0, 99, "s0", 1)
    assigned = control_pb2.AssignRanges(assignments=[part.to_proto()])
    await world.log.propose(control_pb2.Command(assign_ranges=assigned))
    *parts, moved = await told(world, 0)
    assert all(part.from_follower for part in parts)
    assert parts[0].publication.version == 1
    assert parts[0].begins_whole
    assert parts[-1].ends_whole
    assert [server.identity for part in parts for server in part.servers] == ["s0"]
    ranges = [each for part in parts for each in part.range_changes]
    assert [each.assignment.identity for each in ranges] == ["s0"]
    assert moved.not_leader.leader_address == "10.0.0.9:1"


async def test_a_follower_does_not_replace_what_an_entry_knows(new_world: Any) -> None:
    """Guards against an older view in the place of that of the leader."""
    (only,) = await told(new_world(2), 1)
    assert only.HasField("not_leader")


async def test_a_relay_tells_entries_what_the_leader_says(new_world: Any) -> None:
    """Guards against a view that loses something on its way through a relay."""
    world = new_world(4)
    await world.run(2.0)
    leader = service_of(world)
    leader.feed.refresh()
    upstream = leader.Watch(watch("relay", is_relay=True), None)
    first = await anext(upstream)
    other = new_world(1)
    relay = service_of(other)
    other.log.replica.is_leader = False
    relay.feed._take(first, RelayedRanges(), PublicationParts())
    downstream = relay.Watch(watch(), None)
    passed = await view_of(downstream)
    assert {each.identity for part in passed for each in part.servers} == set(world.servers)
    ranges = [each for part in passed for each in part.range_changes]
    assert ranges == list(first.ranges.ranges)
    assert passed[0].publication == first.publication
    assert all(part.term == first.term for part in passed)
    await upstream.aclose()
    await downstream.aclose()


async def test_a_relay_that_no_longer_hears_the_leader_stops_to_serve(new_world: Any) -> None:
    """Guards against entries that stay with a replica whose view grows old."""
    world = new_world(1)
    relay = service_of(world)
    world.log.replica.is_leader = False
    relay.feed._take(
        fleet_pb2.FleetUpdate(term=1, is_whole=True), RelayedRanges(), PublicationParts()
    )
    stream = relay.Watch(watch(version=1), None)
    assert not (await view_of(stream))[-1].HasField("not_leader")
    world.clock.advance(SILENCE * 1.01)
    assert (await anext(stream)).not_leader.leader_address == "10.0.0.9:1"


async def test_a_whole_view_comes_in_small_parts(new_world: Any) -> None:
    """Thousands of servers: guards against a view that takes longer than an entry waits.

    With 3,000 servers the first message took 1.5 s on a link of 2 Mbit/s, entries gave the stream
    up after 0.6 s and began anew at the next replica without end.
    """
    feed = FleetFeed()
    feed.take_servers(
        fleet_pb2.FleetServer(identity=f"i-{number:010x}", life=1, pool="stock", ip="10.0.0.1")
        for number in range(3000)
    )
    feed.take_ranges(
        fleet_pb2.FleetRange(
            assignment=control_pb2.RangeAssignment(
                pool="stock", first=20 * number, last=20 * number + 19, identity="i", life=1
            )
        )
        for number in range(3000)
    )
    parts = feed.parts_for(Told(0))
    assert max(part.ByteSize() for part in parts) < 32_000
    assert sum(len(part.servers) for part in parts) == 3000
    assert sum(len(part.range_changes) for part in parts) == 3000
    assert [part.begins_whole for part in parts].count(True) == 1
    assert [part.ends_whole for part in parts].count(True) == 1


async def test_only_the_leader_answers_a_relay(new_world: Any) -> None:
    """Guards against relays that follow each other and keep a lost leader's word alive."""
    world = new_world(1)
    relay = service_of(world)
    world.log.replica.is_leader = False
    relay.feed._take(
        fleet_pb2.FleetUpdate(term=1, is_whole=True), RelayedRanges(), PublicationParts()
    )
    (only,) = [update async for update in relay.Watch(watch("r", is_relay=True), None)]
    assert only.HasField("not_leader")


async def test_one_update_serves_all_entries(
    new_world: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Fan-out to hundreds of entries: guards against work that grows with entries x servers."""
    world = new_world(4)
    await world.run(2.0)
    service = service_of(world)
    service.feed.refresh()
    built = []
    build = FleetFeed._head
    monkeypatch.setattr(FleetFeed, "_head", lambda *a: built.append(1) or build(*a))
    streams = [service.Watch(watch(f"e{number}"), None) for number in range(ENTRIES)]
    await asyncio.gather(*(view_of(stream) for stream in streams))
    assert len(built) == 1
    world.fleet.directory.retire("s1", 1)
    world.fleet.servers_changed()
    service.feed.refresh()
    updates = await asyncio.gather(*(anext(stream) for stream in streams))
    assert len(built) == 2
    assert all([each.identity for each in update.servers] == ["s1"] for update in updates)
    for stream in streams:
        await stream.aclose()


async def test_a_change_costs_the_changed_servers_only(new_world: Any) -> None:
    """Guards against whole views on thin links when one of hundreds of servers leaves."""
    feed = FleetFeed()
    servers = {str(n): fleet_pb2.FleetServer(identity=str(n), life=1) for n in range(331)}
    feed.take_servers(servers.values())
    entry = Told(0)
    assert len(feed.update_for(entry).servers) == 331
    del servers["7"]
    servers["9"] = fleet_pb2.FleetServer(identity="9", life=2)
    feed.take_servers(servers.values())
    update = feed.update_for(entry)
    assert (update.is_whole, list(update.gone)) == (False, ["7"])
    assert [(each.identity, each.life) for each in update.servers] == [("9", 2)]


async def test_reports_behind_a_relay_arrive_as_one(new_world: Any) -> None:
    """Guards against loads that the leader does not hear of, or counts twice."""
    world = new_world(1)
    relay = service_of(world)
    world.log.replica.is_leader = False
    relay.feed._take(
        fleet_pb2.FleetUpdate(term=1, is_whole=True), RelayedRanges(), PublicationParts()
    )
    load = fleet_pb2.RangeLoad(pool="stock", keys=[5, 9], requests=[2, 1])
    time = fleet_pb2.ServerTime(identity="s0", answers=3, milliseconds=600)
    for _ in range(2):
        await relay.Report(fleet_pb2.EntryReport(entry="e", loads=[load], times=[time]), None)
    summed = relay.reports._report()
    assert [(list(each.keys), list(each.requests)) for each in summed.loads] == [([5, 9], [4, 2])]
    assert [(each.answers, each.milliseconds) for each in summed.times] == [(6, 1200)]
    assert not relay.reports._report().loads


async def test_a_server_that_left_under_another_leader_is_not_told(new_world: Any) -> None:
    """Guards against a server that left and is in use again after a change of the leader.

    This replica led before and still knows the server from that time.
    """
    world = new_world(2)
    await world.run(1.0)
    for server in world.servers.values():
        record = server.notice().to_record()
        await world.log.propose(control_pb2.Command(record_server=record))
    left = control_pb2.RetireServer(identity="s1", life=1)
    await world.log.propose(control_pb2.Command(retire_server=left))
    service = service_of(world)
    world.keeper.begin()
    service.feed.refresh()
    stream = service.Watch(watch(), None)
    parts = await view_of(stream)
    assert [each.identity for part in parts for each in part.servers] == ["s0"]
    await stream.aclose()


def large(version: int, count: int, timeout: float = 1.0) -> dict[str, Any]:
    """Return the document of a publication with many routes that hardly compress.

    :param timeout: time-out of the first route
    """
    names = random.Random(7)
    routes = [
        {
            "name": f"{names.getrandbits(64):x}",
            "host": f"{names.getrandbits(48):x}.example",
            "prefix": f"/{names.getrandbits(64):x}/",
            "class": "download",
            "timeout": timeout if not number else 1.0,
            "target": 0.4,
            "priority": 2,
            "attempts": 2,
            "shares": [{"pool": "art", "weight": 1}],
        }
        for number in range(count)
    ]
    return {
        "version": version,
        "key_header": "Key",
        "routes": routes,
        "pools": [{"name": "art", "owned": False, "connections": 10}],
        "limits": {},
    }


def publish(feed: FleetFeed, entry: FleetRouting, told: Told) -> list[int]:
    """Bring an entry up to date and return the sizes of the updates."""
    parts = PublicationParts()
    sizes = []
    while entry.revision < feed.publication_version:
        update = feed.update_for(told)
        assert update.HasField("publication")
        assert told.has_more or entry.revision < update.publication.version
        entry.take(update.publication, parts)
        sizes.append(update.ByteSize())
    assert not told.has_more
    return sizes


async def test_a_large_publication_comes_in_small_parts() -> None:
    """Guards against a publication that never arrives on a thin link.

    It was one message. Entries gave it up after 0.6 s and asked the next replica for it.
    """
    feed, entry, told = FleetFeed(), routing_of(), Told(0)
    document = large(3, 3500)
    feed.take_publication(document)
    sizes = publish(feed, entry, told)
    assert len(sizes) > 3
    assert max(sizes) < MOST_BYTES
    assert entry.publication is not None
    assert entry.publication.document == document
    view = routing_of()
    parts = PublicationParts()
    for part in feed.parts_for(Told(0)):
        assert part.ByteSize() < MOST_BYTES
        if part.HasField("publication"):
            view.take(part.publication, parts)
    assert view.revision == 3


async def test_a_small_change_of_a_large_publication_is_small() -> None:
    """Guards against thousands of routes on each entry's link behind the change of one time-out."""
    feed, entry, told = FleetFeed(), routing_of(), Told(0)
    feed.take_publication(large(3, 3500))
    publish(feed, entry, told)
    for version in range(4, 40):
        feed.take_publication(large(version, 3500, timeout=float(version)))
        assert publish(feed, entry, told) < [1000]
    assert entry.publication is not None
    assert entry.publication.document == large(39, 3500, timeout=39.0)


async def test_a_publication_that_is_overtaken_on_its_way_arrives() -> None:
    """Storm of versions: guards against a large one that begins anew with each later one."""
    feed, entry, told = FleetFeed(), routing_of(), Told(0)
    feed.take_publication(large(3, 3500))
    parts = PublicationParts()
    for version in range(4, 60):
        update = feed.update_for(told)
        entry.take(update.publication, parts)
        feed.take_publication(large(version, 3500, timeout=float(version)))
    assert entry.revision >= 50
    publish(feed, entry, told)
    assert entry.publication is not None
    assert entry.publication.document == large(59, 3500, timeout=59.0)


async def test_a_watcher_with_an_unknown_version_gets_all_routes() -> None:
    """New leader: guards against a change of routes that an entry does not hold."""
    feed, entry = FleetFeed(), routing_of()
    feed.take_publication(large(9, 30))
    publish(feed, entry, Told(0))
    other = FleetFeed()
    other.take_publication(large(12, 40))
    publish(other, entry, Told(entry.revision))
    assert entry.publication is not None
    assert entry.publication.document == large(12, 40)


async def test_a_relay_passes_a_changed_publication_on(new_world: Any) -> None:
    """Guards against a relay that loses a route when it is told changes only."""
    leader, relay = FleetFeed(), service_of(new_world(1))
    ranges, parts, told = RelayedRanges(), PublicationParts(), Told(0)
    entry, entry_told = routing_of(), Told(0)
    feed = relay.fleet.feed
    for version in (3, 4, 5):
        leader.take_publication(large(version, 700 * version, timeout=float(version)))
        while feed.publication_version < version:
            relay.feed._take(leader.update_for(told), ranges, parts)
        publish(feed, entry, entry_told)
    assert entry.publication is not None
    assert entry.publication.document == large(5, 3500, timeout=5.0)


async def test_only_a_leader_that_is_sure_names_the_newest_publication(new_world: Any) -> None:
    """Guards against a deposed leader that vouches for a version that is not the newest."""
    world = new_world(1)
    service = service_of(world)
    report = fleet_pb2.EntryReport(entry="e")
    answer = await service.Report(report, None)
    assert (answer.publication_version, answer.age_ms) == (1, 0)
    world.keeper.lease.until = 0.0
    assert not (await service.Report(report, None)).publication_version


async def test_a_relay_is_as_sure_as_when_it_asked_the_leader(new_world: Any) -> None:
    """Guards against a relay whose answers hide how long it has not heard the leader."""
    world = new_world(1)
    relay = service_of(world)
    world.log.replica.is_leader = False
    relay.feed._take(
        fleet_pb2.FleetUpdate(term=1, is_whole=True), RelayedRanges(), PublicationParts()
    )
    report = fleet_pb2.EntryReport(entry="e")
    assert not (await relay.Report(report, None)).publication_version
    asked_at = world.clock.now()
    world.clock.advance(0.1)
    told = fleet_pb2.EntryReportResponse(publication_version=7, age_ms=50)
    relay.feed.newest.heard(told, asked_at)
    world.clock.advance(0.1)
    answer = await relay.Report(report, None)
    assert answer.publication_version == 7
    assert 250 <= answer.age_ms <= 252
    world.clock.advance(90 * 24 * 3600)
    assert not (await relay.Report(report, None)).publication_version


async def test_a_relay_does_not_vouch_for_a_publication_that_does_not_fit(new_world: Any) -> None:
    """Guards against a confirmation that counts a relay without the publication as following."""
    feed = service_of(new_world(1)).feed
    update = fleet_pb2.FleetUpdate(
        term=3, mark=9, publication=fleet_pb2.PackedPublication(version=7, base=6, parts=1)
    )
    with pytest.raises(PublicationGapError):
        feed._take(update, RelayedRanges(), PublicationParts())
    assert (feed.fleet.feed.term, feed.fleet.feed.mark) == (0, 0)
