"""Guards against wrong figures of churn, balance or slope due to a faulty model."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from medlarpass.ownership import Assignment
from tools.measure.deployment import BUNGKUS
from tools.measure.fleet import Fleet
from tools.measure.key_load import POOL
from tools.measure.key_load import SHARD_COUNT
from tools.measure.key_load import KeyLoad
from tools.measure.options import Options
from tools.measure.placement import LOSS_GAP_SECONDS
from tools.measure.placement import MOVE_GAP_SECONDS
from tools.measure.placement import SETTLING_SECONDS
from tools.measure.placement import PlacementStatistics
from tools.measure.slope import fit_line

if TYPE_CHECKING:
    from tools.measure.placement_model import Owners

DOMAINS = {"s0": 0, "s1": 1, "s2": 2}


@pytest.fixture(scope="module")
def load() -> KeyLoad:
    return KeyLoad(Options(1, quick=True), BUNGKUS, SETTLING_SECONDS + 3)


def spread(servers: list[str]) -> Owners:
    return {Assignment(POOL, shard): servers[shard % len(servers)] for shard in range(SHARD_COUNT)}


def test_keys_of_a_lost_server_are_the_least_churn_and_miss_a_session(load: KeyLoad) -> None:
    statistics, before = PlacementStatistics(load, DOMAINS), spread(["s0", "s1", "s2"])
    after = {assignment: "s1" if owner == "s0" else owner for assignment, owner in before.items()}
    statistics.add(SETTLING_SECONDS, set(DOMAINS), set(DOMAINS), before)
    statistics.moved_keys = statistics.unowned_key_seconds = statistics.min_moved_keys = 0.0
    statistics.add(SETTLING_SECONDS + 1, {"s1", "s2"}, {"s1", "s2"}, after)
    lost = sum(
        load.keys_of_shard[assignment.shard]
        for assignment, owner in before.items()
        if owner == "s0"
    )
    assert statistics.figures()["churn"] == 1.0
    assert statistics.unowned_key_seconds == pytest.approx(lost * LOSS_GAP_SECONDS)


def test_planned_move_counts_as_churn_with_a_short_gap(load: KeyLoad) -> None:
    statistics, before = PlacementStatistics(load, DOMAINS), spread(["s0", "s1", "s2"])
    after = before | {Assignment(POOL, 0): "s1"}
    statistics.add(SETTLING_SECONDS, set(DOMAINS), set(DOMAINS), before)
    statistics.moved_keys = statistics.unowned_key_seconds = 0.0
    statistics.add(SETTLING_SECONDS + 1, set(DOMAINS), set(DOMAINS), after)
    assert statistics.moved_keys == load.keys_of_shard[0]
    assert statistics.unowned_key_seconds == pytest.approx(load.keys_of_shard[0] * MOVE_GAP_SECONDS)


def test_isolated_key_loads_its_own_owner_and_counts_as_one_key(load: KeyLoad) -> None:
    key, rate = max(load.hot_rates[SETTLING_SECONDS].items(), key=lambda item: item[1])
    shard_owners = dict.fromkeys((Assignment(POOL, shard) for shard in range(SHARD_COUNT)), "s0")
    isolated_owners = shard_owners | {Assignment(POOL, load.shard_of_key[key], key): "s1"}
    statistics = PlacementStatistics(load, DOMAINS)
    statistics.add(SETTLING_SECONDS, set(DOMAINS), set(DOMAINS), shard_owners)
    statistics.moved_keys = 0.0
    statistics.add(SETTLING_SECONDS + 1, set(DOMAINS), set(DOMAINS), isolated_owners)
    assert statistics.moved_keys == 1
    total_rate = sum(load.tail_rates) + sum(load.hot_rates[SETTLING_SECONDS + 1].values())
    moved_rate = load.hot_rates[SETTLING_SECONDS + 1].get(key, 0.0)
    assert statistics.ratios[1] == pytest.approx(3.0 * (total_rate - moved_rate) / total_rate)
    assert rate > 0


def test_load_is_the_same_for_the_same_seed(load: KeyLoad) -> None:
    again = KeyLoad(Options(1, quick=True), BUNGKUS, SETTLING_SECONDS + 3)
    assert again.hot_rates == load.hot_rates
    assert [measured.hot_rates for measured in again.measured_loads[-1]] == [
        measured.hot_rates for measured in load.measured_loads[-1]
    ]


def test_stopped_server_drains_before_it_leaves_and_comes_back() -> None:
    fleet = Fleet(BUNGKUS, 90)
    fleet.stop_and_start(Options(1, quick=True))
    assert len(fleet.members_by_second[30]) == 19
    assert sum(member.draining for member in fleet.members_by_second[60].values()) == 1
    assert len(fleet.members_by_second[63]) == 19
    assert len(fleet.members_by_second[89]) == 20


def test_line_through_exact_points_has_their_slope_and_a_full_fit() -> None:
    assert fit_line([(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]) == pytest.approx((2.0, 1.0))
