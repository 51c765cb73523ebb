from __future__ import annotations

import random

import pytest

from medlarpass.capacity import PoolTraffic
from medlarpass.capacity import ServerAdmission
from medlarpass.capacity import ServerTraffic


def owned(
    offered: float,
    capacity: float | None = 10.0,
    steady: float | None = None,
    is_cold: bool = False,
    warmup_rate: float | None = None,
    is_known: bool = True,
    is_queueing: bool = True,
) -> PoolTraffic:
    """Return a pool with one server that owns keys."""
    load = offered if steady is None else steady
    server = ServerTraffic("a", 3, is_cold, capacity, offered, load, is_queueing)
    return PoolTraffic("p", True, warmup_rate, [server], is_known=is_known)


def without_owners(
    cold: int, warm: int, demand: float, warmup_rate: float | None = 4.0, is_known: bool = True
) -> PoolTraffic:
    """Return a pool without owners."""
    servers = [ServerTraffic(f"c{number}", 3, True) for number in range(cold)]
    servers += [ServerTraffic(f"w{number}", 3, False) for number in range(warm)]
    return PoolTraffic("p", False, warmup_rate, servers, demand, is_known)


def test_an_overloaded_server_gets_what_it_can_handle() -> None:
    """Guards against the rejections of a server whose keys get 16% of a pool's requests."""
    admission = ServerAdmission()
    assert admission.update(owned(84.0), limits_overload=True)
    assert admission.sent["a"] * 84.0 == pytest.approx(9.5, rel=0.06)


def test_overload_is_only_limited_on_request() -> None:
    """Guards against refusals in deployments without the setting."""
    admission = ServerAdmission()
    assert not admission.update(owned(84.0), limits_overload=False)
    assert not admission.sent


def test_random_variation_of_a_busy_server_causes_no_refusals() -> None:
    """Guards against refusals at nine tenths of the capacity, where single seconds exceed it."""
    rng = random.Random(3)
    admission = ServerAdmission()
    limited = 0
    for _ in range(2000):
        admission.update(owned(rng.gauss(9.0, 1.5), steady=9.0), limits_overload=True)
        limited += bool(admission.sent)
    assert limited < 20


def test_the_limit_ends_below_nine_tenths_of_the_capacity() -> None:
    """Guards against limits that begin and end in turn at a load close to the capacity."""
    admission = ServerAdmission()
    admission.update(owned(30.0), limits_overload=True)
    for _ in range(20):
        admission.update(owned(9.8), limits_overload=True)
    assert "a" in admission.held_capacity
    for _ in range(20):
        admission.update(owned(8.0), limits_overload=True)
    assert not admission.held_capacity
    assert not admission.sent


def test_the_limit_does_not_follow_its_own_effect() -> None:
    """Guards against a limited server whose completions lower its estimate and so its limit."""
    admission = ServerAdmission()
    admission.update(owned(20.0, capacity=10.0), limits_overload=True)
    for _ in range(8):
        completed = admission.sent["a"] * 20.0
        admission.update(owned(20.0, capacity=completed), limits_overload=True)
    assert admission.sent["a"] * 20.0 > 8.5


def test_a_limit_grows_while_no_request_queues() -> None:
    """Guards against a server that stays limited to the few requests that it still completes."""
    admission = ServerAdmission()
    admission.update(owned(20.0, capacity=10.0), limits_overload=True)
    for _ in range(40):
        completed = admission.sent.get("a", 1.0) * 11.0
        admission.update(owned(11.0, capacity=completed, is_queueing=False), limits_overload=True)
    assert not admission.sent


def test_a_server_of_unknown_capacity_is_not_limited() -> None:
    """Guards against refusals for a server that has just joined."""
    admission = ServerAdmission()
    assert not admission.update(owned(30.0, capacity=None), limits_overload=True)


def test_a_cold_owner_gets_three_quarters_of_its_rate() -> None:
    """Guards against a cold server that crashes under the usual load of its keys."""
    admission = ServerAdmission()
    cold = owned(8.0, is_cold=True, warmup_rate=4.0)
    assert admission.update(cold, limits_overload=False)
    assert admission.sent["a"] * 8.0 == pytest.approx(3.0, rel=0.06)
    warm = owned(8.0, warmup_rate=4.0)
    assert admission.update(warm, limits_overload=False)
    assert not admission.sent


def test_keys_that_have_moved_to_a_cold_server_count_at_once() -> None:
    """Guards against full shares for a cold server that has just been given keys."""
    admission = ServerAdmission()
    admission.update(owned(0.0, is_cold=True, warmup_rate=4.0), limits_overload=False)
    moved = owned(1.0, steady=8.0, is_cold=True, warmup_rate=4.0)
    admission.update(moved, limits_overload=False)
    assert admission.sent["a"] <= 3.0 / 8.0


def test_a_new_leader_limits_cold_servers_without_figures() -> None:
    """Guards against full load for a cold server until the demand is known."""
    admission = ServerAdmission()
    cold = owned(0.0, is_cold=True, warmup_rate=4.0, is_known=False)
    admission.update(cold, limits_overload=True)
    assert admission.sent["a"] <= 0.25
    admission.update(without_owners(1, 9, 0.0, is_known=False), limits_overload=True)
    assert admission.sent["c0"] <= 4.0 / (10 * 3 * 4)


def test_small_changes_are_not_sent() -> None:
    """Guards against a message to all entries at each decision, four times a second.

    The rate of a pool of 500 requests a second varies by 5%.
    """
    rng = random.Random(5)
    admission = ServerAdmission()
    changes = sum(
        admission.update(
            owned(rng.gauss(100.0, 5.0), steady=100.0, is_cold=True, warmup_rate=4.0),
            limits_overload=False,
        )
        for _ in range(200)
    )
    assert changes < 20


def test_cold_servers_without_owners_share_the_demand_with_warm_ones() -> None:
    """Guards against more requests for a cold server than for a warm one when demand is low."""
    admission = ServerAdmission()
    admission.update(without_owners(2, 8, demand=100.0), limits_overload=False)
    assert set(admission.sent) == {"c0", "c1"}
    assert admission.sent["c0"] * 100.0 == pytest.approx(3.0, rel=0.06)
    admission = ServerAdmission()
    admission.update(without_owners(2, 8, demand=1.0), limits_overload=False)
    assert admission.sent["c0"] <= 0.1


def test_a_pool_of_cold_servers_is_limited_to_their_rates() -> None:
    """Guards against a pool that crashes as a whole after its servers restarted together."""
    admission = ServerAdmission()
    admission.update(without_owners(10, 0, demand=100.0), limits_overload=False)
    assert sum(admission.sent.values()) * 100.0 == pytest.approx(30.0, rel=0.06)


def test_a_dip_of_the_demand_does_not_raise_the_shares() -> None:
    """Guards against shares that are too high when the demand returns after a second."""
    admission = ServerAdmission()
    admission.update(without_owners(1, 9, demand=100.0), limits_overload=False)
    for _ in range(4):
        admission.update(without_owners(1, 9, demand=30.0), limits_overload=False)
    assert admission.sent["c0"] * 100.0 < 4.0


def test_without_a_warmup_rate_nothing_is_limited() -> None:
    """Guards against limits in deployments that publish no rate."""
    admission = ServerAdmission()
    assert not admission.update(owned(80.0, is_cold=True), limits_overload=False)
    assert not admission.update(without_owners(5, 5, 100.0, None), limits_overload=False)
