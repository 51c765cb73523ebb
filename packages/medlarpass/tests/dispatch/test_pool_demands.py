"""Tests of the counts of requests for pools."""

from __future__ import annotations

import pytest

from medlarpass.dispatch import DemandCounter
from medlarpass.dispatch import PoolDemands


def test_counts_of_a_report_are_reset_and_keep_domain_and_priority() -> None:
    """Guards against counts that are reported twice or merged over domains by a relay."""
    entry, relay = DemandCounter(), DemandCounter()
    entry.count("stock", "a", 0)
    entry.count("stock", "a", 0)
    entry.count("stock", "a", 2)
    for demand in entry.pop_counts():
        relay.add(demand)
    relay.count("stock", "b", 0)
    assert entry.pop_counts() == []
    assert {
        (demand.pool, demand.domain, demand.priority): demand.requests
        for demand in relay.pop_counts()
    } == {("stock", "a", 0): 2, ("stock", "a", 2): 1, ("stock", "b", 0): 1}


def test_a_steady_demand_is_measured_in_requests_per_second() -> None:
    """Guards against rates whose unit depends on the decay: 50 requests in each half second."""
    counter, demands = DemandCounter(), PoolDemands()
    for _ in range(40):
        for index in range(50):
            counter.count("stock", "ab"[index % 2], index % 2)
        for demand in counter.pop_counts():
            demands.add(demand)
        demands.apply_decay()
    assert demands.rates_by_domain("stock") == pytest.approx({"a": 50.0, "b": 50.0}, rel=0.01)
    assert demands.rates_by_priority("stock") == pytest.approx({0: 50.0, 1: 50.0}, rel=0.01)
    assert demands.rates_by_domain("orders") == {}
