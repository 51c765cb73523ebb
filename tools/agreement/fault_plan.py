"""Reproducible plans of random faults, generated from a seed."""

from __future__ import annotations

import enum
import random

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

#: Of 5 control replicas; 3 form a majority.
MAX_UNAVAILABLE_REPLICA_COUNT = 2
MIN_FAULT_SECONDS = 0.4
MAX_FAULT_SECONDS = 3.0
#: Time before the first fault and after the last one.
MARGIN_SECONDS = 0.5
#: Time for which a replica counts as unavailable after its fault, because it restarts.
RECOVERY_SECONDS = 1.5
#: Faults that exceed the limits are discarded.
CANDIDATE_FAULTS_PER_SECOND = 4


class FaultKind(enum.Enum):
    """Kind of a fault: SIGKILL, SIGSTOP or a network partition of a domain."""

    KILL = "kill"
    FREEZE = "freeze"
    CUT = "cut"


#: A partition excludes most other faults of control replicas, so it is drawn less often.
KINDS = (FaultKind.KILL, FaultKind.KILL, FaultKind.FREEZE, FaultKind.FREEZE, FaultKind.CUT)


class Fault:
    """A fault of a process or a failure domain.

    :param begin: seconds after the start of the plan
    :param end: when the process is started or resumed, or the partition healed, in seconds
    :param target: name of the process or domain
    """

    __slots__ = ("begin", "end", "kind", "target")

    def __init__(self, begin: float, end: float, kind: FaultKind, target: str) -> None:
        self.begin = begin
        self.end = end
        self.kind = kind
        self.target = target

    def __repr__(self) -> str:
        return f"{self.begin:.2f}-{self.end:.2f} {self.kind.value} {self.target}"

    def overlaps(self, other: Fault) -> bool:
        """Return whether both faults are active at some time, recovery included."""
        return (
            self.begin < other.end + RECOVERY_SECONDS and other.begin < self.end + RECOVERY_SECONDS
        )


class Layout:
    """Processes and domains that a plan may target.

    :param control: domain of each control replica
    :param entries: domain of each entry
    :param servers: domain of each process of key-owning servers
    """

    __slots__ = ("control", "entries", "servers")

    def __init__(
        self,
        control: Mapping[str, str],
        entries: Mapping[str, str],
        servers: Mapping[str, str],
    ) -> None:
        self.control = dict(control)
        self.entries = dict(entries)
        self.servers = dict(servers)

    @property
    def domains(self) -> list[str]:
        """All failure domains."""
        return sorted({*self.control.values(), *self.entries.values(), *self.servers.values()})

    def affected_replicas(self, fault: Fault) -> set[str]:
        """Return the control replicas that a fault makes unavailable."""
        return {
            name
            for name, domain in self.control.items()
            if (domain if fault.kind is FaultKind.CUT else name) == fault.target
        }


def fault_plan(seed: int, layout: Layout, duration_seconds: float) -> list[Fault]:
    """Return the faults of a seed, ordered by start time.

    At any time at most two control replicas are unavailable, at most one domain is cut off, and no
    target has two faults.

    :param duration_seconds: duration of the plan
    """
    rng = random.Random(seed)
    plan: list[Fault] = []
    for _ in range(int(duration_seconds * CANDIDATE_FAULTS_PER_SECOND)):
        fault = _draw_fault(rng, layout, duration_seconds)
        if _is_allowed(fault, plan, layout):
            plan.append(fault)
    return sorted(plan, key=lambda planned: planned.begin)


def _draw_fault(rng: random.Random, layout: Layout, duration_seconds: float) -> Fault:
    duration = rng.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS)
    begin = rng.uniform(MARGIN_SECONDS, duration_seconds - MARGIN_SECONDS - duration)
    kind = rng.choice(KINDS)
    if kind is FaultKind.CUT:
        return Fault(begin, begin + duration, kind, rng.choice(layout.domains))
    # The limit excludes many faults of control replicas, so these are drawn more often.
    group = rng.choice((layout.control, layout.control, layout.entries, layout.servers))
    return Fault(begin, begin + duration, kind, rng.choice(sorted(group)))


def _is_allowed(fault: Fault, plan: list[Fault], layout: Layout) -> bool:
    overlapping = [other for other in plan if other.overlaps(fault)]
    if any(other.target == fault.target for other in overlapping):
        return False
    if fault.kind is FaultKind.CUT and any(other.kind is FaultKind.CUT for other in overlapping):
        return False
    affected = layout.affected_replicas(fault)
    if not affected:
        return True
    # Conservative: counts all faults that overlap this one, even if they don't overlap each other.
    unavailable = affected.union(*(layout.affected_replicas(other) for other in overlapping))
    return len(unavailable) <= MAX_UNAVAILABLE_REPLICA_COUNT
