"""Recent demand for each pool, from the reports of all entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarpass.rpc import fleet_pb2

#: Length of a report period in seconds, at whose end the counts decay.
PERIOD_SECONDS = 0.5
#: Ratio of a count that remains after a report period, for a window of about 2 s: bursts last a few
#: seconds, and a window of one report would follow random variation.
DECAY_RATIO = 0.75
#: Requests per second in relation to a decayed count.
RATE_RATIO = (1.0 - DECAY_RATIO) / (PERIOD_SECONDS * DECAY_RATIO)
#: Decayed count below which a demand is dropped.
MIN_REQUEST_COUNT = 0.05


class PoolDemands:
    """Exponentially decaying request counts by pool, domain of the entries, and priority."""

    __slots__ = ("counts",)

    def __init__(self) -> None:
        self.counts: dict[tuple[str, str, int], float] = {}

    def add(self, demand: fleet_pb2.PoolDemand) -> None:
        """Add a reported count."""
        key = (demand.pool, demand.domain, demand.priority)
        self.counts[key] = self.counts.get(key, 0.0) + demand.requests

    def apply_decay(self) -> None:
        """End a report period of :data:`PERIOD_SECONDS`."""
        self.counts = {
            key: count * DECAY_RATIO
            for key, count in self.counts.items()
            if count * DECAY_RATIO >= MIN_REQUEST_COUNT
        }

    def rates_by_domain(self, pool: str) -> dict[str, float]:
        """Return the requests per second for a pool, by failure domain of the entries.

        The rates are exact right after :meth:`apply_decay`.
        """
        rates: dict[str, float] = {}
        for (name, domain, _), count in self.counts.items():
            if name == pool:
                rates[domain] = rates.get(domain, 0.0) + count * RATE_RATIO
        return rates

    def rates_by_priority(self, pool: str) -> dict[int, float]:
        """Return the requests per second for a pool, by priority of the route."""
        rates: dict[int, float] = {}
        for (name, _, priority), count in self.counts.items():
            if name == pool:
                rates[priority] = rates.get(priority, 0.0) + count * RATE_RATIO
        return rates
