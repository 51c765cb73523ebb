"""Disjoint intervals of keys."""

from __future__ import annotations

from bisect import bisect_left
from bisect import bisect_right
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


class KeyIntervals:
    """Disjoint intervals of keys, sorted, so that a look-up does not visit all of them.

    :param intervals: first and last keys of disjoint intervals, in any order
    """

    __slots__ = ("firsts", "lasts")

    def __init__(self, intervals: Iterable[tuple[int, int]] = ()) -> None:
        ordered = sorted(intervals)
        self.firsts = [first for first, _ in ordered]
        self.lasts = [last for _, last in ordered]

    @classmethod
    def merged(cls, intervals: Iterable[tuple[int, int]]) -> KeyIntervals:
        """Return the union of intervals that may touch each other."""
        result = cls()
        for first, last in sorted(intervals):
            if result.lasts and first <= result.lasts[-1] + 1:
                result.lasts[-1] = max(result.lasts[-1], last)
            else:
                result.firsts.append(first)
                result.lasts.append(last)
        return result

    def all(self) -> list[tuple[int, int]]:
        """Return the first and last keys of all intervals, in ascending order."""
        return list(zip(self.firsts, self.lasts, strict=True))

    def add(self, first: int, last: int) -> None:
        """Add an interval that overlaps no other."""
        index = bisect_left(self.firsts, first)
        self.firsts.insert(index, first)
        self.lasts.insert(index, last)

    def discard(self, first: int, last: int) -> None:
        """Remove an interval if it is present with these bounds."""
        index = bisect_left(self.firsts, first)
        if index < len(self.firsts) and (self.firsts[index], self.lasts[index]) == (first, last):
            del self.firsts[index], self.lasts[index]

    def overlapping(self, first: int, last: int) -> list[tuple[int, int]]:
        """Return the intervals that contain any key from ``first`` to ``last``."""
        begin, end = bisect_left(self.lasts, first), bisect_right(self.firsts, last)
        return list(zip(self.firsts[begin:end], self.lasts[begin:end], strict=True))

    def overlaps(self, first: int, last: int) -> bool:
        """Return whether an interval contains any key from ``first`` to ``last``."""
        return bisect_left(self.lasts, first) < bisect_right(self.firsts, last)

    def covers(self, first: int, last: int) -> bool:
        """Return whether one interval contains all keys from ``first`` to ``last``."""
        index = bisect_left(self.lasts, last)
        return index < len(self.firsts) and self.firsts[index] <= first
