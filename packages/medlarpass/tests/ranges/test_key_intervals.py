from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from medlarpass.ranges import KeyIntervals

KEYS = st.integers(0, 40)
INTERVALS = st.lists(st.tuples(KEYS, KEYS).map(lambda drawn: (min(drawn), max(drawn))), max_size=8)


def keys_of(intervals: list[tuple[int, int]]) -> set[int]:
    """Return all keys of intervals."""
    return {key for first, last in intervals for key in range(first, last + 1)}


@given(INTERVALS, KEYS, KEYS)
def test_look_ups_agree_with_the_keys(
    given_intervals: list[tuple[int, int]], one: int, other: int
) -> None:
    """Guards against keys that count as free or as moving by a wrong look-up."""
    first, last = min(one, other), max(one, other)
    intervals = KeyIntervals.merged(given_intervals)
    expected = keys_of(given_intervals)
    asked = set(range(first, last + 1))
    assert keys_of(intervals.all()) == expected
    assert intervals.overlaps(first, last) == bool(asked & expected)
    assert intervals.covers(first, last) == (asked <= expected)
    assert asked & keys_of(intervals.overlapping(first, last)) == asked & expected


@given(INTERVALS)
def test_removed_intervals_leave_the_others(given_intervals: list[tuple[int, int]]) -> None:
    """Guards against keys that stay marked as moving after their move."""
    intervals = KeyIntervals()
    added = []
    for first, last in given_intervals:
        if not intervals.overlaps(first, last):
            intervals.add(first, last)
            added.append((first, last))
    assert intervals.all() == sorted(added)
    for first, last in added[::2]:
        intervals.discard(first, last)
    assert intervals.all() == sorted(added[1::2])
    intervals.discard(41, 42)
    assert intervals.all() == sorted(added[1::2])
