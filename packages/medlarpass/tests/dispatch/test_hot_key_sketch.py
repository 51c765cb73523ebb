"""Guards against hot keys that are missed, kept for ever or counted in unbounded memory."""

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
from medlarpass.dispatch.hot_key_sketch import merge


def sketch(clock: ManualClock, capacity: int = 64) -> HotKeySketch:
    return HotKeySketch(SketchSettings(capacity=capacity, half_life=10.0), clock)


def names(report: HotKeyReport) -> list[str]:
    return [hot.key for hot in report.keys]


@given(st.lists(st.sampled_from("abcdefghijkl"), max_size=300))
def test_count_lies_between_truth_and_truth_plus_error(keys: list[str]) -> None:
    subject = sketch(ManualClock(), capacity=4)
    for key in keys:
        subject.add(key)
    truth = Counter(keys)
    assert len(subject.counters) <= 4
    for key, (count, error) in subject.counters.items():
        assert truth[key] <= count <= truth[key] + error
    least = min((count for count, _ in subject.counters.values()), default=0.0)
    assert all(truth[key] <= least for key in truth if key not in subject.counters)


def test_memory_stays_bounded_with_many_keys_and_a_long_time() -> None:
    clock = ManualClock()
    subject = sketch(clock)
    for n in range(20_000):
        subject.add(f"k{n}")
        subject.add("hot")
        clock.advance(0.1)
    assert len(subject.counters) == 64
    assert len(subject.heap) == 64
    assert names(subject.report(1)) == ["hot"]


def test_rate_approaches_the_truth_and_decays() -> None:
    clock = ManualClock()
    subject = sketch(clock)
    for _ in range(6000):
        subject.add("a")
        clock.advance(0.01)
    assert subject.report(1).keys[0].rate == pytest.approx(100.0, rel=0.05)
    clock.advance(10.0)
    assert subject.report(1).keys[0].rate == pytest.approx(50.0, rel=0.05)


def test_former_hot_keys_give_way_within_a_minute() -> None:
    clock = ManualClock()
    rng = random.Random(1)
    subject = sketch(clock)
    for phase in ("old", "new"):
        for _ in range(6000):
            subject.add(f"{phase}{rng.randrange(5)}")
            subject.add(f"cold{rng.randrange(10_000)}")
            clock.advance(0.01)
    assert sorted(names(subject.report(5))) == [f"new{n}" for n in range(5)]


def test_merge_adds_rates_and_allows_for_unlisted_keys() -> None:
    first = HotKeyReport((HotKey("a", 10.0, 1.0), HotKey("b", 4.0, 0.0)), 4.0)
    second = HotKeyReport((HotKey("b", 9.0, 0.5),), 2.0)
    merged = merge([first, second], 10)
    assert merged.keys == (HotKey("b", 13.0, 0.5), HotKey("a", 12.0, 3.0))
    assert merged.floor == 6.0
    assert merge([first, second], 1).floor == 13.0
    assert merge([], 3) == HotKeyReport((), 0)


def test_key_spread_over_entries_is_found_by_the_merge() -> None:
    rng = random.Random(2)
    sketches = [sketch(ManualClock(), capacity=100) for _ in range(10)]
    for n, subject in enumerate(sketches):
        for _ in range(2000):
            subject.add(f"local{n}.{rng.randrange(200)}")
        for _ in range(100):
            subject.add("spread")
    assert names(merge([each.report(30) for each in sketches], 1)) == ["spread"]
