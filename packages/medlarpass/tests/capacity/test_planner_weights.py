from __future__ import annotations

import pytest

from medlarpass.capacity import CapacityWeights
from medlarpass.capacity import ServerCapacity
from medlarpass.capacity import limit_cold_weights


def report(capacity: ServerCapacity, identity: str, seconds: float) -> None:
    """Report responses of a server with 3 slots."""
    capacity.add(identity, 10, 10 * seconds)


def test_weights_follow_the_capacity() -> None:
    """Guards against equal keys for servers of different speed, and none for an unknown one."""
    capacity = ServerCapacity()
    for identity, seconds in (("fast", 0.2), ("usual", 0.3), ("slow", 0.6)):
        report(capacity, identity, seconds)
    weights = CapacityWeights(capacity)
    slots = dict.fromkeys(("fast", "usual", "slow", "unknown"), 3)
    weights.update(slots)
    assert weights.weights(slots) == [pytest.approx(rate) for rate in (15.0, 10.0, 5.0, 10.0)]


def test_a_figure_far_from_the_others_is_bounded() -> None:
    """Guards against a server that gets all keys, or none, because of a few odd responses."""
    capacity = ServerCapacity()
    for identity, seconds in (("a", 0.3), ("b", 0.3), ("c", 0.3), ("odd", 0.0001), ("late", 60.0)):
        report(capacity, identity, seconds)
    weights = CapacityWeights(capacity)
    slots = dict.fromkeys(("a", "b", "c", "odd", "late"), 3)
    weights.update(slots)
    assert weights.weights(slots)[3:] == [pytest.approx(25.0), pytest.approx(3.0)]


def test_before_the_first_responses_the_slots_count() -> None:
    """Guards against weights of 0 at the start of a leader."""
    weights = CapacityWeights(ServerCapacity())
    weights.update({"a": 3, "b": 6})
    assert weights.weights({"a": 3, "b": 6}) == [3.0, 6.0]


def test_an_estimate_of_one_period_has_little_effect() -> None:
    """Guards against keys that move because of the varying times of a few requests."""
    capacity = ServerCapacity()
    report(capacity, "a", 0.3)
    weights = CapacityWeights(capacity)
    weights.update({"a": 3})
    report(capacity, "a", 0.6)
    weights.update({"a": 3})
    assert weights.weights({"a": 3})[0] > 9.0
    assert weights.rates.keys() == {"a"}
    weights.update({})
    assert not weights.rates


def test_cold_servers_get_keys_up_to_their_limit() -> None:
    """Guards against a cold server whose keys get more requests than it can handle."""
    demand = 80.0
    weights = limit_cold_weights([3.0] * 10, [True, True, *[False] * 8], 4.0, demand)
    shares = [weight / sum(weights) * demand for weight in weights]
    assert shares[:2] == [pytest.approx(3.0)] * 2
    assert shares[2:] == [pytest.approx(74 / 8)] * 8


@pytest.mark.parametrize(("is_cold", "demand"), [([True, True], 80.0), ([True, False], 1.0)])
def test_without_warm_servers_or_demand_the_weights_stay(
    is_cold: list[bool], demand: float
) -> None:
    """Guards against keys without an owner when all servers are cold."""
    assert limit_cold_weights([3.0, 3.0], is_cold, 4.0, demand) == [3.0, 3.0]
