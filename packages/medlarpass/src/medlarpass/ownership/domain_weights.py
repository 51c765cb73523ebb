"""Weights of failure domains by load, so that delegation balances load and not only shards."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

# Weights are integers; this factor keeps the rounding error far below one shard.
WEIGHT_PER_SLOT = 1000
# Limits for a domain whose load was measured wrongly or not yet.
MIN_CORRECTION_RATIO = 0.8
MAX_CORRECTION_RATIO = 1.25


def weighted_slots(
    slots: Mapping[str, int], loads: Mapping[str, float], shards: Mapping[str, int]
) -> dict[str, int]:
    """Return slots corrected by the mean load of each domain's shards.

    Shards in proportion to the result give each domain a load in proportion to its slots, as long
    as the mean load of each domain's shards does not change.

    :param slots: ready slots by domain
    :param loads: requests per second for the shards that each domain holds; averaged over about
        half a minute, because each correction moves shards between domains
    :param shards: number of shards that each domain holds
    """
    total_load = sum(loads.get(domain, 0.0) for domain in slots)
    total_shards = sum(shards.get(domain, 0) for domain in slots)
    weights = {}
    for domain, domain_slots in slots.items():
        load, held_shards = loads.get(domain, 0.0), shards.get(domain, 0)
        correction = 1.0
        if load > 0 and held_shards > 0:
            correction = (total_load / total_shards) / (load / held_shards)
        correction = min(MAX_CORRECTION_RATIO, max(MIN_CORRECTION_RATIO, correction))
        weights[domain] = round(domain_slots * WEIGHT_PER_SLOT * correction)
    return weights
