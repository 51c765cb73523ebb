"""Tests of the leader's plan for pools without owners."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from medlarpass import ManualClock
from medlarpass.control import ControlState
from medlarpass.fleet import ServerHeartbeat
from medlarpass.publication import Publication
from medlarpass.rpc import control_pb2
from medlarpass.rpc import fleet_pb2
from medlarpass_daemon.control.fleet import events
from medlarpass_daemon.control.fleet.fleet_state import FleetState
from medlarpass_daemon.control.fleet.traffic_planner import TrafficPlanner
from medlarpass_daemon.observability import Metrics

#: Requests per second that each server of the pool can handle.
SERVER_RATE = 10.0


class KnownCapacity:
    """Capacity estimate that knows every server."""

    def rate_of(self, identity: str, slots: int) -> float | None:
        return SERVER_RATE


class Planner:
    """A leader with four servers in each of three domains, led since 10 s."""

    def __init__(self, domain_routing: bool = True) -> None:
        self.clock = ManualClock(1000.0)
        state = ControlState()
        publication = Publication.from_document(
            {
                "version": 1,
                "key_header": "Key",
                "routes": [],
                "pools": [
                    {
                        "name": "images",
                        "owned": False,
                        "connections": 100,
                        "warmup_rate": 2.0,
                    },
                    {"name": "stock", "owned": True, "connections": 100},
                ],
                "limits": {},
            }
        )
        state.publication = control_pb2.Publish(version=1, document=publication.to_json())
        self.fleet = FleetState(state, self.clock)
        self.start_term(3)
        settings: Any = SimpleNamespace(
            domain_routing=domain_routing, heartbeat=0.5, silent_after=3
        )
        self.metrics = Metrics()
        self.planner = TrafficPlanner(self.fleet, settings, self.clock, self.metrics)
        self.planner.start_term()
        self.sequence = 0
        self.silent_domains: set[str] = set()

    def start_term(self, term: int) -> None:
        """Start a term with a capacity estimate that knows every server."""
        self.fleet.start_term(term)
        capacity: Any = KnownCapacity()
        self.fleet.capacity = capacity

    def run(self, demand: dict[str, float], seconds: float, pool: str = "images") -> None:
        """Advance in report periods with the given requests per second by domain."""
        for _ in range(round(seconds / 0.5)):
            self.clock.advance(0.5)
            self.sequence += 1
            for number in range(12):
                domain = "abc"[number % 3]
                if domain not in self.silent_domains:
                    self.fleet.directory.record_heartbeat(self.heartbeat(number, domain))
            for domain, rate in demand.items():
                self.fleet.demands.add(
                    fleet_pb2.PoolDemand(pool=pool, domain=domain, requests=round(rate / 2))
                )
            self.fleet.demands.apply_decay()
            self.planner.update()

    def heartbeat(self, number: int, domain: str) -> ServerHeartbeat:
        return ServerHeartbeat(
            f"s{number}", 1, self.sequence, "images", "10.0.0.1", number + 1, domain, 3, False, 0.0
        )

    @property
    def shares(self) -> dict[str, dict[str, float]]:
        """Shares sent for the pool."""
        shares: dict[str, dict[str, float]] = {}
        for item in self.fleet.traffic_plan.shares:
            assert item.pool == "images"
            shares.setdefault(item.entry_domain, {})[item.server_domain] = item.share / 1000
        return shares

    def share_leaving(self, domain: str) -> float | None:
        return self.metrics.registry.get_sample_value(
            "medlarpass_domain_share_leaving", {"pool": "images", "domain": domain}
        )


def test_a_burst_in_one_domain_leaves_it_and_returns() -> None:
    """Guards against 1.4 times the load at some servers while those of other domains are idle."""
    leader = Planner()
    leader.run({"a": 20.0, "b": 20.0, "c": 20.0}, 4.0)
    assert leader.shares == {}
    leader.run({"a": 48.0, "b": 16.0, "c": 16.0}, 3.0)
    assert sum(leader.shares["a"].values()) >= 0.1
    leader.run({"a": 48.0, "b": 16.0, "c": 16.0}, 7.0)
    assert leader.shares.keys() == {"a"}
    assert sum(leader.shares["a"].values()) == pytest.approx(1 / 3, abs=0.05)
    assert leader.share_leaving("a") == pytest.approx(sum(leader.shares["a"].values()))
    leader.run({"a": 20.0, "b": 20.0, "c": 20.0}, 10.0)
    assert leader.shares == {}


def test_the_admissions_of_the_period_stay_in_the_plan() -> None:
    """Guards against a limit of an overloaded pool that ends when the shares change."""
    leader = Planner()
    admission = fleet_pb2.PoolAdmission(pool="images", priority=2, admitted=400)
    leader.fleet.traffic_plan = fleet_pb2.TrafficPlan(admissions=[admission])
    leader.run({"a": 48.0, "b": 16.0, "c": 16.0}, 6.0)
    assert leader.shares.keys() == {"a"}
    assert list(leader.fleet.traffic_plan.admissions) == [admission]


def test_a_steady_demand_is_not_sent_again() -> None:
    """Guards against an update to all entries in each period."""
    leader = Planner()
    leader.run({"a": 48.0, "b": 16.0, "c": 16.0}, 20.0)
    plan = leader.fleet.traffic_plan
    changed = leader.fleet.changed
    leader.run({"a": 48.0, "b": 16.0, "c": 16.0}, 5.0)
    assert leader.fleet.traffic_plan is plan
    assert leader.fleet.changed is changed


def test_a_silent_domain_gets_no_requests_and_its_entries_send_elsewhere() -> None:
    """Guards against shares for servers that were lost or cut off with their domain."""
    leader = Planner()
    leader.run({"a": 48.0, "b": 16.0, "c": 16.0}, 8.0)
    leader.silent_domains = {"b"}
    leader.run({"a": 20.0, "b": 8.0, "c": 8.0}, 2.5)
    assert sum(leader.shares["b"].values()) == pytest.approx(1.0)
    assert all("b" not in targets for targets in leader.shares.values())


def test_an_evacuated_domain_is_left_at_once() -> None:
    """Guards against shares that are damped while no request may reach a domain."""
    leader = Planner()
    demand = {"a": 20.0, "b": 20.0, "c": 20.0}
    leader.run(demand, 4.0)
    leader.fleet.state.tables.evacuated_domains.add("b")
    leader.run(demand, 0.5)
    assert leader.shares.keys() == {"b"}
    assert leader.shares["b"] == pytest.approx({"a": 0.5, "c": 0.5})
    leader.fleet.state.tables.evacuated_domains.clear()
    leader.run(demand, 10.0)
    assert leader.shares == {}


def test_cold_servers_count_with_their_limit() -> None:
    """Guards against requests that stay in a domain whose servers have just returned."""
    leader = Planner()
    demand = {"a": 20.0, "b": 20.0, "c": 20.0}
    leader.run(demand, 4.0)
    assert leader.shares == {}
    for member in leader.fleet.directory.members.values():
        if member.heartbeat.domain == "b":
            member.cold.update(60.0, leader.clock.now())
    leader.run(demand, 8.0)
    # Four servers at 0.75 of two requests a second, used up to 0.8, take 4.8 of 20 requests.
    assert sum(leader.shares["b"].values()) == pytest.approx(0.76, abs=0.05)


def test_a_new_leader_has_no_plan_until_entries_have_reported() -> None:
    """Guards against decisions on the first reports, and on those of an earlier leadership."""
    leader = Planner()
    leader.run({"a": 48.0, "b": 16.0, "c": 16.0}, 8.0)
    leader.start_term(4)
    leader.planner.start_term()
    leader.run({"a": 48.0, "b": 16.0, "c": 16.0}, 1.5)
    assert leader.shares == {}
    assert leader.planner.exact == {}
    leader.run({"a": 48.0, "b": 16.0, "c": 16.0}, 3.0)
    assert leader.shares.keys() == {"a"}


@pytest.mark.parametrize("pool", ["stock", "unknown"])
def test_other_pools_and_deployments_have_no_plan(pool: str) -> None:
    """Guards against shares for owned keys, whose server is given, and without the setting."""
    leader = Planner()
    leader.run({"a": 480.0, "b": 16.0}, 6.0, pool)
    assert leader.shares == {}
    without_setting = Planner(domain_routing=False)
    without_setting.run({"a": 480.0, "b": 16.0}, 6.0)
    assert without_setting.shares == {}


def test_changes_are_logged_at_a_limited_rate(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a line for each step of a damped share."""
    lines: list[dict[str, Any]] = []
    recorded: Any = SimpleNamespace(log=lambda **fields: lines.append(fields))
    monkeypatch.setattr(events, "DOMAIN_SHARES_CHANGED", recorded)
    leader = Planner()
    leader.run({"a": 60.0, "b": 16.0, "c": 16.0}, 8.0)
    assert 1 <= len(lines) <= 2
    assert (lines[0]["domain"], lines[0]["reason"]) == (
        "a",
        "demand above the capacity of the domain",
    )
