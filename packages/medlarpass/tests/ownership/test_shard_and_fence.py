"""Guards against keys whose shard differs between processes, and fences out of order."""

from __future__ import annotations

import pytest

from medlarpass.ownership import Assignment
from medlarpass.ownership import Fence
from medlarpass.ownership import shard_of
from medlarpass.ownership.exceptions import FenceRangeError

EXPECTED_SHARDS = [23, 25, 1, 9]


def test_shards_are_the_same_in_every_process() -> None:
    assert [shard_of("stock", f"roll-{number}", 64) for number in range(4)] == EXPECTED_SHARDS


def test_pool_and_key_are_separated() -> None:
    """Without separator these two would always share a shard."""
    assert shard_of("stock", "roll", 2**62) != shard_of("stockr", "oll", 2**62)


def test_a_key_that_is_not_valid_utf8_has_a_shard() -> None:
    assert 0 <= shard_of("stock", "\udcff", 64) < 64


def test_fences_sort_by_epoch_first() -> None:
    fences = [Fence(2, 1), Fence(1, 2**32 - 1), Fence(1, 1), Fence(2, 0)]
    assert sorted(fences) == sorted(fences, key=Fence.to_int)
    assert [Fence.from_int(fence.to_int()) for fence in fences] == fences


@pytest.mark.parametrize("parts", [(2**32, 0), (0, 2**32), (-1, 0), (0, -1)])
def test_a_part_that_overflows_is_refused(parts: tuple[int, int]) -> None:
    """An overflowing sequence would look like a new epoch."""
    with pytest.raises(FenceRangeError):
        Fence(*parts)


def test_next_fence_is_higher_in_the_same_and_a_new_epoch() -> None:
    assert Fence(3, 9) < Fence(3, 9).next_in(3) < Fence(3, 9).next_in(4)


def test_an_empty_key_is_the_shard_itself() -> None:
    assert Assignment("stock", 1, "") == Assignment("stock", 1)
