"""Plans of random faults that follow from a seed."""

from __future__ import annotations

import enum
import random

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

#: Control replicas that may be away at the same time, of 5.
MOST_CONTROL_AWAY = 2
SHORTEST = 0.4
LONGEST = 3.0
#: Seconds before the first fault and after the last one.
MARGIN = 0.5
#: Seconds for which a replica counts as away after its fault, until it has started again.
RECOVERY = 1.5
#: Drawn faults for each second; those above the limits are left out.
DRAWS_PER_SECOND = 4


class FaultKind(enum.Enum):
    """A fault and how it ends."""

    KILL = "kill"
    FREEZE = "freeze"
    CUT = "cut"


#: A cut excludes most other faults of control, so it is drawn less often.
KINDS = (FaultKind.KILL, FaultKind.KILL, FaultKind.FREEZE, FaultKind.FREEZE, FaultKind.CUT)


class Fault:
    """A fault of a process or a failure domain.

    :param begin: seconds after the start of the plan
    :param end: when the process is started or continued, or the cut healed
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
        """Return whether both are present at some time, recovery included."""
        return self.begin < other.end + RECOVERY and other.begin < self.end + RECOVERY


class Layout:
    """What a plan may hit.

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

    def control_hit_by(self, fault: Fault) -> set[str]:
        """Return the control replicas that a fault takes away."""
        return {
            name
            for name, domain in self.control.items()
            if (domain if fault.kind is FaultKind.CUT else name) == fault.target
        }


def fault_plan(seed: int, layout: Layout, seconds: float) -> list[Fault]:
    """Return the faults of a seed, in order of their begin.

    At any time at most two control replicas are away, only one domain is cut off, and no target
    has two faults.

    :param seconds: length of the plan
    """
    chooser = random.Random(seed)
    plan: list[Fault] = []
    for _ in range(int(seconds * DRAWS_PER_SECOND)):
        fault = _drawn(chooser, layout, seconds)
        if _fits(fault, plan, layout):
            plan.append(fault)
    return sorted(plan, key=lambda each: each.begin)


def _drawn(chooser: random.Random, layout: Layout, seconds: float) -> Fault:
    length = chooser.uniform(SHORTEST, LONGEST)
    begin = chooser.uniform(MARGIN, seconds - MARGIN - length)
    kind = chooser.choice(KINDS)
    if kind is FaultKind.CUT:
        return Fault(begin, begin + length, kind, chooser.choice(layout.domains))
    # Control replicas are few and often excluded by the limit, so they are drawn more often.
    group = chooser.choice((layout.control, layout.control, layout.entries, layout.servers))
    return Fault(begin, begin + length, kind, chooser.choice(sorted(group)))


def _fits(fault: Fault, plan: list[Fault], layout: Layout) -> bool:
    present = [other for other in plan if other.overlaps(fault)]
    if any(other.target == fault.target for other in present):
        return False
    if fault.kind is FaultKind.CUT and any(other.kind is FaultKind.CUT for other in present):
        return False
    hit = layout.control_hit_by(fault)
    if not hit:
        return True
    # All faults that overlap this one count together, though not all may be present at once.
    away = hit.union(*(layout.control_hit_by(other) for other in present))
    return len(away) <= MOST_CONTROL_AWAY
