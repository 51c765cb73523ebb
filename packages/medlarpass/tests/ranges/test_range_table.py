from __future__ import annotations

from itertools import pairwise
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from medlarpass.ranges import KEY_COUNT
from medlarpass.ranges import RangeAssignment
from medlarpass.ranges import RangeTable
from medlarpass.rpc import control_pb2

KEYS = st.integers(0, KEY_COUNT - 1)
ASSIGNMENTS = st.lists(
    st.tuples(KEYS, KEYS, st.sampled_from(["a", "b", "c"])).map(
        lambda drawn: RangeAssignment("p", min(drawn[:2]), max(drawn[:2]), drawn[2], 1)
    ),
    max_size=12,
)


def assign(table: RangeTable, *assignments: RangeAssignment) -> None:
    """Apply a command with these assignments."""
    messages = [assignment.to_proto() for assignment in assignments]
    table.assign(control_pb2.AssignRanges(assignments=messages))


@given(ASSIGNMENTS)
def test_ranges_never_overlap_and_the_newest_wins(given_ranges: list[RangeAssignment]) -> None:
    """Guards against a key with two owners or with a fence that does not increase."""
    table = RangeTable()
    expected: dict[int, tuple[str, int]] = {}
    for fence, new in enumerate(given_ranges, start=1):
        assign(table, new)
        for key in (new.first, (new.first + new.last) // 2, new.last):
            expected[key] = (new.identity, fence)
        for key in expected:
            if new.first <= key <= new.last:
                expected[key] = (new.identity, fence)
    assigned = table.pools.get("p", [])
    assert all(one.last < two.first for one, two in pairwise(assigned))
    for key, owner in expected.items():
        (found,) = [part for part in assigned if part.first <= key <= part.last]
        assert (found.identity, found.fence) == owner


@given(ASSIGNMENTS)
def test_a_snapshot_keeps_the_table(given_ranges: list[RangeAssignment]) -> None:
    """Guards against fences that restart from 0 after a process restart."""
    table = RangeTable()
    assign(table, *given_ranges)
    table.retire(control_pb2.RetireServer(identity="a", life=7))
    restored = RangeTable.from_snapshot(table.snapshot())
    assert restored.pools == table.pools
    assert restored.last_fence == table.last_fence
    assert restored.is_retired("a", 7)
    assert not restored.is_retired("a", 8)


def test_an_older_incarnation_does_not_undo_a_retirement() -> None:
    """Guards against a late call of an earlier incarnation that reverts a retirement."""
    table = RangeTable()
    table.retire(control_pb2.RetireServer(identity="a", life=9))
    table.retire(control_pb2.RetireServer(identity="a", life=3))
    assert table.is_retired("a", 9)


def test_the_work_of_an_assignment_does_not_grow_with_all_ranges(monkeypatch: Any) -> None:
    """Guards against control replicas that all stand still while they apply one command.

    Each new range visited all others, so that 600 ranges that a server loss had freed took longer
    than an election timeout on small VMs.
    """
    visits = 0
    without = RangeAssignment.without

    def counted(self: RangeAssignment, first: int, last: int) -> Any:
        nonlocal visits
        visits += 1
        return without(self, first, last)

    monkeypatch.setattr(RangeAssignment, "without", counted)
    table = RangeTable()
    ranges = [RangeAssignment("p", key, key + 99, "a", 1) for key in range(0, 60_000, 100)]
    assign(table, *ranges)
    assign(table, *(part.with_bounds(part.first + 50, part.last) for part in ranges))
    assert len(table.pools["p"]) == 1200
    assert visits <= 2 * len(ranges)


def test_readers_keep_the_ranges_from_before_an_assignment() -> None:
    """Guards against a list that changes while a reader waits."""
    table = RangeTable()
    assign(table, RangeAssignment("p", 0, 99, "a", 1))
    before = table.pools["p"]
    assign(table, RangeAssignment("p", 50, 99, "b", 1))
    assert [(part.first, part.last) for part in before] == [(0, 99)]
