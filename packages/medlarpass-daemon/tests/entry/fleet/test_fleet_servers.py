from __future__ import annotations

import asyncio

import pytest

from medlarpass import ManualClock
from medlarpass.publication import PublishedPool
from medlarpass.ranges import KeyLoads
from medlarpass.ranges import RangeAssignment
from medlarpass.rpc import fleet_pb2
from medlarpass_daemon.entry.callers import NoOwnerError
from medlarpass_daemon.entry.callers.exceptions import InvalidHeaderError
from medlarpass_daemon.entry.fleet.fleet_routing import FleetRouting
from medlarpass_daemon.entry.fleet.fleet_servers import LEAVING_GRACE_SECONDS
from medlarpass_daemon.entry.fleet.fleet_servers import FleetServers
from medlarpass_daemon.entry.fleet.publication_age import PublicationAge

POOL = PublishedPool("stock", {"owned": True, "connections": 100})
READY = fleet_pb2.SERVER_PHASE_READY
RETIRED = fleet_pb2.SERVER_PHASE_RETIRED
HELD = fleet_pb2.RANGE_PHASE_HELD
MOVING = fleet_pb2.RANGE_PHASE_MOVING


def routing_of() -> FleetRouting:
    """Return the routing of an entry without a publication."""
    return FleetRouting(PublicationAge(ManualClock(), 2.0))


def server(
    identity: str, incarnation: int = 1, phase: fleet_pb2.ServerPhase = READY
) -> fleet_pb2.FleetServer:
    """Return a server of the pool."""
    return fleet_pb2.FleetServer(
        identity=identity,
        life=incarnation,
        pool="stock",
        ip="10.0.0.1",
        port=80,
        slots=3,
        phase=phase,
    )


def held(
    first: int, last: int, identity: str, fence: int, phase: fleet_pb2.RangePhase = HELD
) -> fleet_pb2.FleetRange:
    """Return a range of keys."""
    assignment = RangeAssignment("stock", first, last, identity, 1, fence)
    return fleet_pb2.FleetRange(assignment=assignment.to_proto(), phase=phase)


def update(
    *servers: fleet_pb2.FleetServer, ranges: list[fleet_pb2.FleetRange] | None = None
) -> fleet_pb2.FleetUpdate:
    """Return an update of the leader."""
    message = fleet_pb2.FleetUpdate(servers=servers)
    if ranges is not None:
        message.ranges.ranges.extend(ranges)
    return message


@pytest.fixture
def known() -> FleetServers:
    """Return the view of an entry with two servers that share the keys."""
    fleet_servers = FleetServers(routing_of(), KeyLoads(), ManualClock())
    ranges = [held(0, 99, "a", 1), held(100, 65_535, "b", 2)]
    fleet_servers.apply(update(server("a"), server("b"), ranges=ranges))
    return fleet_servers


@pytest.mark.parametrize(("key", "owner"), [("0", "a"), ("99", "a"), ("100", "b"), ("65535", "b")])
async def test_a_key_goes_to_the_holder_of_its_range(
    known: FleetServers, key: str, owner: str
) -> None:
    """Guards against a request for a key at a range boundary that goes to the adjacent range."""
    assert known.owner_of(POOL, key).identity == owner


@pytest.mark.parametrize("key", ["65536", "-1", "1.5", "x", ""])
async def test_an_invalid_key_is_refused(known: FleetServers, key: str) -> None:
    """Guards against a request that fails without a reason in the response."""
    with pytest.raises(InvalidHeaderError):
        known.owner_of(POOL, key)


async def test_a_moving_range_has_no_owner(known: FleetServers) -> None:
    """Guards against requests to a server that is releasing its keys."""
    target = known.owner_of(POOL, "5")
    known.apply(update(ranges=[held(0, 99, "a", 1, MOVING), held(100, 65_535, "b", 2)]))
    with pytest.raises(NoOwnerError):
        known.owner_of(POOL, "5")
    assert not known.is_current(POOL, "5", target)


async def test_a_new_fence_makes_an_old_target_stale(known: FleetServers) -> None:
    """Guards against a request that waits while its key moves to another server and back."""
    target = known.owner_of(POOL, "5")
    assert known.is_current(POOL, "5", target)
    known.apply(update(ranges=[held(0, 99, "a", 9), held(100, 65_535, "b", 2)]))
    assert not known.is_current(POOL, "5", target)


async def test_a_waiting_request_is_woken_by_a_change(known: FleetServers) -> None:
    """Guards against a request that continues to wait after its key has moved."""
    waiting = asyncio.ensure_future(known.wait_for_change(3600))
    await asyncio.sleep(0)
    known.apply(update(ranges=[held(0, 65_535, "b", 3)]))
    await asyncio.wait_for(waiting, 20)


async def test_a_retired_incarnation_stays_retired(known: FleetServers) -> None:
    """Guards against requests to a leaving server after a change of the leader."""
    known.apply(update(server("a", phase=RETIRED)))
    known.apply(update(server("a")))
    assert [target.identity for target in known.available_servers("stock")] == ["b"]
    known.apply(update(server("a", incarnation=2)))
    assert [target.identity for target in known.available_servers("stock")] == ["a", "b"]


async def test_a_leaving_holder_gets_requests_only_for_a_grace_period(known: FleetServers) -> None:
    """Guards against requests to a leaving server whose keys are not moved."""
    clock = known.clock
    assert isinstance(clock, ManualClock)
    target = known.owner_of(POOL, "5")
    known.apply(update(server("a", phase=RETIRED)))
    assert known.owner_of(POOL, "5").identity == "a"
    clock.advance(LEAVING_GRACE_SECONDS)
    assert not known.is_current(POOL, "5", target)
    with pytest.raises(NoOwnerError):
        known.owner_of(POOL, "5")


async def test_an_older_incarnation_does_not_return(known: FleetServers) -> None:
    """Guards against the address of an earlier incarnation."""
    known.apply(update(server("a", incarnation=3)))
    known.apply(update(server("a", incarnation=2)))
    assert known.servers["a"].life == 3


async def test_keys_of_an_earlier_incarnation_have_no_owner(known: FleetServers) -> None:
    """Guards against requests to a server that restarted and holds nothing."""
    known.apply(update(server("a", incarnation=2)))
    with pytest.raises(NoOwnerError):
        known.owner_of(POOL, "5")


def test_a_view_in_parts_replaces_the_old_one_at_its_end(known: FleetServers) -> None:
    """Guards against servers that are missing while a view arrives, or kept after their removal."""
    first = update(server("c"))
    first.begins_whole = True
    known.apply(first)
    assert set(known.servers) == {"a", "b", "c"}
    assert not known.is_complete
    last = update(server("b"))
    last.ends_whole = True
    known.apply(last)
    assert set(known.servers) == {"b", "c"}
    assert known.is_complete


def cold_view(clock: ManualClock) -> FleetServers:
    """Return the view of an entry whose publication limits cold servers."""
    routing = routing_of()
    document = {"owned": True, "connections": 100, "warmup_rate": 4.0}
    routing.pools = {"stock": PublishedPool("stock", document)}
    fleet_servers = FleetServers(routing, KeyLoads(), clock)
    fleet_servers.apply(update(server("a"), ranges=[held(0, 65_535, "a", 1)]))
    return fleet_servers


def cold_server(cold_ms: int, admitted: int, weight: int = 0) -> fleet_pb2.FleetServer:
    """Return a cold server of the pool."""
    message = server("a")
    message.cold_ms, message.admitted, message.weight = cold_ms, admitted, weight
    return message


async def test_a_cold_time_is_counted_on_the_clock_of_the_entry() -> None:
    """Guards against a cold time that starts again with each message about the server."""
    clock = ManualClock(50.0)
    view = cold_view(clock)
    assert view.owner_of(POOL, "5").cold_until == 0.0
    view.apply(update(cold_server(10_000, 250_000)))
    owner = view.owner_of(POOL, "5")
    assert (owner.cold_until, owner.admitted) == (60.0, 0.25)
    clock.advance(4.0)
    view.apply(update(cold_server(10_000, 200_000, weight=900)))
    owner = view.owner_of(POOL, "5")
    assert (owner.cold_until, owner.admitted) == (60.0, 0.2)
    view.apply(update(cold_server(10_001, 200_000)))
    assert view.owner_of(POOL, "5").cold_until == pytest.approx(64.001)
    assert view.available_servers("stock")[0].cold_until == pytest.approx(64.001)
    view.apply(update(server("a")))
    owner = view.owner_of(POOL, "5")
    assert (owner.cold_until, owner.admitted) == (0.0, None)


async def test_without_a_warmup_rate_no_server_counts_as_cold(known: FleetServers) -> None:
    """Guards against limits in deployments that publish no rate."""
    known.apply(update(cold_server(10_000, 0)))
    assert known.owner_of(POOL, "5").cold_until == 0.0
