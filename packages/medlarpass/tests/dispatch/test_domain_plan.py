"""Tests of the shares of requests that leave their failure domain."""

from __future__ import annotations

import pytest

from hypothesis import given
from hypothesis import strategies

from medlarpass.dispatch import DomainCapacity
from medlarpass.dispatch import DomainChoice
from medlarpass.dispatch import DomainFlows
from medlarpass.dispatch import DomainShares
from medlarpass.dispatch import plan_shares
from medlarpass.dispatch import rounded_shares

DOMAINS = ("a", "b", "c")
RATES = strategies.fixed_dictionaries({domain: strategies.floats(0.0, 500.0) for domain in DOMAINS})


def settled(demand: dict[str, float], capacity: dict[str, float]) -> DomainShares:
    """Return the shares after many periods of the same demand."""
    shares: DomainShares = {}
    for _ in range(60):
        shares = plan_shares(demand, capacity, shares)
    return shares


def loads(
    demand: dict[str, float], capacity: dict[str, float], shares: DomainShares
) -> dict[str, float]:
    """Return the utilisation of each domain under the given shares."""
    flows = DomainFlows(demand, capacity)
    for source, targets in shares.items():
        for target, share in targets.items():
            flows.add(source, target, share * demand[source])
    return {domain: flows.load_of(domain) / capacity[domain] for domain in capacity}


def test_requests_stay_at_home_up_to_four_fifths_of_the_capacity() -> None:
    """Guards against bytes between domains for waves that each domain can absorb itself."""
    capacity = dict.fromkeys(DOMAINS, 100.0)
    assert settled({"a": 79.0, "b": 20.0, "c": 50.0}, capacity) == {}


def test_the_excess_goes_where_there_is_spare_capacity_in_proportion_to_it() -> None:
    """Guards against a burst of 1.4 times the load in one domain that only fills one neighbour."""
    demand, capacity = {"a": 110.0, "b": 40.0, "c": 60.0}, dict.fromkeys(DOMAINS, 100.0)
    shares = settled(demand, capacity)
    assert shares.keys() == {"a"}
    assert shares["a"]["b"] == pytest.approx(2 * shares["a"]["c"], rel=0.05)
    assert loads(demand, capacity, shares)["a"] == pytest.approx(0.8, abs=0.01)


def test_busy_domains_get_more_only_from_an_overloaded_one() -> None:
    """Guards against traffic between domains whose queues are equally long."""
    capacity = dict.fromkeys(DOMAINS, 100.0)
    assert settled({"a": 95.0, "b": 85.0, "c": 90.0}, capacity) == {}
    demand = {"a": 120.0, "b": 85.0, "c": 90.0}
    utilisations = loads(demand, capacity, settled(demand, capacity))
    assert utilisations["a"] == pytest.approx(1.0, abs=0.02)
    assert max(utilisations["b"], utilisations["c"]) <= 1.0 + 1e-6


def test_domains_of_an_overloaded_pool_are_loaded_equally() -> None:
    """Guards against a full domain beside idle servers after all entries refuse a third.

    The limit of an overloaded pool is the same for the entries of all domains.
    """
    capacity = dict.fromkeys(DOMAINS, 100.0)
    demand = {"a": 200.0, "b": 130.0, "c": 120.0}
    utilisations = loads(demand, capacity, settled(demand, capacity))
    assert utilisations == pytest.approx(dict.fromkeys(DOMAINS, 1.5), abs=0.02)


def test_a_domain_without_servers_sends_everything_elsewhere_at_once() -> None:
    """Guards against damping while an evacuated domain must get no request."""
    capacity = {"a": 0.0, "b": 100.0, "c": 200.0}
    shares = plan_shares({"a": 30.0, "b": 20.0, "c": 40.0}, capacity, {"c": {"a": 0.4}})
    assert sum(shares["a"].values()) == pytest.approx(1.0)
    assert shares["a"]["c"] == pytest.approx(2 * shares["a"]["b"])
    assert "c" not in shares
    idle = plan_shares({"b": 20.0}, capacity, {})
    assert sum(idle["a"].values()) == pytest.approx(1.0)


def test_without_known_rates_only_domains_without_servers_send_elsewhere() -> None:
    """Guards against decisions on utilisation that compare requests per second with slots."""
    servers = DomainCapacity(DOMAINS)
    for _ in range(4):
        servers.add("b", 3, None)
    servers.add("c", 6, None)
    assert not servers.has_rates
    shares = plan_shares(
        {"a": 90.0, "b": 500.0}, servers.by_domain(), {}, has_rates=servers.has_rates
    )
    assert shares == {"a": pytest.approx({"b": 2 / 3, "c": 1 / 3})}


def test_an_unknown_demand_leaves_the_plan_empty() -> None:
    """Guards against shares of a former demand after all reports were lost."""
    assert plan_shares({}, {"a": 0.0, "b": 100.0}, {"a": {"b": 1.0}}) == {}
    assert rounded_shares({}, {"b": 1.0}) == {}


def test_shares_move_a_quarter_of_the_distance() -> None:
    """Guards against shares that overshoot, since the demand is known a second late."""
    demand, capacity = {"a": 160.0, "b": 0.0}, {"a": 100.0, "b": 100.0}
    first = plan_shares(demand, capacity, {})
    assert first["a"]["b"] == pytest.approx(0.25 * 0.5)
    second = plan_shares(demand, capacity, first)
    assert second["a"]["b"] == pytest.approx(0.125 + 0.25 * 0.375)
    falling = plan_shares({"a": 10.0, "b": 0.0}, capacity, second)
    assert falling["a"]["b"] == pytest.approx(0.75 * second["a"]["b"])


@given(demand=RATES, next_demand=RATES, capacity=RATES)
def test_no_domain_sends_and_receives(
    demand: dict[str, float], next_demand: dict[str, float], capacity: dict[str, float]
) -> None:
    """Guards against requests that cross while the wave of the load moves to the next domain."""
    shares: DomainShares = {}
    for current in (demand, demand, next_demand, next_demand):
        shares = plan_shares(current, capacity, shares)
        receivers = {target for targets in shares.values() for target in targets}
        assert not receivers & shares.keys()
        for targets in shares.values():
            assert sum(targets.values()) <= 1.0 + 1e-6
            assert all(capacity[target] > 0 for target in targets)


def test_unknown_servers_count_with_the_median_and_cold_ones_with_their_limit() -> None:
    """Guards against a domain that seems full because its servers were not measured yet."""
    servers = DomainCapacity(["evacuated"])
    servers.add("a", 3, 12.0)
    servers.add("a", 3, 6.0, max_rate=1.5)
    servers.add("b", 6, None)
    servers.add("b", 3, None, max_rate=20.0)
    assert servers.by_domain() == {"evacuated": 0.0, "a": 13.5, "b": 27.0}


def test_small_changes_are_not_sent() -> None:
    """Guards against an update to all entries each half second for a demand that varies a bit."""
    sent = rounded_shares({"b": 0.113}, {})
    assert sent == {"b": 0.12}
    assert rounded_shares({"b": 0.107}, sent) == sent
    assert rounded_shares({"b": 0.101}, sent) == {"b": 0.1}
    assert rounded_shares({"b": 0.004}, {"b": 0.02}) == {}


def test_rounded_shares_of_an_empty_domain_add_up_to_one() -> None:
    """Guards against a rest that rounding leaves to a domain without servers."""
    third = 1 / 3
    shares = rounded_shares({"b": third, "c": third, "d": third}, {"b": 0.32, "c": 0.34, "d": 0.32})
    assert sum(shares.values()) == pytest.approx(1.0)


def test_a_choice_follows_small_shares_from_any_phase() -> None:
    """Guards against a share of 2% that a random choice misses or doubles in 200 requests."""
    for phase in (0.0, 0.3, 0.99):
        choice = DomainChoice("a", {"b": 0.02, "c": 0.2}, phase)
        chosen = [choice.next() for _ in range(200)]
        assert (chosen.count("b"), chosen.count("c")) == (4, 40)
        choice.set_shares({"b": 1.0})
        assert {choice.next() for _ in range(60)} == {"b"}
    first_positions = {
        [choice.next() for _ in range(50)].index("b")
        for choice in (DomainChoice("a", {"b": 0.02}, phase / 10) for phase in range(10))
    }
    assert len(first_positions) >= 8
