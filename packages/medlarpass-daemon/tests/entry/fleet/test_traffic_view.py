"""Tests of an entry's view of the decisions on the traffic."""

from __future__ import annotations

from medlarpass import ManualClock
from medlarpass.rpc import fleet_pb2
from medlarpass_daemon.entry.fleet.traffic_view import TrafficView

PLAN = fleet_pb2.TrafficPlan(
    shares=[
        fleet_pb2.DomainShare(pool="stock", entry_domain="a", server_domain="b", share=250),
    ],
    admissions=[fleet_pb2.PoolAdmission(pool="stock", priority=2, admitted=400)],
)


def test_a_plan_stays_in_force_until_control_is_silent() -> None:
    """Guards against a limit of an earlier load that outlasts the connection to control."""
    clock = ManualClock()
    view = TrafficView(clock)
    view.apply(fleet_pb2.FleetUpdate(traffic=PLAN))
    clock.advance(1.0)
    view.apply(fleet_pb2.FleetUpdate())
    clock.advance(2.5)
    assert view.shares_of("stock", "a") == {"b": 0.25}
    assert view.shares_of("stock", "b") == {}
    admission = view.admission_of("stock", 2)
    assert admission is not None and admission.admitted == 400
    assert view.admission_of("stock", 0) is None
    clock.advance(1.0)
    assert view.shares_of("stock", "a") is None
    assert view.admission_of("stock", 2) is None


def test_a_whole_view_without_a_plan_ends_the_limits() -> None:
    """Guards against limits of a former leader that a replica without a plan never lifts."""
    view = TrafficView(ManualClock())
    view.apply(fleet_pb2.FleetUpdate(traffic=PLAN))
    view.apply(fleet_pb2.FleetUpdate(begins_whole=True, from_follower=True))
    assert view.admission_of("stock", 2) is not None
    view.apply(fleet_pb2.FleetUpdate(begins_whole=True))
    assert view.admission_of("stock", 2) is None
