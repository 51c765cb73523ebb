"""Load that this entry sees, as it tells its peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.dispatch import HotKeySketch
from medlarpass.dispatch import SketchSettings
from medlarpass.rpc import domain_pb2

if TYPE_CHECKING:
    from medlarpass import Clock
    from medlarpass_daemon.entry.callers import CallersServer
    from medlarpass_daemon.entry.configuration_store import ConfigurationStore

#: Seconds over which the request rates of shards are measured.
WINDOW = 1.0
#: Share of the newest window in the rate; older ones count less and less.
SMOOTHING = 0.5
#: Rates below this, in requests a second, are dropped to keep the report small.
LEAST_RATE = 0.05


#: Keys of each pool in a report: the 30 hottest with some reserve.
REPORTED_KEYS = 40


class OwnLoads:
    """Request rates of shards and hot keys, and in-flight requests of servers.

    :param store: configuration in force
    :param clock: clock of this process
    """

    __slots__ = ("clock", "counts", "rates", "sketches", "started_at", "store")

    def __init__(self, store: ConfigurationStore, clock: Clock) -> None:
        self.store = store
        self.clock = clock
        self.counts: dict[tuple[str, int], int] = {}
        self.rates: dict[tuple[str, int], float] = {}
        self.sketches: dict[str, HotKeySketch] = {}
        self.started_at = clock.now()

    def count(self, pool: str, shard: int, key: str) -> None:
        """Count a request for a key.

        :param pool: name of an owned pool
        :param shard: shard of the key
        :param key: key of the request
        """
        counted = (pool, shard)
        self.counts[counted] = self.counts.get(counted, 0) + 1
        sketch = self.sketches.get(pool)
        if sketch is None:
            sketch = HotKeySketch(SketchSettings(), self.clock)
            self.sketches[pool] = sketch
        sketch.add(key)

    def fill(self, report: domain_pb2.PeerReport, callers: CallersServer) -> None:
        """Add the load to a report.

        :param report: report for a peer
        :param callers: request path of this entry
        """
        self._roll()
        for (pool, shard), rate in self.rates.items():
            report.shard_loads.append(
                domain_pb2.ShardLoad(pool=pool, shard=shard, requests_per_second=rate)
            )
        for pool, sketch in self.sketches.items():
            for hot in sketch.report(REPORTED_KEYS).keys:
                if hot.rate >= LEAST_RATE:
                    report.hot_keys.append(
                        domain_pb2.KeyLoad(pool=pool, key=hot.key, requests_per_second=hot.rate)
                    )
        for identity, limiter in callers.context.server_selector.limiters.items():
            if limiter.in_flight:
                report.loads.append(
                    domain_pb2.ServerLoad(server=identity, in_flight=limiter.in_flight)
                )

    def _roll(self) -> None:
        elapsed = self.clock.now() - self.started_at
        if elapsed < WINDOW:
            return
        shards = self.rates.keys() | self.counts.keys()
        rates = {
            shard: (1 - SMOOTHING) * self.rates.get(shard, 0.0)
            + SMOOTHING * self.counts.get(shard, 0) / elapsed
            for shard in shards
        }
        self.rates = {shard: rate for shard, rate in rates.items() if rate >= LEAST_RATE}
        self.counts.clear()
        self.started_at = self.clock.now()
