"""Requests per second of each pool, from the counts that entries report."""

from __future__ import annotations

#: Ratio of a count that remains after a report period of half a second, as for the load of keys.
DECAY_RATIO = 0.5
PERIOD_SECONDS = 0.5
#: Count below which a pool is dropped.
MIN_COUNT = 0.01


class DemandRates:
    """Decayed request counts by pool."""

    __slots__ = ("counts",)

    def __init__(self) -> None:
        self.counts: dict[str, float] = {}

    def add(self, pool: str, requests: int) -> None:
        """Add the requests of a report."""
        self.counts[pool] = self.counts.get(pool, 0.0) + requests

    def apply_decay(self) -> None:
        """End a report period."""
        self.counts = {
            pool: count * DECAY_RATIO
            for pool, count in self.counts.items()
            if count * DECAY_RATIO >= MIN_COUNT
        }

    def rate_of(self, pool: str, since_decay: float) -> float:
        """Return the requests per second of a pool.

        :param since_decay: seconds since the last period ended
        """
        return self.counts.get(pool, 0.0) / counted_seconds(since_decay)


def counted_seconds(since_decay: float) -> float:
    """Return the seconds of a steady load that make up a decayed count.

    What remains of the earlier periods is worth ``DECAY_RATIO / (1 - DECAY_RATIO)`` periods.

    :param since_decay: seconds since the last period ended
    """
    return PERIOD_SECONDS * DECAY_RATIO / (1 - DECAY_RATIO) + max(since_decay, 0.0)
