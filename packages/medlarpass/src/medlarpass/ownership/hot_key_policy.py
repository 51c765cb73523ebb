"""Decides which keys are isolated from their shards."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.base import Value

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping

    from medlarpass.clock import Clock


class HotKeySettings(Value):
    """Settings of the policy.

    :param isolate_share: part of a server's mean load from which a key is isolated
    :param merge_share: part of a server's mean load below which a key may join its shard again;
        the gap to ``isolate_share`` keeps a key near the limit from moving back and forth
    :param cool_after: seconds that a key has to stay below ``merge_share``
    :param limit: largest number of isolated keys of a pool in a domain
    :param least_rate: requests per second below which no key is isolated. In a quiet pool a few
        requests exceed any share of the load, and isolating them would only move keys.
    """

    __slots__ = ("cool_after", "isolate_share", "least_rate", "limit", "merge_share")

    def __init__(
        self,
        isolate_share: float = 0.05,
        merge_share: float = 0.02,
        cool_after: float = 30.0,
        limit: int = 64,
        least_rate: float = 2.0,
    ) -> None:
        self.least_rate = least_rate
        self.isolate_share = isolate_share
        self.merge_share = merge_share
        self.cool_after = cool_after
        self.limit = limit


class HotKeyPlan(Value):
    """Result of a decision.

    :param isolate: keys to isolate, hottest first
    :param merge: keys that may join their shards again
    """

    __slots__ = ("isolate", "merge")

    def __init__(self, isolate: tuple[str, ...], merge: tuple[str, ...]) -> None:
        self.isolate = isolate
        self.merge = merge


class HotKeyPolicy:
    """Isolates keys that would unbalance the servers, and merges them when they cool down.

    A shard moves as a whole, so a hot key in it would drag its neighbours along and could never
    be balanced against them.

    :param settings: settings of the policy
    :param clock: clock of the coordinator
    """

    __slots__ = ("clock", "cool_since", "settings")

    def __init__(self, settings: HotKeySettings, clock: Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.cool_since: dict[str, float] = {}

    def plan(
        self, rates: Mapping[str, float], isolated: Collection[str], mean_load: float
    ) -> HotKeyPlan:
        """Decide from the measured rates.

        :param rates: requests per second of the hottest keys
        :param isolated: keys that are isolated at present
        :param mean_load: requests per second of the pool divided by its servers
        """
        merge = tuple(key for key in sorted(isolated) if self._is_cold(key, rates, mean_load))
        self.cool_since = {key: at for key, at in self.cool_since.items() if key in isolated}
        room = self.settings.limit - len(isolated) + len(merge)
        least = max(self.settings.isolate_share * mean_load, self.settings.least_rate)
        hot = [key for key, rate in rates.items() if key not in isolated and rate > least]
        hot.sort(key=lambda key: (-rates[key], key))
        return HotKeyPlan(tuple(hot[: max(0, room)]), merge)

    def _is_cold(self, key: str, rates: Mapping[str, float], mean_load: float) -> bool:
        if rates.get(key, 0.0) >= self.settings.merge_share * mean_load:
            self.cool_since.pop(key, None)
            return False
        since = self.cool_since.setdefault(key, self.clock.now())
        return self.clock.now() - since >= self.settings.cool_after
