"""Load measured by this entry, as reported to its peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.dispatch import HotKeySketch
from medlarpass.dispatch import SketchSettings
from medlarpass.rpc import domain_pb2

if TYPE_CHECKING:
    from medlarpass import Clock
    from medlarpass_daemon.entry.callers import CallersServer
    from medlarpass_daemon.entry.configuration_store import ConfigurationStore

#: Window over which the request rates of shards are measured.
WINDOW_SECONDS = 1.0
#: Weight of the newest window in the exponentially smoothed rate.
SMOOTHING_RATIO = 0.5
#: Lower rates of requests are omitted to keep the report small.
MIN_REPORTED_RATE_PER_SECOND = 0.05
#: Keys of each pool in a report: the 30 hottest and a reserve of 10.
MAX_REPORTED_KEY_COUNT = 40


class OwnLoads:
    """Request rates of shards and hot keys, and in-flight requests of servers.

    :param store: configuration in force
    :param clock: clock of this process
    """

    __slots__ = ("clock", "counts", "rates", "sketches", "store", "window_started_at")

    def __init__(self, store: ConfigurationStore, clock: Clock) -> None:
        self.store = store
        self.clock = clock
        self.counts: dict[tuple[str, int], int] = {}
        self.rates: dict[tuple[str, int], float] = {}
        self.sketches: dict[str, HotKeySketch] = {}
        self.window_started_at = clock.now()

    def count_request(self, pool: str, shard: int, key: str) -> None:
        """Count a request for a key.

        :param pool: name of an owned pool
        :param shard: shard of the key
        :param key: key of the request
        """
        pool_shard = (pool, shard)
        self.counts[pool_shard] = self.counts.get(pool_shard, 0) + 1
        sketch = self.sketches.get(pool)
        if sketch is None:
            sketch = HotKeySketch(SketchSettings(), self.clock)
            self.sketches[pool] = sketch
        sketch.add(key)

    def add_to_report(self, report: domain_pb2.PeerReport, callers: CallersServer) -> None:
        """Add the measured load to a report.

        :param report: report for a peer
        :param callers: request path of this entry
        """
        self._finish_window()
        for (pool, shard), rate in self.rates.items():
            report.shard_loads.append(
                domain_pb2.ShardLoad(pool=pool, shard=shard, requests_per_second=rate)
            )
        for pool, sketch in self.sketches.items():
            for hot_key in sketch.report(MAX_REPORTED_KEY_COUNT).keys:
                if hot_key.rate >= MIN_REPORTED_RATE_PER_SECOND:
                    report.hot_keys.append(
                        domain_pb2.KeyLoad(
                            pool=pool, key=hot_key.key, requests_per_second=hot_key.rate
                        )
                    )
        for identity, limiter in callers.context.server_selector.limiters.items():
            if limiter.in_flight:
                report.loads.append(
                    domain_pb2.ServerLoad(server=identity, in_flight=limiter.in_flight)
                )

    def _finish_window(self) -> None:
        elapsed = self.clock.now() - self.window_started_at
        if elapsed < WINDOW_SECONDS:
            return
        shards = self.rates.keys() | self.counts.keys()
        rates = {
            shard: (1 - SMOOTHING_RATIO) * self.rates.get(shard, 0.0)
            + SMOOTHING_RATIO * self.counts.get(shard, 0) / elapsed
            for shard in shards
        }
        self.rates = {
            shard: rate for shard, rate in rates.items() if rate >= MIN_REPORTED_RATE_PER_SECOND
        }
        self.counts.clear()
        self.window_started_at = self.clock.now()
