from __future__ import annotations

import random

import pytest

from medlarpass.ranges import KEY_COUNT
from medlarpass.ranges import DensityLoads
from medlarpass.ranges import PoolLoads


def add_periods(loads: PoolLoads, rng: random.Random, seconds: float, hot_share: float) -> None:
    """Add 500 requests a second, some of them for 60 neighbouring keys."""
    for _ in range(round(seconds * 2)):
        loads.apply_decay()
        keys = [
            20_000 + rng.randrange(60) if rng.random() < hot_share else rng.randrange(KEY_COUNT)
            for _ in range(250)
        ]
        for key in keys:
            loads.add([key], [1])


def test_an_even_load_is_one_interval() -> None:
    """Guards against random variation that counts as load."""
    loads = PoolLoads()
    add_periods(loads, random.Random(1), 20.0, 0.0)
    assert len(DensityLoads(loads).firsts) <= 3


@pytest.mark.parametrize("seed", range(3))
def test_keys_that_become_hot_count_within_a_second(seed: int) -> None:
    """Guards against hot keys that count only after the 10 s of the long-term load."""
    rng = random.Random(seed)
    loads = PoolLoads()
    add_periods(loads, rng, 20.0, 0.0)
    add_periods(loads, rng, 1.5, 1 / 3)
    density = DensityLoads(loads)
    share = density.load_between(20_000, 20_059) / density.load_between(0, KEY_COUNT - 1)
    assert 0.22 < share < 0.4
    half = density.load_between(20_000, 20_029) / density.load_between(20_000, 20_059)
    assert 0.35 < half < 0.65
    add_periods(loads, rng, 2.0, 0.0)
    density = DensityLoads(loads)
    share = density.load_between(20_000, 20_059) / density.load_between(0, KEY_COUNT - 1)
    assert share < 0.1


def test_without_requests_all_keys_count_alike() -> None:
    """Guards against a division by zero before the first report."""
    density = DensityLoads(PoolLoads())
    half = density.load_between(0, KEY_COUNT // 2 - 1)
    assert density.load_between(0, KEY_COUNT - 1) == pytest.approx(2 * half)
    assert density.longest_prefix_end(0, KEY_COUNT - 1, half) == KEY_COUNT // 2 - 1
