"""Random plans of faults, reproducible from a seed."""

from __future__ import annotations

import enum
import random

from typing import TYPE_CHECKING

from medlarpass.base import Value

if TYPE_CHECKING:
    from collections.abc import Sequence

MIN_FAULT_SECONDS = 0.2
MAX_FAULT_SECONDS = 2.5
#: Time after a fault until a control replica counts as caught up.
RECOVERY_SECONDS = 2.0
#: Faults drawn per second of the plan; those that would stop too many replicas are skipped.
DRAWN_FAULTS_PER_SECOND = 2.0


class FaultKind(enum.Enum):
    """Kind of fault; it is undone at the end of the fault."""

    KILL = "kill"
    STOP = "stop"
    PAUSE = "pause"
    RELOAD = "reload"
    FULL_DISK = "full-disk"
    CUT = "cut"
    CUT_BACK = "cut-back"
    DELAY = "delay"
    RESET = "reset"
    LEAVE = "leave"


ENTRY_KINDS = (
    FaultKind.KILL,
    FaultKind.STOP,
    FaultKind.STOP,
    FaultKind.PAUSE,
    FaultKind.RELOAD,
    FaultKind.CUT,
    FaultKind.CUT_BACK,
)
CONTROL_KINDS = (
    FaultKind.KILL,
    FaultKind.STOP,
    FaultKind.PAUSE,
    FaultKind.RELOAD,
    FaultKind.FULL_DISK,
    FaultKind.CUT,
    FaultKind.CUT_BACK,
    FaultKind.DELAY,
    FaultKind.RESET,
)
SERVER_KINDS = (
    FaultKind.KILL,
    FaultKind.LEAVE,
    FaultKind.CUT,
    FaultKind.CUT_BACK,
    FaultKind.DELAY,
    FaultKind.RESET,
)
#: Planned operations, during which no request may fail.
PLANNED_KINDS = frozenset({FaultKind.STOP, FaultKind.RELOAD, FaultKind.LEAVE})


class Fault(Value):
    """Fault injected into a process or a server.

    :param begin: start, in seconds after the start of the plan
    :param end: end, in seconds after the start of the plan
    :param kind: kind of fault
    :param target: name of the process or identity of the server
    """

    __slots__ = ("begin", "end", "kind", "target")

    def __init__(self, begin: float, end: float, kind: FaultKind, target: str) -> None:
        self.begin = begin
        self.end = end
        self.kind = kind
        self.target = target

    def __str__(self) -> str:
        return f"{self.begin:.2f}-{self.end:.2f} {self.kind.value} {self.target}"


def soak_plan(
    seed: int,
    seconds: float,
    controls: Sequence[str],
    entries: Sequence[str],
    servers: Sequence[str],
) -> list[Fault]:
    """Return the faults of a seed, sorted by start time.

    Faults may overlap. At most one control replica is affected at a time, and an entry or a server
    has one fault at a time. Every third seed has planned operations only.
    """
    rng = random.Random(seed)
    groups: list[tuple[Sequence[str], tuple[FaultKind, ...]]] = [
        (controls, CONTROL_KINDS),
        (entries, ENTRY_KINDS),
        (servers, SERVER_KINDS),
    ]
    plan: list[Fault] = []
    for _ in range(int(seconds * DRAWN_FAULTS_PER_SECOND)):
        targets, kinds = rng.choice(groups)
        if seed % 3 == 0:
            kinds = tuple(kind for kind in kinds if kind in PLANNED_KINDS)
        begin = rng.uniform(0.0, seconds)
        fault = Fault(
            begin,
            begin + rng.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS),
            rng.choice(kinds),
            rng.choice(targets),
        )
        if not any(_conflicts(planned, fault, controls) for planned in plan):
            plan.append(fault)
    return sorted(plan, key=lambda fault: fault.begin)


def _conflicts(first: Fault, second: Fault, controls: Sequence[str]) -> bool:
    are_both_controls = first.target in controls and second.target in controls
    if first.target != second.target and not are_both_controls:
        return False
    return (
        first.begin < second.end + RECOVERY_SECONDS and second.begin < first.end + RECOVERY_SECONDS
    )
