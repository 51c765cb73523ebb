"""Decides which keys are isolated from their shards."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.base import Value

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping

    from medlarpass.clock import Clock


class HotKeySettings(Value):
    """Thresholds of the policy.

    :param isolate_ratio: fraction of the mean load of a server above which a key is isolated
    :param merge_ratio: fraction of the mean load of a server below which a key may be merged with
        its shard; the gap to ``isolate_ratio`` prevents a key near the limit from moving back and
        forth
    :param cooldown_seconds: time for which a key has to stay below ``merge_ratio``
    :param max_isolated_keys: maximum number of isolated keys of a pool in a domain
    :param min_rate: requests per second up to which no key is isolated. In a pool with little
        traffic a few requests exceed any fraction of the load, and isolating them would only move
        keys.
    """

    __slots__ = (
        "cooldown_seconds",
        "isolate_ratio",
        "max_isolated_keys",
        "merge_ratio",
        "min_rate",
    )

    def __init__(
        self,
        isolate_ratio: float = 0.05,
        merge_ratio: float = 0.02,
        cooldown_seconds: float = 30.0,
        max_isolated_keys: int = 64,
        min_rate: float = 2.0,
    ) -> None:
        self.min_rate = min_rate
        self.isolate_ratio = isolate_ratio
        self.merge_ratio = merge_ratio
        self.cooldown_seconds = cooldown_seconds
        self.max_isolated_keys = max_isolated_keys


class HotKeyPlan(Value):
    """Result of a decision.

    :param isolate: keys to isolate, hottest first
    :param merge: keys that may be merged with their shards
    """

    __slots__ = ("isolate", "merge")

    def __init__(self, isolate: tuple[str, ...], merge: tuple[str, ...]) -> None:
        self.isolate = isolate
        self.merge = merge


class HotKeyPolicy:
    """Isolates keys that cause load imbalance between servers, and merges them when they cool down.

    A shard moves as a whole. A hot key in it would move together with the other keys of the shard
    and could not be balanced against them.

    :param settings: settings of the policy
    :param clock: clock of the coordinator
    """

    __slots__ = ("clock", "cold_since", "settings")

    def __init__(self, settings: HotKeySettings, clock: Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.cold_since: dict[str, float] = {}

    def plan(
        self, rates: Mapping[str, float], isolated: Collection[str], mean_load: float
    ) -> HotKeyPlan:
        """Decide from the measured rates.

        :param rates: requests per second of the hottest keys
        :param isolated: keys that are currently isolated
        :param mean_load: requests per second of the pool divided by the number of its servers
        """
        merge = tuple(key for key in sorted(isolated) if self._is_cold(key, rates, mean_load))
        self.cold_since = {key: since for key, since in self.cold_since.items() if key in isolated}
        max_new_keys = self.settings.max_isolated_keys - len(isolated) + len(merge)
        isolation_threshold = max(self.settings.isolate_ratio * mean_load, self.settings.min_rate)
        hot = [
            key for key, rate in rates.items() if key not in isolated and rate > isolation_threshold
        ]
        hot.sort(key=lambda key: (-rates[key], key))
        return HotKeyPlan(tuple(hot[: max(0, max_new_keys)]), merge)

    def _is_cold(self, key: str, rates: Mapping[str, float], mean_load: float) -> bool:
        if rates.get(key, 0.0) >= self.settings.merge_ratio * mean_load:
            self.cold_since.pop(key, None)
            return False
        since = self.cold_since.setdefault(key, self.clock.now())
        return self.clock.now() - since >= self.settings.cooldown_seconds
