"""Tests that fault plans are reproducible and stay within what the system tolerates."""

from __future__ import annotations

from tools.agreement.fault_plan import MAX_UNAVAILABLE_REPLICA_COUNT
from tools.agreement.fault_plan import FaultKind
from tools.agreement.fault_plan import Layout
from tools.agreement.fault_plan import fault_plan

LAYOUT = Layout(
    {"control-1": "a", "control-2": "a", "control-3": "b", "control-4": "b", "control-5": "c"},
    {f"entry-{domain}{index}": domain for domain in "abc" for index in range(3)},
    {f"stock-{domain}": domain for domain in "abc"},
)
PLAN_SECONDS = 15.0
SEEDS = range(100)


def test_a_seed_gives_the_same_plan_each_time() -> None:
    for seed in SEEDS:
        assert repr(fault_plan(seed, LAYOUT, PLAN_SECONDS)) == repr(
            fault_plan(seed, LAYOUT, PLAN_SECONDS)
        )


def test_seeds_differ() -> None:
    assert len({repr(fault_plan(seed, LAYOUT, PLAN_SECONDS)) for seed in SEEDS}) == len(SEEDS)


def test_at_most_two_control_replicas_are_away() -> None:
    for seed in SEEDS:
        plan = fault_plan(seed, LAYOUT, PLAN_SECONDS)
        for time_in_plan in (fault.begin for fault in plan):
            unavailable: set[str] = set()
            for fault in plan:
                if fault.begin <= time_in_plan < fault.end:
                    unavailable |= LAYOUT.affected_replicas(fault)
            assert len(unavailable) <= MAX_UNAVAILABLE_REPLICA_COUNT, (seed, plan)


def test_a_target_has_one_fault_at_a_time() -> None:
    for seed in SEEDS:
        plan = fault_plan(seed, LAYOUT, PLAN_SECONDS)
        for index, fault in enumerate(plan):
            for other in plan[index + 1 :]:
                assert fault.target != other.target or not fault.overlaps(other)


def test_the_plans_contain_all_kinds_of_faults_and_targets() -> None:
    faults = [fault for seed in SEEDS for fault in fault_plan(seed, LAYOUT, PLAN_SECONDS)]
    processes = {*LAYOUT.control, *LAYOUT.entries, *LAYOUT.servers}
    expected = {(kind, name) for kind in (FaultKind.KILL, FaultKind.FREEZE) for name in processes}
    expected |= {(FaultKind.CUT, domain) for domain in LAYOUT.domains}
    assert {(fault.kind, fault.target) for fault in faults} == expected


def test_a_plan_ends_within_its_length() -> None:
    for seed in SEEDS:
        assert all(
            0 < fault.begin < fault.end < PLAN_SECONDS
            for fault in fault_plan(seed, LAYOUT, PLAN_SECONDS)
        )
