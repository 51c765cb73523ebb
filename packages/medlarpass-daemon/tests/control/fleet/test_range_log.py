"""Changes of ranges that entries receive."""

from __future__ import annotations

import random

from typing import Any

from medlarpass.ranges import KEY_COUNT
from medlarpass.ranges import PoolRanges
from medlarpass.ranges import RangeAssignment
from medlarpass.ranges import RangeTable
from medlarpass.rpc import control_pb2
from medlarpass.rpc import fleet_pb2
from medlarpass_daemon.control.fleet.range_log import MAX_CHANGE_COUNT
from medlarpass_daemon.control.fleet.range_log import RangeLog


def ranges_of(table: RangeTable) -> list[Any]:
    """Return the ranges of a table as sent to entries."""
    held = fleet_pb2.RANGE_PHASE_HELD
    return [
        fleet_pb2.FleetRange(assignment=assignment.to_proto(), phase=held)
        for assignment in table.all()
    ]


def test_changes_lead_to_the_same_ranges_as_a_whole_view() -> None:
    """Guards against an entry that has outdated ranges after changes since any version."""
    rng = random.Random(5)
    table, log = RangeTable(), RangeLog()
    entries = [PoolRanges() for _ in range(4)]
    versions = [0] * len(entries)
    for step in range(300):
        first = rng.randrange(KEY_COUNT) if step else 0
        last = min(first + rng.randrange(9000), KEY_COUNT - 1) if step else KEY_COUNT - 1
        part = RangeAssignment("p", first, last, f"s{step}", 1)
        table.assign(control_pb2.AssignRanges(assignments=[part.to_proto()]))
        log.update(ranges_of(table))
        for number, entry in enumerate(entries):
            if rng.random() < 1 / (number + 1):
                for change in log.since(versions[number]) or []:
                    entry.put(change)
                versions[number] = log.version
                assert entry.ranges == list(log.items.values())


def test_one_move_is_sent_as_one_change() -> None:
    """Guards against sending all ranges of a large pool over a slow link for each move."""
    table, log = RangeTable(), RangeLog()
    for number in range(250):
        part = RangeAssignment("p", number * 100, number * 100 + 99, f"s{number}", 1)
        table.assign(control_pb2.AssignRanges(assignments=[part.to_proto()]))
    log.update(ranges_of(table))
    previous = log.version
    moved = RangeAssignment("p", 500, 520, "s9", 1)
    table.assign(control_pb2.AssignRanges(assignments=[moved.to_proto()]))
    log.update(ranges_of(table))
    changes = log.since(previous)
    assert changes is not None
    assert sorted(change.assignment.first for change in changes) == [500, 521]


def test_an_entry_with_an_old_version_gets_all_ranges() -> None:
    """Guards against changes that are never sent because they are no longer kept."""
    table, log = RangeTable(), RangeLog()
    for number in range(MAX_CHANGE_COUNT + 5):
        part = RangeAssignment("p", number, number, "s", 1)
        table.assign(control_pb2.AssignRanges(assignments=[part.to_proto()]))
        log.update(ranges_of(table))
    assert log.since(0) is None
    assert log.since(log.version + 1) is None
    assert log.since(log.version) == []
