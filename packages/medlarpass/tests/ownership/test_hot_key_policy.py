"""Guards against load imbalance by hot keys, and against keys that move back and forth."""

from __future__ import annotations

import pytest

from medlarpass import ManualClock
from medlarpass.ownership.hot_key_policy import HotKeyPolicy
from medlarpass.ownership.hot_key_policy import HotKeySettings

SETTINGS = HotKeySettings(
    isolate_ratio=0.1, merge_ratio=0.04, cooldown_seconds=30.0, max_isolated_keys=2
)


@pytest.mark.parametrize(
    ("rates", "isolated", "isolate"),
    [
        ({}, (), ()),
        ({"a": 10.0}, (), ()),
        ({"a": 11.0}, (), ("a",)),
        ({"a": 11.0, "b": 12.0}, (), ("b", "a")),
        ({"a": 11.0, "b": 12.0, "c": 13.0}, (), ("c", "b")),
        ({"a": 11.0, "b": 12.0}, ("a",), ("b",)),
        ({"a": 11.0, "b": 12.0, "c": 13.0}, ("a", "b"), ()),
    ],
)
def test_hottest_keys_are_isolated_up_to_the_limit(
    rates: dict[str, float], isolated: tuple[str, ...], isolate: tuple[str, ...]
) -> None:
    policy = HotKeyPolicy(SETTINGS, ManualClock())
    assert policy.plan(rates, isolated, mean_load=100.0).isolate == isolate


def test_no_key_is_isolated_in_a_quiet_pool() -> None:
    """Without any load every rate exceeds any fraction of it."""
    policy = HotKeyPolicy(HotKeySettings(min_rate=2.0), ManualClock())
    assert policy.plan({"a": 1.9}, (), mean_load=0.0).isolate == ()
    assert policy.plan({"a": 1.9}, (), mean_load=3.0).isolate == ()
    assert policy.plan({"a": 2.1}, (), mean_load=3.0).isolate == ("a",)


def test_key_is_merged_only_after_it_stayed_cold() -> None:
    clock = ManualClock()
    policy = HotKeyPolicy(SETTINGS, clock)
    assert policy.plan({"a": 3.0}, ("a",), 100.0).merge == ()
    clock.advance(29.0)
    assert policy.plan({"a": 5.0}, ("a",), 100.0).merge == ()
    clock.advance(2.0)
    assert policy.plan({"a": 3.0}, ("a",), 100.0).merge == ()
    clock.advance(30.0)
    assert policy.plan({}, ("a",), 100.0).merge == ("a",)
