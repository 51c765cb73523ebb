"""Limits that a leader sets on overloaded pools.

The load is a pool of 10 servers that serve 10 requests a second each, with two routes of different
priority that together get 1.8 times that. The failures: a new leader, and unknown capacities.
"""

from __future__ import annotations

import asyncio

from functools import partial
from types import SimpleNamespace
from typing import TYPE_CHECKING
from typing import Any

import pytest

from medlarpass import ManualClock
from medlarpass.control import ControlState
from medlarpass.fleet import ServerHeartbeat
from medlarpass.publication import Publication
from medlarpass.rpc import control_pb2
from medlarpass.rpc import fleet_pb2
from medlarpass_daemon.control.fleet import range_keeper
from medlarpass_daemon.control.fleet.fleet_state import FleetState
from medlarpass_daemon.control.fleet.pool_admission_planner import PERIOD_SECONDS
from medlarpass_daemon.control.fleet.pool_admission_planner import PoolAdmissionPlanner

if TYPE_CHECKING:
    from collections.abc import Callable

POOL = "stock"
SERVER_COUNT = 10
SERVER_RATE = 10.0


def route(name: str, priority: int, target: float) -> dict[str, Any]:
    return {
        "name": name,
        "host": "h",
        "prefix": f"/{name}/",
        "class": "enquiry",
        "timeout": 11.0,
        "target": target,
        "priority": priority,
        "attempts": 2,
        "shares": [{"pool": POOL, "weight": 1}],
    }


class LeaderSimulation:
    """A leader with reports of demand, without a network."""

    def __init__(self) -> None:
        self.clock = ManualClock(1000.0)
        self.state = ControlState()
        publication = Publication.from_document(
            {
                "version": 1,
                "key_header": "Key",
                "routes": [route("prices", 0, 2.5), route("reports", 4, 2.5)],
                "pools": [{"name": POOL, "owned": True, "connections": 100, "warmup_rate": 4.0}],
                "limits": {},
            }
        )
        self.state.publication = control_pb2.Publish(version=1, document=publication.to_json())
        self.fleet = FleetState(self.state, self.clock)
        settings: Any = SimpleNamespace(heartbeat=0.5, silent_after=3)
        self.known_servers = SERVER_COUNT
        self.planner = PoolAdmissionPlanner(self.fleet, settings)
        self.sequence = 0
        self.start_term(1)

    def rate_of(self, identity: str, slots: int) -> float | None:
        return SERVER_RATE if int(identity[1:]) < self.known_servers else None

    def start_term(self, term: int) -> None:
        self.fleet.start_term(term)
        capacity: Any = SimpleNamespace(rate_of=self.rate_of)
        self.fleet.capacity = capacity
        self.heartbeats(SERVER_COUNT)

    def heartbeats(self, count: int) -> None:
        self.sequence += 1
        for number in range(count):
            heartbeat = ServerHeartbeat(
                f"s{number}", 1, self.sequence, POOL, "10.0.0.1", number + 1, "d", 3, False, 0.0
            )
            self.fleet.directory.record_heartbeat(heartbeat)

    def run(
        self,
        periods: int,
        demand: dict[int, float],
        servers: int = SERVER_COUNT,
        each: Callable[[], None] = lambda: None,
    ) -> list[fleet_pb2.PoolAdmission]:
        """Report the demand in requests per second for some periods; return the last limits."""
        for _ in range(periods):
            self.clock.advance(PERIOD_SECONDS)
            self.heartbeats(servers)
            for priority, rate in demand.items():
                self.fleet.demands.add(
                    fleet_pb2.PoolDemand(
                        pool=POOL,
                        domain="d",
                        priority=priority,
                        requests=round(rate * PERIOD_SECONDS),
                    )
                )
            self.fleet.demands.apply_decay()
            self.planner.apply()
            each()
        return list(self.fleet.traffic_plan.admissions)


@pytest.fixture
def leader() -> LeaderSimulation:
    return LeaderSimulation()


USUAL = {0: 50.0, 4: 30.0}
OVERLOAD = {0: 90.0, 4: 90.0}


def test_the_usual_demand_is_not_limited(leader: LeaderSimulation) -> None:
    """Guards against limits without an overload."""
    assert leader.run(60, USUAL) == []


def test_the_lower_priority_is_limited_and_keeps_a_floor(leader: LeaderSimulation) -> None:
    """Guards against refusals of the important route, and against a starved one."""
    leader.run(20, USUAL)
    limits = leader.run(12, OVERLOAD)
    by_priority = {limit.priority: limit for limit in limits}
    assert 4 in by_priority
    assert by_priority[0].admitted > 900 if 0 in by_priority else True
    assert 100 <= by_priority[4].admitted < 400
    assert 625 <= by_priority[4].retry_after_ms <= 3750
    assert leader.run(30, USUAL) == []


def test_the_shares_of_domains_in_the_same_plan_are_kept(leader: LeaderSimulation) -> None:
    """Guards against a limit that ends the distribution over domains, and the reverse."""
    share = fleet_pb2.DomainShare(pool=POOL, entry_domain="a", server_domain="b", share=100)
    leader.fleet.traffic_plan = fleet_pb2.TrafficPlan(shares=[share])
    sent = leader.fleet.traffic_plan
    leader.run(8, USUAL)
    assert leader.run(12, OVERLOAD)
    assert list(leader.fleet.traffic_plan.shares) == [share]
    # The feed has the earlier message and compares it with the new one.
    assert not sent.admissions


def test_an_estimate_that_falls_with_a_queue_is_followed_slowly(leader: LeaderSimulation) -> None:
    """Guards against a limit that lowers the completions, and with them the capacity, ever more.

    The estimate of servers that report no load falls to a half while requests wait there.
    """
    leader.run(8, USUAL)
    capacity: Any = SimpleNamespace(rate_of=lambda identity, slots: SERVER_RATE / 2)
    leader.fleet.capacity = capacity
    assert leader.run(16, USUAL) == []
    assert leader.planner.peaks[POOL].rate * 3 == pytest.approx(SERVER_RATE, rel=0.05)


def test_servers_of_an_evacuated_domain_have_no_capacity(leader: LeaderSimulation) -> None:
    """Guards against a full admission to a pool whose servers mostly get no requests."""
    assert leader.planner.capacity_of(POOL) == SERVER_COUNT * SERVER_RATE
    leader.state.tables.evacuated_domains.add("d")
    assert leader.planner.capacity_of(POOL) is None


def test_cold_servers_count_with_what_entries_send_to_them(leader: LeaderSimulation) -> None:
    """Guards against requests that wait for servers that are cold after an evacuation."""
    for number in range(4):
        leader.fleet.directory.members[f"s{number}"].cold.update(10.0, leader.clock.now())
    assert leader.planner.capacity_of(POOL) == 6 * SERVER_RATE + 4 * 3.0
    for member in leader.fleet.directory.members.values():
        member.cold.update(10.0, leader.clock.now())
    assert leader.planner.capacity_of(POOL) == 10 * 3.0


async def test_the_leader_plans_only_where_the_setting_asks_for_it(
    new_simulation: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against limits in deployments without the setting, and a plan that is never made."""
    monkeypatch.setattr(range_keeper, "LOAD_PERIOD_SECONDS", 0.001)
    keeper = new_simulation(1).keeper
    for is_on in (False, True):
        plans: list[bool] = []
        keeper.admission = SimpleNamespace(apply=partial(plans.append, is_on))
        keeper.settings.pool_admission = is_on
        task = asyncio.create_task(keeper._decay_loads())
        await asyncio.sleep(0.05)
        task.cancel()
        assert bool(plans) is is_on


def test_silent_servers_have_no_capacity(leader: LeaderSimulation) -> None:
    """Guards against requests for servers that are gone: 3 of 10 are left for the usual demand."""
    leader.run(20, USUAL)
    assert leader.run(16, USUAL, servers=3)


@pytest.mark.parametrize(("known", "is_limited"), [(0, False), (4, False), (6, True)])
def test_a_capacity_that_is_mostly_unknown_limits_nothing(
    leader: LeaderSimulation, known: int, is_limited: bool
) -> None:
    """Guards against refusals by figures of a few servers."""
    leader.known_servers = known
    leader.run(8, USUAL)
    assert bool(leader.run(12, OVERLOAD)) is is_limited


def test_a_new_leader_begins_without_limits(leader: LeaderSimulation) -> None:
    """Guards against limits from the figures of an earlier term."""
    leader.run(8, USUAL)
    assert leader.run(12, OVERLOAD)
    leader.fleet.end_term()
    leader.start_term(3)
    assert not leader.fleet.traffic_plan.admissions
    assert leader.run(3, OVERLOAD) == []
    assert leader.run(8, OVERLOAD)


def test_a_steady_overload_is_sent_seldom(leader: LeaderSimulation) -> None:
    """Guards against a plan to all entries in each period."""
    leader.run(8, USUAL)
    leader.run(30, OVERLOAD)
    plans: list[fleet_pb2.TrafficPlan] = []
    leader.run(20, OVERLOAD, each=lambda: plans.append(leader.fleet.traffic_plan))
    assert len({id(plan) for plan in plans}) < 10
