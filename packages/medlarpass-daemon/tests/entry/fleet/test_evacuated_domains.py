"""Requests of an entry to the servers of evacuated failure domains."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from medlarpass import ManualClock
from medlarpass.publication import PublishedPool
from medlarpass.ranges import KeyLoads
from medlarpass.ranges import RangeAssignment
from medlarpass.rpc import fleet_pb2
from medlarpass_daemon.entry.callers.exceptions import ServersEvacuatedError
from medlarpass_daemon.entry.fleet.evacuated_domains import EVACUATION_GRACE_SECONDS
from medlarpass_daemon.entry.fleet.fleet_routing import FleetRouting
from medlarpass_daemon.entry.fleet.fleet_servers import FleetServers
from medlarpass_daemon.entry.fleet.fleet_watcher import FleetWatcher
from medlarpass_daemon.entry.fleet.publication_age import PublicationAge

POOL = PublishedPool("stock", {"owned": True, "connections": 100})
READY = fleet_pb2.SERVER_PHASE_READY
RETIRED = fleet_pb2.SERVER_PHASE_RETIRED
EVACUATED = fleet_pb2.SERVER_PHASE_EVACUATED
#: Interval of the updates in these tests.
UPDATE_SECONDS = 0.25


def server(
    identity: str, phase: fleet_pb2.ServerPhase = READY, incarnation: int = 1
) -> fleet_pb2.FleetServer:
    """Return a server of the pool, whose domain is the first letter of its identity."""
    return fleet_pb2.FleetServer(
        identity=identity,
        life=incarnation,
        pool="stock",
        ip="10.0.0.1",
        port=80,
        slots=3,
        domain=identity[0],
        phase=phase,
    )


def held(first: int, last: int, identity: str, incarnation: int = 1) -> fleet_pb2.FleetRange:
    """Return a range of keys that a server holds."""
    assignment = RangeAssignment("stock", first, last, identity, incarnation, 1)
    return fleet_pb2.FleetRange(assignment=assignment.to_proto(), phase=fleet_pb2.RANGE_PHASE_HELD)


class Entry:
    """The view of an entry, with updates at regular times."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        routing = FleetRouting(PublicationAge(self.clock, 2.0))
        self.servers = FleetServers(routing, KeyLoads(), self.clock)

    def update(self, *servers: fleet_pb2.FleetServer, after: float = UPDATE_SECONDS) -> None:
        """Apply an update of the leader some time after the last one."""
        self.clock.advance(after)
        self.servers.apply(fleet_pb2.FleetUpdate(servers=servers))

    def view(self, *servers: fleet_pb2.FleetServer, after: float = UPDATE_SECONDS) -> None:
        """Apply a whole view in parts, the way a new stream begins."""
        self.clock.advance(after)
        ranges = [held(0, 99, "a1"), held(100, 65_535, "b1")]
        for part in (
            fleet_pb2.FleetUpdate(begins_whole=True),
            fleet_pb2.FleetUpdate(servers=servers),
            fleet_pb2.FleetUpdate(range_changes=ranges, ends_whole=True),
        ):
            self.servers.apply(part)
            self.clock.advance(0.01)

    def available(self) -> list[str]:
        """Return the servers that may get new requests."""
        return [target.identity for target in self.servers.available_servers("stock")]


@pytest.fixture
def entry() -> Entry:
    """Return an entry that follows control and knows two domains."""
    followed = Entry()
    followed.view(server("a1"), server("a2"), server("b1"))
    return followed


def test_an_evacuated_server_gets_no_new_requests_until_it_returns(entry: Entry) -> None:
    """Guards against requests to an evacuated domain, and a domain that never returns."""
    targets = entry.servers.available_servers("stock")
    entry.update(server("a1", EVACUATED), server("a2", EVACUATED))
    assert entry.available() == ["b1"]
    assert [entry.servers.may_send_to(target) for target in targets] == [False, False, True]
    entry.update(server("a1"), server("a2"))
    assert entry.available() == ["a1", "a2", "b1"]
    assert entry.servers.may_send_to(targets[0])


def test_a_pool_without_a_server_elsewhere_is_refused_at_once(entry: Entry) -> None:
    """Guards against requests that wait for a server until their deadline."""
    entry.update(server("a1", EVACUATED), server("a2", EVACUATED), server("b1", RETIRED))
    with pytest.raises(ServersEvacuatedError) as raised:
        entry.available()
    assert (raised.value.http_status, raised.value.retry_after) == (503, 1.0)
    assert entry.servers.available_servers("other") == []


def test_keys_that_have_not_moved_are_served_for_a_limited_time(entry: Entry) -> None:
    """Guards against refused requests while keys move, and requests 5 s after a confirmation."""
    target = entry.servers.owner_of(POOL, "5")
    entry.update(server("a1", EVACUATED))
    assert entry.servers.owner_of(POOL, "5") == target
    # Further messages about the server, for example its weight, do not prolong the time.
    entry.update(server("a1", EVACUATED), after=EVACUATION_GRACE_SECONDS - UPDATE_SECONDS - 0.1)
    assert entry.servers.is_current(POOL, "5", target)
    entry.update(server("a1", EVACUATED), after=0.1)
    assert not entry.servers.is_current(POOL, "5", target)
    with pytest.raises(ServersEvacuatedError):
        entry.servers.owner_of(POOL, "5")
    assert entry.servers.owner_of(POOL, "100").identity == "b1"
    entry.update(server("a1"))
    assert entry.servers.owner_of(POOL, "5") == target


def test_a_server_that_joins_or_restarts_later_gets_no_time_of_its_own(entry: Entry) -> None:
    """Guards against requests to a domain long after its evacuation."""
    entry.update(server("a1", EVACUATED))
    entry.update(server("a1", EVACUATED, incarnation=2), after=EVACUATION_GRACE_SECONDS)
    entry.servers.apply(fleet_pb2.FleetUpdate(range_changes=[held(0, 99, "a1", 2)]))
    with pytest.raises(ServersEvacuatedError):
        entry.servers.owner_of(POOL, "5")


def test_an_entry_that_was_cut_off_sends_nothing_to_the_domain(entry: Entry) -> None:
    """Guards against requests of an entry that learns of an old evacuation on its return."""
    entry.view(server("a1", EVACUATED), server("b1"), after=EVACUATION_GRACE_SECONDS)
    with pytest.raises(ServersEvacuatedError):
        entry.servers.owner_of(POOL, "5")


def test_an_entry_that_starts_during_an_evacuation_sends_nothing_to_the_domain() -> None:
    """Guards against requests of a new entry to a domain that was evacuated before."""
    entry = Entry()
    entry.view(server("a1", EVACUATED), server("b1"))
    with pytest.raises(ServersEvacuatedError):
        entry.servers.owner_of(POOL, "5")
    assert entry.available() == ["b1"]


def test_the_start_and_the_end_of_an_evacuation_are_reported_at_once() -> None:
    """Guards against a confirmation that waits for the next regular report of each entry."""
    settings: Any = SimpleNamespace(name="e", domain="north")
    seeds: Any = SimpleNamespace(addresses=["10.0.0.1:1"])
    unused: Any = None
    watcher = FleetWatcher(settings, seeds, unused, lambda: 0, unused)

    def is_prompt(*servers: fleet_pb2.FleetServer, mark: int = 1, gone: str = "") -> bool:
        watcher.report_due.clear()
        watcher._record_feed_revision(
            fleet_pb2.FleetUpdate(servers=servers, mark=mark, gone=[gone] if gone else [])
        )
        return watcher.report_due.is_set()

    assert not is_prompt(server("a1"))
    assert is_prompt(server("a1", EVACUATED))
    assert not is_prompt(server("a1", EVACUATED))
    # The report is due with the feed revision, which comes with the last part.
    assert not is_prompt(server("a1"), mark=0)
    assert is_prompt()
    assert is_prompt(server("a2", EVACUATED))
    assert not is_prompt(gone="a2")
    assert not is_prompt(server("a2"))
