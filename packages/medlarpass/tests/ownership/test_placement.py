"""Guards against imbalance, unnecessary moves, and load on cold or draining servers."""

from __future__ import annotations

import random

import pytest

from medlarpass import ManualClock
from medlarpass.ownership import Assignment
from medlarpass.ownership import Candidate
from medlarpass.ownership import Placement
from medlarpass.ownership import PlacementSettings
from medlarpass.ownership.domain_weights import weighted_slots
from medlarpass.ownership.placement_baselines import consistent_hashing
from medlarpass.ownership.placement_baselines import modulo_hashing
from medlarpass.ownership.placement_baselines import rendezvous_hashing

SHARDS = [Assignment("stock", shard) for shard in range(256)]
SETTINGS_WITHOUT_RAMP = PlacementSettings(ramp_seconds=0.0, moves_per_minute=10_000)


def servers(count: int, slots: int = 3) -> list[Candidate]:
    return [Candidate(f"s{number:02}", slots) for number in range(count)]


def skewed_loads(seed: int) -> dict[Assignment, float]:
    rng = random.Random(seed)
    return {shard: rng.paretovariate(2.0) for shard in SHARDS}


def imbalance(
    owners: dict[Assignment, str], loads: dict[Assignment, float], candidates: list[Candidate]
) -> float:
    used = {candidate.server: 0.0 for candidate in candidates}
    for assignment, server in owners.items():
        used[server] += loads[assignment]
    ratios = [used[candidate.server] / candidate.slots for candidate in candidates]
    return max(ratios) / (sum(used.values()) / sum(candidate.slots for candidate in candidates))


def permitted_imbalance(loads: dict[Assignment, float], candidates: list[Candidate]) -> float:
    """Return 1.15, or the ratio that the largest assignment alone causes on any server."""
    mean = sum(loads.values()) / sum(candidate.slots for candidate in candidates)
    largest = max(loads.values()) / max(candidate.slots for candidate in candidates)
    return max(1.15, largest / mean + 1e-9)


def place_all_shards(
    candidates: list[Candidate],
    loads: dict[Assignment, float],
    settings: PlacementSettings = SETTINGS_WITHOUT_RAMP,
) -> tuple[Placement, ManualClock, dict[Assignment, str]]:
    clock = ManualClock()
    placement = Placement(clock, settings)
    owners = placement.plan(dict.fromkeys(SHARDS), candidates, loads)
    return placement, clock, owners


@pytest.mark.parametrize("seed", range(5))
def test_skewed_loads_stay_within_the_permitted_imbalance(seed: int) -> None:
    candidates, loads = servers(20), skewed_loads(seed)
    _, _, owners = place_all_shards(candidates, loads)
    assert imbalance(owners, loads, candidates) <= permitted_imbalance(loads, candidates)


def test_load_is_in_proportion_to_slots() -> None:
    candidates = [Candidate("small", 2), Candidate("large", 6)]
    _, _, owners = place_all_shards(candidates, {})
    assert sorted(owners.values()).count("large") == 192


@pytest.mark.parametrize("seed", range(5))
def test_a_lost_server_moves_little_more_than_its_own_shards(seed: int) -> None:
    candidates, loads = servers(20), skewed_loads(seed)
    placement, _, owners = place_all_shards(candidates, loads)
    lost = candidates[7].server
    remaining = [candidate for candidate in candidates if candidate.server != lost]
    owned = sum(server == lost for server in owners.values())
    current_owners = {
        assignment: None if server == lost else server for assignment, server in owners.items()
    }
    plan = placement.plan(current_owners, remaining, loads)
    assert owned <= len(plan) <= 1.2 * owned
    assert imbalance(owners | plan, loads, remaining) <= permitted_imbalance(loads, remaining)


def test_a_balanced_domain_is_left_alone() -> None:
    candidates, loads = servers(20), skewed_loads(1)
    placement, _, owners = place_all_shards(candidates, loads)
    varied_loads = {
        assignment: load * (1.0 + 0.02 * (assignment.shard % 2))
        for assignment, load in loads.items()
    }
    assert placement.plan(owners, candidates, varied_loads) == {}


def test_moves_for_balance_are_limited_per_minute() -> None:
    candidates = servers(4)
    settings = PlacementSettings(ramp_seconds=0.0, moves_per_minute=10)
    placement, clock, owners = place_all_shards(candidates, {}, settings)
    loads = {shard: 10.0 if owners[shard] == "s00" else 1.0 for shard in SHARDS}
    assert len(placement.plan(owners, candidates, loads)) == 10
    assert placement.plan(owners, candidates, loads) == {}
    clock.advance(61.0)
    assert len(placement.plan(owners, candidates, loads)) == 10


def test_a_draining_server_is_emptied_despite_the_limit() -> None:
    candidates = servers(4)
    settings = PlacementSettings(ramp_seconds=0.0, moves_per_minute=0)
    placement, _, owners = place_all_shards(candidates, {}, settings)
    candidates[2].draining = True
    plan = placement.plan(owners, candidates, {})
    assert sorted(plan) == sorted(shard for shard in SHARDS if owners[shard] == "s02")
    assert "s02" not in plan.values()


def test_a_new_server_gets_its_share_step_by_step() -> None:
    settings = PlacementSettings(
        ramp_seconds=10.0, initial_weight_ratio=0.25, moves_per_minute=1000
    )
    placement, clock, owners = place_all_shards(servers(4), {}, settings)
    counts = []
    for _ in range(12):
        clock.advance(1.0)
        owners |= placement.plan(owners, servers(5), {})
        counts.append(sum(server == "s04" for server in owners.values()))
    assert counts[0] < 25
    assert 0 < counts[5] < counts[-1]
    assert counts == sorted(counts)
    # Each of the four others keeps at most 1.08 times the mean of 51.2.
    assert counts[-1] >= 256 - 4 * 55.3


def test_nothing_is_planned_without_servers() -> None:
    assert Placement(ManualClock(), SETTINGS_WITHOUT_RAMP).plan(dict.fromkeys(SHARDS), [], {}) == {}


@pytest.mark.parametrize("place", [modulo_hashing, consistent_hashing, rendezvous_hashing])
def test_baselines_are_deterministic(place) -> None:
    names = [candidate.server for candidate in servers(20)]
    first = place(SHARDS, names)
    assert set(first) == set(SHARDS)
    assert place(SHARDS, list(reversed(names))) == first


@pytest.mark.parametrize("place", [consistent_hashing, rendezvous_hashing])
def test_hashing_baselines_move_only_the_shards_of_a_lost_server(place) -> None:
    names = [candidate.server for candidate in servers(20)]
    before, after = place(SHARDS, names), place(SHARDS, names[1:])
    assert all(before[shard] == after[shard] for shard in SHARDS if before[shard] != names[0])


def test_rates_that_vary_around_the_same_mean_move_few_shards() -> None:
    rng = random.Random(3)
    candidates = servers(7)
    settings = PlacementSettings(ramp_seconds=0.0, hysteresis=0.05, moves_per_minute=10_000)
    moved = []
    for smoothing in (0.0, settings.smoothing_seconds):
        settings.smoothing_seconds = smoothing
        placement, clock, owners = place_all_shards(
            candidates, dict.fromkeys(SHARDS, 3.0), settings
        )
        count = 0
        for _ in range(120):
            clock.advance(1.0)
            rates = {shard: rng.gammavariate(9.0, 1.0 / 3.0) for shard in SHARDS}
            plan = placement.plan(owners, candidates, rates)
            owners |= plan
            count += len(plan)
        moved.append(count)
    assert moved[1] * 5 < moved[0]


def test_a_lasting_change_of_load_is_followed() -> None:
    candidates = servers(4)
    settings = PlacementSettings(ramp_seconds=0.0, smoothing_seconds=10.0, moves_per_minute=10_000)
    placement, clock, owners = place_all_shards(candidates, dict.fromkeys(SHARDS, 1.0), settings)
    loads = {shard: 3.0 if owners[shard] == "s00" else 1.0 for shard in SHARDS}
    for _ in range(60):
        clock.advance(1.0)
        owners |= placement.plan(owners, candidates, loads)
    assert imbalance(owners, loads, candidates) <= 1.15


def test_an_isolated_key_is_moved_rather_than_a_shard_of_the_same_load() -> None:
    key = Assignment("stock", 0, "roll-1")
    owners: dict[Assignment, str | None] = {
        assignment: f"s{assignment.shard % 2:02}" for assignment in SHARDS
    }
    owners[key] = "s00"
    loads = dict.fromkeys(SHARDS, 1.0) | {key: 40.0, SHARDS[2]: 40.0}
    plan = Placement(ManualClock(), SETTINGS_WITHOUT_RAMP).plan(owners, servers(2), loads)
    assert plan == {key: "s01"}


@pytest.mark.parametrize(
    ("slots", "loads", "shards", "expected"),
    [
        ({"a": 10, "b": 10}, {"a": 50.0, "b": 50.0}, {"a": 5, "b": 5}, {"a": 10000, "b": 10000}),
        # The mean load of a shard is 11 in a, 9 in b and 10 overall.
        ({"a": 10, "b": 10}, {"a": 55.0, "b": 45.0}, {"a": 5, "b": 5}, {"a": 9091, "b": 11111}),
        # A domain without shards has no measured load.
        ({"a": 10, "b": 10}, {"a": 50.0}, {"a": 5}, {"a": 10000, "b": 10000}),
        ({"a": 10, "b": 10}, {"a": 99.0, "b": 1.0}, {"a": 5, "b": 5}, {"a": 8000, "b": 12500}),
        ({"a": 0, "b": 10}, {}, {}, {"a": 0, "b": 10000}),
    ],
)
def test_domains_with_heavy_shards_weigh_less_within_bounds(
    slots: dict[str, int],
    loads: dict[str, float],
    shards: dict[str, int],
    expected: dict[str, int],
) -> None:
    assert weighted_slots(slots, loads, shards) == expected


def test_small_imbalance_moves_keys_but_no_shards() -> None:
    keys = [Assignment("stock", 0, f"roll-{number}") for number in range(4)]
    owners: dict[Assignment, str | None] = {
        assignment: f"s{assignment.shard % 2:02}" for assignment in SHARDS
    }
    loads = dict.fromkeys(SHARDS, 1.0) | dict.fromkeys(keys, 3.0)
    settings = PlacementSettings(ramp_seconds=0.0, hysteresis=0.08, key_hysteresis=0.03)
    # One server has load 140, the other 128: the higher one is 4.5% above the mean.
    plan = Placement(ManualClock(), settings).plan(
        owners | dict.fromkeys(keys, "s00"), servers(2), loads
    )
    assert plan
    assert all(assignment.key is not None for assignment in plan)
    heavy = loads | {SHARDS[0]: 13.0}
    assert Placement(ManualClock(), settings).plan(owners, servers(2), heavy) == {}
