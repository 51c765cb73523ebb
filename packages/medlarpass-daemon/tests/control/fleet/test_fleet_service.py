"""What entries are told."""

from __future__ import annotations

from typing import Any

from medlarpass.ranges import RangeAssignment
from medlarpass.rpc import control_pb2
from medlarpass.rpc import fleet_pb2
from medlarpass_daemon.control.fleet.fleet_service import FleetService


async def told(world: Any, version: int) -> list[fleet_pb2.FleetUpdate]:
    """Return what a follower tells an entry that has a version in force."""
    world.log.replica.is_leader = False
    world.log.leader_address = lambda: "10.0.0.9:1"
    membership: Any = None
    service = FleetService(world.log, world.fleet, membership)
    request = fleet_pb2.WatchRequest(entry="e", version=version)
    return [update async for update in service.Watch(request, None)]


async def test_a_follower_tells_an_entry_that_knows_nothing(new_world: Any) -> None:
    """Restart in a cut-off domain: guards against an entry that can't serve until the cut heals."""
    world = new_world(2)
    record = world.servers["s0"].notice().to_record()
    await world.log.propose(control_pb2.Command(record_server=record))
    part = RangeAssignment("stock", 0, 99, "s0", 1)
    assigned = control_pb2.AssignRanges(assignments=[part.to_proto()])
    await world.log.propose(control_pb2.Command(assign_ranges=assigned))
    known, moved = await told(world, 0)
    assert known.from_follower
    assert known.publication.version == 1
    assert [server.identity for server in known.servers] == ["s0"]
    assert [each.assignment.identity for each in known.ranges.ranges] == ["s0"]
    assert moved.not_leader.leader_address == "10.0.0.9:1"


async def test_a_follower_does_not_replace_what_an_entry_knows(new_world: Any) -> None:
    """Guards against an older view in the place of that of the leader."""
    (only,) = await told(new_world(2), 1)
    assert only.HasField("not_leader")
