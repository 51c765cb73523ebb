"""Random series of faults that follow from a seed."""

from __future__ import annotations

import enum
import random

from typing import TYPE_CHECKING

from medlarpass.base import Value

if TYPE_CHECKING:
    from collections.abc import Sequence

#: Length of a fault in seconds.
SHORTEST = 0.2
LONGEST = 2.5
#: Seconds for which a control replica counts as away after its fault, until it has caught up.
RECOVERY = 2.0
#: Faults that are drawn for each second; those that lose too many replicas are left out.
DRAWS_PER_SECOND = 2.0


class FaultKind(enum.Enum):
    """What happens to a target, until the end of the fault undoes it."""

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
#: Faults that an operator plans; they must not cost a request.
PLANNED = frozenset({FaultKind.STOP, FaultKind.RELOAD, FaultKind.LEAVE})


class Fault(Value):
    """A fault of a process or a server.

    :param begin: seconds after the start of the plan
    :param end: when it is undone
    :param kind: what happens
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
    """Return the faults of a seed in the order of their begin.

    Faults overlap and come in series. One replica of control at a time is away, and an entry or a
    server has one fault at a time. In every third seed all faults are planned work.
    """
    chooser = random.Random(seed)
    groups: list[tuple[Sequence[str], tuple[FaultKind, ...]]] = [
        (controls, CONTROL_KINDS),
        (entries, ENTRY_KINDS),
        (servers, SERVER_KINDS),
    ]
    plan: list[Fault] = []
    for _ in range(int(seconds * DRAWS_PER_SECOND)):
        targets, kinds = chooser.choice(groups)
        if seed % 3 == 0:
            kinds = tuple(kind for kind in kinds if kind in PLANNED)
        begin = chooser.uniform(0.0, seconds)
        fault = Fault(
            begin,
            begin + chooser.uniform(SHORTEST, LONGEST),
            chooser.choice(kinds),
            chooser.choice(targets),
        )
        if not any(_excludes(other, fault, controls) for other in plan):
            plan.append(fault)
    return sorted(plan, key=lambda each: each.begin)


def _excludes(one: Fault, other: Fault, controls: Sequence[str]) -> bool:
    both_control = one.target in controls and other.target in controls
    if one.target != other.target and not both_control:
        return False
    return one.begin < other.end + RECOVERY and other.begin < one.end + RECOVERY
