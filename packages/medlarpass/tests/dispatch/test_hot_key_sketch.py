"""Guards against hot keys that are missed or never expire, and against unbounded memory."""

from __future__ import annotations

import random

from collections import Counter

import pytest

from hypothesis import given
from hypothesis import strategies as st

from medlarpass import ManualClock
from medlarpass.dispatch import HotKey
from medlarpass.dispatch import HotKeyReport
from medlarpass.dispatch import HotKeySketch
from medlarpass.dispatch import SketchSettings
from medlarpass.dispatch.hot_key_sketch import merge_reports


def make_sketch(clock: ManualClock, capacity: int = 64) -> HotKeySketch:
    return HotKeySketch(SketchSettings(capacity=capacity, half_life=10.0), clock)


def keys_of(report: HotKeyReport) -> list[str]:
    return [hot_key.key for hot_key in report.keys]


@given(st.lists(st.sampled_from("abcdefghijkl"), max_size=300))
def test_count_is_overestimated_by_the_error_at_most(keys: list[str]) -> None:
    sketch = make_sketch(ManualClock(), capacity=4)
    for key in keys:
        sketch.add(key)
    true_counts = Counter(keys)
    assert len(sketch.counters) <= 4
    for key, (count, error) in sketch.counters.items():
        assert true_counts[key] <= count <= true_counts[key] + error
    smallest_count = min((count for count, _ in sketch.counters.values()), default=0.0)
    assert all(
        true_counts[key] <= smallest_count for key in true_counts if key not in sketch.counters
    )


def test_memory_stays_bounded_with_many_keys_and_a_long_time() -> None:
    clock = ManualClock()
    sketch = make_sketch(clock)
    for n in range(20_000):
        sketch.add(f"k{n}")
        sketch.add("hot")
        clock.advance(0.1)
    assert len(sketch.counters) == 64
    assert len(sketch.heap) == 64
    assert keys_of(sketch.report(1)) == ["hot"]


def test_rate_converges_to_the_true_rate_and_decays() -> None:
    clock = ManualClock()
    sketch = make_sketch(clock)
    for _ in range(6000):
        sketch.add("a")
        clock.advance(0.01)
    assert sketch.report(1).keys[0].rate == pytest.approx(100.0, rel=0.05)
    clock.advance(10.0)
    assert sketch.report(1).keys[0].rate == pytest.approx(50.0, rel=0.05)


def test_new_hot_keys_replace_former_ones_within_a_minute() -> None:
    clock = ManualClock()
    rng = random.Random(1)
    sketch = make_sketch(clock)
    for phase in ("old", "new"):
        for _ in range(6000):
            sketch.add(f"{phase}{rng.randrange(5)}")
            sketch.add(f"cold{rng.randrange(10_000)}")
            clock.advance(0.01)
    assert sorted(keys_of(sketch.report(5))) == [f"new{n}" for n in range(5)]


def test_merge_adds_rates_and_allows_for_unlisted_keys() -> None:
    first = HotKeyReport((HotKey("a", 10.0, 1.0), HotKey("b", 4.0, 0.0)), 4.0)
    second = HotKeyReport((HotKey("b", 9.0, 0.5),), 2.0)
    merged = merge_reports([first, second], 10)
    assert merged.keys == (HotKey("b", 13.0, 0.5), HotKey("a", 12.0, 3.0))
    assert merged.unlisted_rate_bound == 6.0
    assert merge_reports([first, second], 1).unlisted_rate_bound == 13.0
    assert merge_reports([], 3) == HotKeyReport((), 0)


def test_key_spread_over_entries_is_found_by_the_merge() -> None:
    rng = random.Random(2)
    sketches = [make_sketch(ManualClock(), capacity=100) for _ in range(10)]
    for n, sketch in enumerate(sketches):
        for _ in range(2000):
            sketch.add(f"local{n}.{rng.randrange(200)}")
        for _ in range(100):
            sketch.add("spread")
    assert keys_of(merge_reports([sketch.report(30) for sketch in sketches], 1)) == ["spread"]
