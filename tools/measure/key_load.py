"""Seeded load of keys: what is true, and what the entries of each domain have measured."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass import ManualClock
from medlarpass.dispatch import HotKeySketch
from medlarpass.dispatch import SketchSettings
from medlarpass.ownership import Assignment
from medlarpass.ownership import shard_of
from medlarpass_daemon.entry.own_loads import MAX_REPORTED_KEY_COUNT
from medlarpass_daemon.entry.own_loads import MIN_REPORTED_RATE_PER_SECOND
from medlarpass_daemon.entry.own_loads import SMOOTHING_RATIO
from tools.measure.hot_keys import HOT
from tools.measure.hot_keys import HOT_PART
from tools.measure.hot_keys import KEYS
from tools.measure.hot_keys import KeyTrace

if TYPE_CHECKING:
    from tools.measure.deployment import Deployment
    from tools.measure.options import Options

POOL = "owned"
SHARDS = 256
# Requests per second over all entries.
RATE = 2000
# All hot keys are replaced within this time, one after the other, in seconds.
TURNOVER = 300.0


class Measured:
    """What the entries of one domain report in one second.

    :param shards: requests per second by shard, smoothed as an entry smooths them
    :param hot: requests per second of the keys that the sketches list
    """

    __slots__ = ("hot", "shards")

    def __init__(self, shards: dict[Assignment, float], hot: dict[str, float]) -> None:
        self.shards = shards
        self.hot = hot


class KeyLoad:
    """One trace of requests, the same for all policies.

    :param options: options of the run
    :param deployment: shape of the system
    :param seconds: length of the trace
    :param turnover: time in which all hot keys are replaced, in seconds

    :ivar shard_of_key: shard by key
    :ivar keys_of_shard: number of keys by shard
    :ivar tail: true requests per second by shard, without the hot keys' extra
    :ivar hot: true extra requests per second by hot key, one mapping per second
    :ivar measured: reports by second and domain
    """

    __slots__ = ("hot", "keys_of_shard", "measured", "shard_of_key", "tail")

    def __init__(
        self, options: Options, deployment: Deployment, seconds: int, turnover: float = TURNOVER
    ) -> None:
        self.shard_of_key = {f"k{n}": shard_of(POOL, f"k{n}", SHARDS) for n in range(KEYS)}
        self.keys_of_shard = [0] * SHARDS
        for shard in self.shard_of_key.values():
            self.keys_of_shard[shard] += 1
        trace = KeyTrace(options.rng("keys", deployment.name))
        self.tail = self._tail(trace)
        self.hot: list[dict[str, float]] = []
        self.measured: list[list[Measured]] = []
        self._record(options, deployment, seconds, turnover, trace)

    def _tail(self, trace: KeyTrace) -> list[float]:
        rates = [0.0] * SHARDS
        before = 0.0
        for number, sum_of_weights in enumerate(trace.tail):
            weight = (sum_of_weights - before) / trace.tail[-1]
            before = sum_of_weights
            rates[self.shard_of_key[f"k{number}"]] += RATE * (1.0 - HOT_PART) * weight
        return rates

    def _record(
        self,
        options: Options,
        deployment: Deployment,
        seconds: int,
        turnover: float,
        trace: KeyTrace,
    ) -> None:
        clock = ManualClock()
        entry_rng = options.rng("key entry", deployment.name)
        fresh_rng = options.rng("fresh keys", deployment.name)
        sketches = [HotKeySketch(SketchSettings(), clock) for _ in range(deployment.entries)]
        rates = [[0.0] * SHARDS for _ in range(deployment.domains)]
        steps = [0.0, *trace.cumulative]
        weights = [RATE * HOT_PART * (steps[n + 1] - steps[n]) / steps[-1] for n in range(HOT)]
        due = 0.0
        for _ in range(seconds):
            due += HOT / turnover
            while due >= 1.0:
                due -= 1.0
                trace.hot[fresh_rng.randrange(HOT)] = f"k{fresh_rng.randrange(KEYS // 2, KEYS)}"
            counts = [[0] * SHARDS for _ in range(deployment.domains)]
            for _ in range(RATE):
                clock.advance(1.0 / RATE)
                key, entry = trace.draw(), entry_rng.randrange(deployment.entries)
                sketches[entry].add(key)
                counts[entry % deployment.domains][self.shard_of_key[key]] += 1
            self._smooth(rates, counts)
            truth: dict[str, float] = {}
            for key, weight in zip(trace.hot, weights, strict=True):
                truth[key] = truth.get(key, 0.0) + weight
            self.hot.append(truth)
            self.measured.append(
                [
                    Measured(
                        _by_assignment(rates[n]), _hot_rates(sketches[n :: deployment.domains])
                    )
                    for n in range(deployment.domains)
                ]
            )

    @staticmethod
    def _smooth(rates: list[list[float]], counts: list[list[int]]) -> None:
        for domain, counted in enumerate(counts):
            rates[domain] = [
                (1.0 - SMOOTHING_RATIO) * rate + SMOOTHING_RATIO * count
                for rate, count in zip(rates[domain], counted, strict=True)
            ]


def _by_assignment(rates: list[float]) -> dict[Assignment, float]:
    return {
        Assignment(POOL, shard): rate
        for shard, rate in enumerate(rates)
        if rate >= MIN_REPORTED_RATE_PER_SECOND
    }


def _hot_rates(sketches: list[HotKeySketch]) -> dict[str, float]:
    rates: dict[str, float] = {}
    for sketch in sketches:
        for hot in sketch.report(MAX_REPORTED_KEY_COUNT).keys:
            if hot.rate >= MIN_REPORTED_RATE_PER_SECOND:
                rates[hot.key] = rates.get(hot.key, 0.0) + hot.rate
    return rates
