"""Simulated load of keys: true request rates and the rates measured by each domain's entries."""

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
from tools.measure.hot_keys import HOT_KEY_COUNT
from tools.measure.hot_keys import HOT_REQUEST_RATIO
from tools.measure.hot_keys import KEY_COUNT
from tools.measure.hot_keys import KeyTrace

if TYPE_CHECKING:
    from tools.measure.deployment import Deployment
    from tools.measure.options import Options

POOL = "owned"
SHARD_COUNT = 256
# Total over all entries.
REQUESTS_PER_SECOND = 2000
# Time in which ``HOT_KEY_COUNT`` hot keys are replaced, one at a time.
HOT_KEY_TURNOVER_SECONDS = 300.0


class MeasuredLoad:
    """Request rates that the entries of one domain report in one second.

    :param shard_rates: requests per second by shard, smoothed as in an entry
    :param hot_rates: requests per second of the keys in the sketches' reports
    """

    __slots__ = ("hot_rates", "shard_rates")

    def __init__(self, shard_rates: dict[Assignment, float], hot_rates: dict[str, float]) -> None:
        self.shard_rates = shard_rates
        self.hot_rates = hot_rates


class KeyLoad:
    """One trace of requests, the same for all policies.

    :param options: options of the run
    :param deployment: simulated deployment
    :param seconds: length of the trace
    :param turnover: time in which ``HOT_KEY_COUNT`` hot keys are replaced, in seconds

    :ivar shard_of_key: shard of each key
    :ivar keys_of_shard: number of keys in each shard
    :ivar tail_rates: true requests per second by shard, without those of ``hot_rates``
    :ivar hot_rates: true additional requests per second by hot key, one mapping per second
    :ivar measured_loads: reported rates by second and domain
    """

    __slots__ = ("hot_rates", "keys_of_shard", "measured_loads", "shard_of_key", "tail_rates")

    def __init__(
        self,
        options: Options,
        deployment: Deployment,
        seconds: int,
        turnover: float = HOT_KEY_TURNOVER_SECONDS,
    ) -> None:
        self.shard_of_key = {
            f"k{n}": shard_of(POOL, f"k{n}", SHARD_COUNT) for n in range(KEY_COUNT)
        }
        self.keys_of_shard = [0] * SHARD_COUNT
        for shard in self.shard_of_key.values():
            self.keys_of_shard[shard] += 1
        trace = KeyTrace(options.rng("keys", deployment.name))
        self.tail_rates = self._shard_tail_rates(trace)
        self.hot_rates: list[dict[str, float]] = []
        self.measured_loads: list[list[MeasuredLoad]] = []
        self._simulate(options, deployment, seconds, turnover, trace)

    def _shard_tail_rates(self, trace: KeyTrace) -> list[float]:
        rates = [0.0] * SHARD_COUNT
        previous_sum = 0.0
        for number, cumulative_weight in enumerate(trace.tail_weights):
            weight = (cumulative_weight - previous_sum) / trace.tail_weights[-1]
            previous_sum = cumulative_weight
            rates[self.shard_of_key[f"k{number}"]] += (
                REQUESTS_PER_SECOND * (1.0 - HOT_REQUEST_RATIO) * weight
            )
        return rates

    def _simulate(
        self,
        options: Options,
        deployment: Deployment,
        seconds: int,
        turnover: float,
        trace: KeyTrace,
    ) -> None:
        clock = ManualClock()
        entry_rng = options.rng("key entry", deployment.name)
        new_key_rng = options.rng("fresh keys", deployment.name)
        sketches = [HotKeySketch(SketchSettings(), clock) for _ in range(deployment.entries)]
        rates = [[0.0] * SHARD_COUNT for _ in range(deployment.domains)]
        cumulative_weights = [0.0, *trace.hot_weights]
        weights = [
            REQUESTS_PER_SECOND
            * HOT_REQUEST_RATIO
            * (cumulative_weights[n + 1] - cumulative_weights[n])
            / cumulative_weights[-1]
            for n in range(HOT_KEY_COUNT)
        ]
        due_replacements = 0.0
        for _ in range(seconds):
            due_replacements += HOT_KEY_COUNT / turnover
            while due_replacements >= 1.0:
                due_replacements -= 1.0
                trace.hot_keys[new_key_rng.randrange(HOT_KEY_COUNT)] = (
                    f"k{new_key_rng.randrange(KEY_COUNT // 2, KEY_COUNT)}"
                )
            counts = [[0] * SHARD_COUNT for _ in range(deployment.domains)]
            for _ in range(REQUESTS_PER_SECOND):
                clock.advance(1.0 / REQUESTS_PER_SECOND)
                key, entry = trace.draw_key(), entry_rng.randrange(deployment.entries)
                sketches[entry].add(key)
                counts[entry % deployment.domains][self.shard_of_key[key]] += 1
            self._smooth(rates, counts)
            true_rates: dict[str, float] = {}
            for key, weight in zip(trace.hot_keys, weights, strict=True):
                true_rates[key] = true_rates.get(key, 0.0) + weight
            self.hot_rates.append(true_rates)
            self.measured_loads.append(
                [
                    MeasuredLoad(
                        _by_assignment(rates[n]),
                        _merged_hot_rates(sketches[n :: deployment.domains]),
                    )
                    for n in range(deployment.domains)
                ]
            )

    @staticmethod
    def _smooth(rates: list[list[float]], counts: list[list[int]]) -> None:
        for domain, domain_counts in enumerate(counts):
            rates[domain] = [
                (1.0 - SMOOTHING_RATIO) * rate + SMOOTHING_RATIO * count
                for rate, count in zip(rates[domain], domain_counts, strict=True)
            ]


def _by_assignment(rates: list[float]) -> dict[Assignment, float]:
    return {
        Assignment(POOL, shard): rate
        for shard, rate in enumerate(rates)
        if rate >= MIN_REPORTED_RATE_PER_SECOND
    }


def _merged_hot_rates(sketches: list[HotKeySketch]) -> dict[str, float]:
    rates: dict[str, float] = {}
    for sketch in sketches:
        for hot in sketch.report(MAX_REPORTED_KEY_COUNT).keys:
            if hot.rate >= MIN_REPORTED_RATE_PER_SECOND:
                rates[hot.key] = rates.get(hot.key, 0.0) + hot.rate
    return rates
