"""What the leader knows about servers and ranges beyond the control log."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING

from medlarpass.fleet import FleetDirectory
from medlarpass.fleet import ServerNotice
from medlarpass.publication import Publication
from medlarpass.ranges import RangeLoads
from medlarpass.ranges import ServerSpeeds
from medlarpass.rpc import fleet_pb2

if TYPE_CHECKING:
    from collections.abc import Iterable

    from medlarpass import Clock
    from medlarpass.control import ControlState
    from medlarpass.ranges import RangeAssignment

#: Share of a load count that remains after a report period; a hot key shows within seconds.
LOAD_DECAY = 0.8


class FleetState:
    """Servers, loads and the state of ranges, as the watching entries see them.

    :param state: replicated state
    :param clock: source of time; counts suspended time
    """

    __slots__ = (
        "changed",
        "confirmed",
        "directory",
        "entries",
        "loads",
        "moving",
        "parsed",
        "ranges_version",
        "speeds",
        "state",
    )

    def __init__(self, state: ControlState, clock: Clock) -> None:
        self.state = state
        self.directory = FleetDirectory(clock)
        self.loads: dict[str, RangeLoads] = {}
        self.speeds = ServerSpeeds()
        #: Fences of the assignments that their servers have confirmed.
        self.confirmed: set[int] = set()
        #: Keys by pool that are on their way between servers.
        self.moving: dict[str, set[tuple[int, int]]] = {}
        #: Entries that watch this replica.
        self.entries = 0
        self.ranges_version = 0
        self.parsed: Publication | None = None
        #: Replaced and set on each change.
        self.changed = asyncio.Event()
        state.observers.append(self.notify)

    def presume_servers(self) -> None:
        """Begin as a new leader: the servers of the log are there until they stay silent."""
        for record in self.state.servers.all():
            self.directory.observe(ServerNotice.from_record(record))
        self.notify()

    def notify(self) -> None:
        """Wake everybody who waits for a change."""
        self.changed.set()
        self.changed = asyncio.Event()

    def ranges_changed(self) -> None:
        """Note that the ranges, as entries see them, have changed."""
        self.ranges_version += 1
        self.notify()

    @property
    def publication(self) -> Publication | None:
        """Publication in force."""
        stored = self.state.publication
        if not stored.version:
            return None
        if self.parsed is None or self.parsed.version != stored.version:
            self.parsed = Publication.from_json(stored.document)
        return self.parsed

    def owned_pools(self) -> list[str]:
        """Return the names of the pools whose keys belong to servers."""
        publication = self.publication
        if publication is None:
            return []
        return [pool.name for pool in publication.pools.values() if pool.owned]

    def loads_of(self, pool: str) -> RangeLoads:
        """Return the key loads of a pool."""
        return self.loads.setdefault(pool, RangeLoads(LOAD_DECAY))

    def overlaps_moving(self, pool: str, first: int, last: int) -> bool:
        """Return whether some of the keys are on their way."""
        return any(low <= last and first <= high for low, high in self.moving.get(pool, ()))

    def parts_at_rest(self, assignment: RangeAssignment) -> list[RangeAssignment]:
        """Return the parts of an assignment that are not on their way to another server."""
        parts = [assignment]
        for low, high in self.moving.get(assignment.pool, ()):
            parts = [rest for part in parts for rest in part.without(low, high)]
        return parts

    def ranges(self) -> fleet_pb2.RangeSet:
        """Return all ranges with their phases."""
        held = fleet_pb2.RANGE_PHASE_HELD
        moving = fleet_pb2.RANGE_PHASE_MOVING
        found: list[fleet_pb2.FleetRange] = []
        for assignment in self.state.ranges.all():
            phase = held if assignment.fence in self.confirmed else moving
            found.extend(_ranges(self.parts_at_rest(assignment), phase))
            found.extend(_ranges(self._parts_moving(assignment), moving))
        return fleet_pb2.RangeSet(ranges=found)

    def _parts_moving(self, assignment: RangeAssignment) -> list[RangeAssignment]:
        return [
            assignment.with_bounds(max(low, assignment.first), min(high, assignment.last))
            for low, high in self.moving.get(assignment.pool, ())
            if assignment.overlaps(low, high)
        ]


def _ranges(
    parts: Iterable[RangeAssignment], phase: fleet_pb2.RangePhase
) -> Iterable[fleet_pb2.FleetRange]:
    for part in parts:
        yield fleet_pb2.FleetRange(assignment=part.to_proto(), phase=phase)
