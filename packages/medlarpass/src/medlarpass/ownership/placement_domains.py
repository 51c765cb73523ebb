"""Weighs failure domains by measured load, so that delegation balances load and not only shards."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

# Weights are whole numbers; a slot counts this much, so that rounding is far below a shard.
WEIGHT_OF_SLOT = 1000
# Bounds of the correction, against a domain whose load was measured wrongly or not yet.
LEAST_CORRECTION = 0.8
LARGEST_CORRECTION = 1.25


def weighted_slots(
    slots: Mapping[str, int], loads: Mapping[str, float], shards: Mapping[str, int]
) -> dict[str, int]:
    """Return slots corrected by the load of a domain's average shard.

    Shards in proportion to the result give each domain a load in proportion to its slots, as long
    as the average shard of each domain keeps its load.

    :param slots: ready slots by domain
    :param loads: requests per second for the shards that each domain holds; averaged over about
        half a minute, because each correction moves shards between domains
    :param shards: number of shards that each domain holds
    """
    total = sum(loads.get(domain, 0.0) for domain in slots)
    count = sum(shards.get(domain, 0) for domain in slots)
    result = {}
    for domain, number in slots.items():
        load, held = loads.get(domain, 0.0), shards.get(domain, 0)
        correction = 1.0
        if load > 0 and held > 0:
            correction = (total / count) / (load / held)
        correction = min(LARGEST_CORRECTION, max(LEAST_CORRECTION, correction))
        result[domain] = round(number * WEIGHT_OF_SLOT * correction)
    return result
