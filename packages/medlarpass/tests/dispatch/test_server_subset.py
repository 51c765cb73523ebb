"""Tests of the subsets of servers that entries prefer."""

from __future__ import annotations

import random

from statistics import fmean

import pytest

from medlarpass.dispatch import ServerSubset
from medlarpass.dispatch import subset_size


def loads_by_weight(servers: int, entries: int, seed: int) -> list[float]:
    """Return the load of each server divided by its weight.

    Entries get 5 to 15 requests per second, and servers have weights from 0.5 to 1.6.
    """
    rng = random.Random(seed)
    weights = {f"server-{seed}-{number}": rng.uniform(0.5, 1.6) for number in range(servers)}
    loads = dict.fromkeys(weights, 0.0)
    size = subset_size(servers, entries)
    for number in range(entries):
        subset = ServerSubset(f"entry-{seed}-{number}").choose(weights, size)
        demand, total = rng.uniform(5.0, 15.0), sum(subset.values())
        for identity, weight in subset.items():
            loads[identity] += demand * weight / total
    return [loads[identity] / weights[identity] for identity in weights]


@pytest.mark.parametrize(("servers", "entries"), [(4, 25), (10, 25), (13, 75), (36, 25), (48, 84)])
def test_the_load_stays_even_with_uneven_entries(servers: int, entries: int) -> None:
    """Guards against subsets that give some servers the load of far more entries than others."""
    ratios = [
        max(loads) / fmean(loads)
        for loads in (loads_by_weight(servers, entries, seed) for seed in range(30))
    ]
    assert fmean(ratios) <= 1.25


@pytest.mark.parametrize(("servers", "entries"), [(2, 25), (13, 3), (13, 75), (108, 84), (60, 300)])
def test_servers_have_enough_entries_and_entries_enough_servers(servers: int, entries: int) -> None:
    """Guards against a server that depends on one entry, and the other way round."""
    size = subset_size(servers, entries)
    assert min(servers, 4) <= size <= servers
    assert size == servers or size * entries / servers >= 6
    assert subset_size(servers, 0) == servers


def test_many_entries_need_few_servers_each() -> None:
    """Guards against a connection of each entry to nearly every server."""
    assert subset_size(10, 80) <= 5
    assert subset_size(36, 300) <= 12


def test_a_lost_server_changes_only_its_own_place_in_subsets() -> None:
    """Guards against connections that all entries open anew when one server is lost."""
    weights = {f"s{number}": 1.0 for number in range(30)}
    rest = {identity: weight for identity, weight in weights.items() if identity != "s7"}
    for number in range(20):
        subset = ServerSubset(f"e{number}")
        before, after = set(subset.choose(weights, 8)), set(subset.choose(rest, 8))
        assert len(before - after) == ("s7" in before)


def test_small_changes_of_weights_keep_the_subset() -> None:
    """Guards against subsets that change with each update of the measured weights."""
    rng = random.Random(4)
    subset = ServerSubset("e1")
    weights = {f"s{number}": 1.0 for number in range(30)}
    changed = {identity: rng.uniform(0.9, 1.15) for identity in weights}
    assert subset.choose(weights, 8).keys() == subset.choose(changed, 8).keys()
