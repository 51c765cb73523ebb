"""Guards against plans that differ between runs or lose more than the system tolerates."""

from __future__ import annotations

from tools.agreement.fault_plan import MOST_CONTROL_AWAY
from tools.agreement.fault_plan import FaultKind
from tools.agreement.fault_plan import Layout
from tools.agreement.fault_plan import fault_plan

LAYOUT = Layout(
    {"control-1": "a", "control-2": "a", "control-3": "b", "control-4": "b", "control-5": "c"},
    {f"entry-{domain}{number}": domain for domain in "abc" for number in range(3)},
    {f"stock-{domain}": domain for domain in "abc"},
)
SECONDS = 15.0
SEEDS = range(100)


def test_a_seed_gives_the_same_plan_each_time() -> None:
    for seed in SEEDS:
        assert repr(fault_plan(seed, LAYOUT, SECONDS)) == repr(fault_plan(seed, LAYOUT, SECONDS))


def test_seeds_differ() -> None:
    assert len({repr(fault_plan(seed, LAYOUT, SECONDS)) for seed in SEEDS}) == len(SEEDS)


def test_at_most_two_control_replicas_are_away() -> None:
    for seed in SEEDS:
        plan = fault_plan(seed, LAYOUT, SECONDS)
        for moment in (fault.begin for fault in plan):
            away: set[str] = set()
            for fault in plan:
                if fault.begin <= moment < fault.end:
                    away |= LAYOUT.control_hit_by(fault)
            assert len(away) <= MOST_CONTROL_AWAY, (seed, plan)


def test_a_target_has_one_fault_at_a_time() -> None:
    for seed in SEEDS:
        plan = fault_plan(seed, LAYOUT, SECONDS)
        for number, fault in enumerate(plan):
            for other in plan[number + 1 :]:
                assert fault.target != other.target or not fault.overlaps(other)


def test_the_plans_contain_all_kinds_of_faults_and_targets() -> None:
    faults = [fault for seed in SEEDS for fault in fault_plan(seed, LAYOUT, SECONDS)]
    processes = {*LAYOUT.control, *LAYOUT.entries, *LAYOUT.servers}
    expected = {(kind, name) for kind in (FaultKind.KILL, FaultKind.FREEZE) for name in processes}
    expected |= {(FaultKind.CUT, domain) for domain in LAYOUT.domains}
    assert {(fault.kind, fault.target) for fault in faults} == expected


def test_a_plan_ends_within_its_length() -> None:
    for seed in SEEDS:
        assert all(
            0 < fault.begin < fault.end < SECONDS for fault in fault_plan(seed, LAYOUT, SECONDS)
        )
