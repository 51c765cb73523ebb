"""What the leader knows about servers and ranges beyond the control log."""

from __future__ import annotations

import asyncio
import zlib

from typing import TYPE_CHECKING

from medlarpass.fleet import FleetDirectory
from medlarpass.fleet import ServerNotice
from medlarpass.publication import Publication
from medlarpass.ranges import RangeLoads
from medlarpass.ranges import ServerSpeeds
from medlarpass.rpc import fleet_pb2
from medlarpass_daemon.control.fleet.range_log import RangeLog

if TYPE_CHECKING:
    from collections.abc import Iterable

    from medlarpass import Clock
    from medlarpass.control import ControlState
    from medlarpass.ranges import RangeAssignment

#: Share of a load count that remains after a report period; a hot key shows within seconds.
LOAD_DECAY = 0.8
#: Level of zlib; higher levels take longer and save little on JSON.
PACKING = 6


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
        "has_new_ranges",
        "loads",
        "moving",
        "packed",
        "parsed",
        "range_log",
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
        self.has_new_ranges = True
        self.range_log = RangeLog()
        self.packed: fleet_pb2.PackedPublication | None = None
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
        self.has_new_ranges = True
        self.notify()

    def packed_publication(self) -> fleet_pb2.PackedPublication:
        """Return the publication in force as it is sent; packed once for all entries."""
        stored = self.state.publication
        if self.packed is None or self.packed.version != stored.version:
            document = zlib.compress(stored.document, PACKING)
            self.packed = fleet_pb2.PackedPublication(version=stored.version, document=document)
        return self.packed

    def newest_ranges(self) -> RangeLog:
        """Return the ranges and their latest changes."""
        if self.has_new_ranges:
            self.has_new_ranges = False
            self.range_log.update(self.ranges())
        return self.range_log

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

    def ranges(self) -> Iterable[fleet_pb2.FleetRange]:
        """Yield all ranges with their phases."""
        held = fleet_pb2.RANGE_PHASE_HELD
        moving = fleet_pb2.RANGE_PHASE_MOVING
        for assignment in self.state.ranges.all():
            phase = held if assignment.fence in self.confirmed else moving
            yield from _ranges(self.parts_at_rest(assignment), phase)
            yield from _ranges(self._parts_moving(assignment), moving)

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
