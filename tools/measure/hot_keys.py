"""Share of the hottest keys that the sketch finds after a change of the hot keys."""

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

HOT_KEY_COUNT = 30
KEY_COUNT = 50_000
# Share of the requests that ask for hot keys; high enough that the least requested hot key gets
# several times the requests of any other key.
HOT_REQUEST_RATIO = 0.3
REPORTED_KEY_COUNT = 60
REQUESTS_PER_SECOND = 2000
# Interval at which all hot keys are replaced.
CHANGE_INTERVAL_SECONDS = 60
# Times after a change at which the reports are compared with the true hot keys.
CHECK_SECONDS = (5, 15, 30, 60)

POLICIES = {
    "medlarpass": SketchSettings(),
    "half-life 2 s": SketchSettings(half_life=2.0),
    "half-life 10 s": SketchSettings(half_life=10.0),
    "half-life 60 s": SketchSettings(half_life=60.0),
    "no decay": SketchSettings(half_life=1e9),
    "64 counters": SketchSettings(capacity=64),
}


class KeyTrace:
    """Requests for keys: a few hot keys, and a tail of all keys with a Zipf distribution.

    :ivar hot_keys: current hot keys, the most requested first
    :ivar hot_weights: cumulative weights of the hot keys
    :ivar tail_weights: cumulative weights of all keys
    """

    __slots__ = ("hot_keys", "hot_weights", "rng", "tail_weights")

    def __init__(self, rng: Random) -> None:
        self.rng = rng
        self.hot_keys: list[str] = []
        weights = [1.0 / (rank + 100.0) for rank in range(KEY_COUNT)]
        self.tail_weights = list(accumulate(weights))
        self.hot_weights = list(accumulate(1.0 / (rank + 10.0) for rank in range(HOT_KEY_COUNT)))
        self.replace_hot_keys()

    def replace_hot_keys(self) -> None:
        """Replace all hot keys."""
        self.hot_keys = [
            f"k{number}"
            for number in self.rng.sample(range(KEY_COUNT // 2, KEY_COUNT), HOT_KEY_COUNT)
        ]

    def draw_key(self) -> str:
        """Return the key of the next request."""
        if self.rng.random() < HOT_REQUEST_RATIO:
            return self.hot_keys[bisect(self.hot_weights, self.rng.random() * self.hot_weights[-1])]
        return f"k{bisect(self.tail_weights, self.rng.random() * self.tail_weights[-1])}"


@section("hot_keys", "Share of the 30 hottest keys found, by seconds after a change")
def run(options: Options) -> list[Row]:
    """Run one trace through the sketches of all policies."""
    clock = ManualClock()
    sketches = {
        name: [HotKeySketch(settings, clock) for _ in range(BUNGKUS.entries)]
        for name, settings in POLICIES.items()
    }
    changes = int(options.choose(1, 3))
    recalls: dict[str, dict[int, list[float]]] = {
        name: {check: [] for check in CHECK_SECONDS} for name in [*POLICIES, "one entry alone"]
    }
    rng = options.rng("entry")
    trace = KeyTrace(options.rng("keys"))
    for change_number in range(changes + 1):
        for second in range(1, CHANGE_INTERVAL_SECONDS + 1):
            for _ in range(REQUESTS_PER_SECOND):
                clock.advance(1.0 / REQUESTS_PER_SECOND)
                key, entry = trace.draw_key(), rng.randrange(BUNGKUS.entries)
                for entry_sketches in sketches.values():
                    entry_sketches[entry].add(key)
            if change_number > 0 and second in CHECK_SECONDS:
                _record_recalls(sketches, set(trace.hot_keys), second, recalls)
        trace.replace_hot_keys()
    return [
        Row(
            f"{changes} changes",
            name,
            {f"after_{check}_s_pct": 100.0 * sum(v) / len(v) for check, v in checks.items()},
        )
        for name, checks in recalls.items()
    ]


def _record_recalls(
    sketches: dict[str, list[HotKeySketch]],
    hot_keys: set[str],
    second: int,
    recalls: dict[str, dict[int, list[float]]],
) -> None:
    for name, entry_sketches in sketches.items():
        merged_report = merge_reports(
            (sketch.report(REPORTED_KEY_COUNT) for sketch in entry_sketches), HOT_KEY_COUNT
        )
        recalls[name][second].append(_recall({hot.key for hot in merged_report.keys}, hot_keys))
    single_report = sketches["medlarpass"][0].report(HOT_KEY_COUNT)
    recalls["one entry alone"][second].append(
        _recall({hot.key for hot in single_report.keys}, hot_keys)
    )


def _recall(keys: set[str], hot_keys: set[str]) -> float:
    return len(keys & hot_keys) / len(hot_keys)
