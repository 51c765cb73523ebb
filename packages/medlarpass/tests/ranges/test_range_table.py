from __future__ import annotations

from itertools import pairwise

from hypothesis import given
from hypothesis import strategies as st

from medlarpass.ranges import KEY_COUNT
from medlarpass.ranges import RangeAssignment
from medlarpass.ranges import RangeTable
from medlarpass.rpc import control_pb2

KEYS = st.integers(0, KEY_COUNT - 1)
ASSIGNMENTS = st.lists(
    st.tuples(KEYS, KEYS, st.sampled_from(["a", "b", "c"])).map(
        lambda each: RangeAssignment("p", min(each[:2]), max(each[:2]), each[2], 1)
    ),
    max_size=12,
)


def assign(table: RangeTable, *assignments: RangeAssignment) -> None:
    """Apply one command with assignments."""
    messages = [each.to_proto() for each in assignments]
    table.assign(control_pb2.AssignRanges(assignments=messages))


@given(ASSIGNMENTS)
def test_ranges_never_overlap_and_the_newest_wins(given_ranges: list[RangeAssignment]) -> None:
    """Guards against a key with two holders, or one whose fence does not grow."""
    table = RangeTable()
    expected: dict[int, tuple[str, int]] = {}
    for number, each in enumerate(given_ranges, start=1):
        assign(table, each)
        for key in (each.first, (each.first + each.last) // 2, each.last):
            expected[key] = (each.identity, number)
        for key in expected:
            if each.first <= key <= each.last:
                expected[key] = (each.identity, number)
    held = table.pools.get("p", [])
    assert all(one.last < two.first for one, two in pairwise(held))
    for key, holder in expected.items():
        (found,) = [each for each in held if each.first <= key <= each.last]
        assert (found.identity, found.fence) == holder


@given(ASSIGNMENTS)
def test_a_snapshot_keeps_the_table(given_ranges: list[RangeAssignment]) -> None:
    """Guards against fences that begin anew after a restart."""
    table = RangeTable()
    assign(table, *given_ranges)
    table.retire(control_pb2.RetireServer(identity="a", life=7))
    restored = RangeTable.from_snapshot(table.snapshot())
    assert restored.pools == table.pools
    assert restored.last_fence == table.last_fence
    assert restored.is_retired("a", 7)
    assert not restored.is_retired("a", 8)


def test_an_older_life_does_not_undo_a_retirement() -> None:
    """Guards against a late call of an earlier life that brings a leaving server back."""
    table = RangeTable()
    table.retire(control_pb2.RetireServer(identity="a", life=9))
    table.retire(control_pb2.RetireServer(identity="a", life=3))
    assert table.is_retired("a", 9)
