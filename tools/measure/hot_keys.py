"""Share of the hottest keys that are found after a change."""

from __future__ import annotations

from bisect import bisect
from itertools import accumulate
from typing import TYPE_CHECKING

from medlarpass import ManualClock
from medlarpass.dispatch import HotKeySketch
from medlarpass.dispatch import SketchSettings
from medlarpass.dispatch.hot_key_sketch import merge_reports
from tools.measure.deployment import BUNGKUS
from tools.measure.registry import section
from tools.measure.row import Row

if TYPE_CHECKING:
    from random import Random

    from tools.measure.options import Options

HOT = 30
KEYS = 50_000
# Part of the requests that ask for one of the hot keys; the coldest hot key still gets several
# times the requests of the warmest other key.
HOT_PART = 0.3
REPORTED = 60
RATE = 2000
# Seconds between two changes of the hot keys.
PERIOD = 60
CHECKS = (5, 15, 30, 60)

POLICIES = {
    "medlarpass": SketchSettings(),
    "half-life 2 s": SketchSettings(half_life=2.0),
    "half-life 10 s": SketchSettings(half_life=10.0),
    "half-life 60 s": SketchSettings(half_life=60.0),
    "no decay": SketchSettings(half_life=1e9),
    "64 counters": SketchSettings(capacity=64),
}


class KeyTrace:
    """Requests for keys: hot keys that change at once, over a tail with a Zipf distribution."""

    __slots__ = ("cumulative", "hot", "rng", "tail")

    def __init__(self, rng: Random) -> None:
        self.rng = rng
        self.hot: list[str] = []
        weights = [1.0 / (rank + 100.0) for rank in range(KEYS)]
        self.tail = list(accumulate(weights))
        self.cumulative = list(accumulate(1.0 / (rank + 10.0) for rank in range(HOT)))
        self.change()

    def change(self) -> None:
        """Take new hot keys."""
        self.hot = [f"k{number}" for number in self.rng.sample(range(KEYS // 2, KEYS), HOT)]

    def draw(self) -> str:
        """Return the key of the next request."""
        if self.rng.random() < HOT_PART:
            return self.hot[bisect(self.cumulative, self.rng.random() * self.cumulative[-1])]
        return f"k{bisect(self.tail, self.rng.random() * self.tail[-1])}"


@section("hot_keys", "Share of the 30 hottest keys found, by seconds after a change")
def run(options: Options) -> list[Row]:
    """Feed one trace to the sketches of all policies."""
    clock = ManualClock()
    sketches = {
        name: [HotKeySketch(settings, clock) for _ in range(BUNGKUS.entries)]
        for name, settings in POLICIES.items()
    }
    changes = int(options.choose(1, 3))
    found: dict[str, dict[int, list[float]]] = {
        name: {check: [] for check in CHECKS} for name in [*POLICIES, "one entry alone"]
    }
    rng = options.rng("entry")
    trace = KeyTrace(options.rng("keys"))
    for period in range(changes + 1):
        for second in range(1, PERIOD + 1):
            for _ in range(RATE):
                clock.advance(1.0 / RATE)
                key, entry = trace.draw(), rng.randrange(BUNGKUS.entries)
                for group in sketches.values():
                    group[entry].add(key)
            if period > 0 and second in CHECKS:
                _check(sketches, set(trace.hot), second, found)
        trace.change()
    return [
        Row(
            f"{changes} changes",
            name,
            {f"after_{check}_s_pct": 100.0 * sum(v) / len(v) for check, v in checks.items()},
        )
        for name, checks in found.items()
    ]


def _check(
    sketches: dict[str, list[HotKeySketch]],
    truth: set[str],
    second: int,
    found: dict[str, dict[int, list[float]]],
) -> None:
    for name, group in sketches.items():
        merged = merge_reports((sketch.report(REPORTED) for sketch in group), HOT)
        found[name][second].append(_recall({hot.key for hot in merged.keys}, truth))
    alone = sketches["medlarpass"][0].report(HOT)
    found["one entry alone"][second].append(_recall({hot.key for hot in alone.keys}, truth))


def _recall(keys: set[str], truth: set[str]) -> float:
    return len(keys & truth) / len(truth)
