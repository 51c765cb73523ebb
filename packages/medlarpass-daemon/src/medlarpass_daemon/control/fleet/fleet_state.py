"""What the leader knows about servers and ranges beyond the control log."""

from __future__ import annotations

import asyncio
import math

from typing import TYPE_CHECKING

from medlarpass.dispatch import ServerWeights
from medlarpass.fleet import FleetDirectory
from medlarpass.fleet import ServerNotice
from medlarpass.publication import Publication
from medlarpass.publication import document_of
from medlarpass.ranges import PoolLoads
from medlarpass.ranges import ServerSpeeds
from medlarpass.rpc import fleet_pb2
from medlarpass_daemon.control.fleet.fleet_feed import FleetFeed
from medlarpass_daemon.control.fleet.watchers import REACHED
from medlarpass_daemon.control.fleet.watchers import Watchers
from medlarpass_daemon.publication_parts import packed

if TYPE_CHECKING:
    from collections.abc import Iterable

    from medlarpass import Clock
    from medlarpass.control import ControlState
    from medlarpass.ranges import RangeAssignment
    from medlarpass_daemon.control.fleet.leader_lease import LeaderLease

HELD = fleet_pb2.RANGE_PHASE_HELD
MOVING = fleet_pb2.RANGE_PHASE_MOVING


class FleetState:
    """Servers, loads and the state of ranges, as the watching entries see them.

    :param state: replicated state
    :param clock: source of time; counts suspended time
    """

    __slots__ = (
        "changed",
        "clock",
        "confirmed",
        "directory",
        "feed",
        "has_new_ranges",
        "has_new_servers",
        "known_ranges",
        "lease",
        "led_at",
        "led_term",
        "loads",
        "moving",
        "packed",
        "parsed",
        "published_mark",
        "speeds",
        "state",
        "watchers",
        "weights",
    )

    def __init__(self, state: ControlState, clock: Clock) -> None:
        self.state = state
        self.clock = clock
        self.directory = FleetDirectory(clock)
        self.loads: dict[str, PoolLoads] = {}
        self.speeds = ServerSpeeds()
        #: Weights of the servers of pools without owners.
        self.weights = ServerWeights()
        #: Fences of the assignments that their servers have confirmed.
        self.confirmed: set[int] = set()
        #: Keys by pool that are on their way between servers.
        self.moving: dict[str, set[tuple[int, int]]] = {}
        #: Entries and relays that watch this replica.
        self.watchers = Watchers(clock)
        #: Term in which this replica keeps the ranges; 0 while it does not lead.
        self.led_term = 0
        #: Mark of the feed with which this replica told its newest publication as the leader.
        self.published_mark = 0
        #: Time for which this replica surely is the only leader, once it keeps the ranges.
        self.lease: LeaderLease | None = None
        #: Reading of the clock when this replica began to keep the ranges.
        self.led_at = -math.inf
        self.feed = FleetFeed()
        self.has_new_ranges = True
        self.has_new_servers = True
        #: Ranges by what they say, so that those that stay are not built anew.
        self.known_ranges: dict[tuple[object, ...], fleet_pb2.FleetRange] = {}
        self.packed: list[fleet_pb2.PackedPublication] = []
        self.parsed: Publication | None = None
        #: Replaced and set on each change.
        self.changed = asyncio.Event()
        state.observers.append(self.notify)

    def begin(self, term: int) -> None:
        """Begin as a new leader: the servers of the log are there until they stay silent.

        What an earlier leadership of this replica has left is dropped: a server may have left, or
        its keys may have moved, while another replica led.
        """
        self.directory = FleetDirectory(self.clock)
        self.loads.clear()
        self.speeds = ServerSpeeds()
        self.weights = ServerWeights()
        self.led_term = term
        self.led_at = self.clock.now()
        self.published_mark = self.feed.mark + 1
        for record in self.state.servers.all():
            self.directory.observe(ServerNotice.from_record(record))
        self.servers_changed()

    def end(self) -> None:
        """End a leadership."""
        self.led_term = 0

    @property
    def is_gathering(self) -> bool:
        """Whether relays and entries may not have reported to this new leader yet."""
        return self.clock.now() - self.led_at < REACHED

    def next_position(self) -> tuple[int, int]:
        """Return the term and mark under which the feed tells what has changed by now."""
        return self.led_term, self.feed.mark + 1

    def publication_position(self) -> tuple[int, int]:
        """Return the term and mark under which the feed tells the publication in force."""
        if self.feed.publication_version < self.state.publication.version:
            return self.next_position()
        return self.led_term, self.published_mark

    def notify(self) -> None:
        """Wake everybody who waits for a change."""
        self.changed.set()
        self.changed = asyncio.Event()

    def servers_changed(self) -> None:
        """Note that the servers, as entries see them, have changed."""
        self.has_new_servers = True
        self.notify()

    def ranges_changed(self) -> None:
        """Note that the ranges, as entries see them, have changed."""
        self.has_new_ranges = True
        self.notify()

    def refresh(self, controls: list[str], own: fleet_pb2.FleetSource) -> None:
        """Bring the feed up to date while this replica leads.

        :param controls: addresses of all control replicas
        :param own: where this replica is
        """
        mark = self.feed.mark + 1
        publication = self.publication
        if publication is not None and publication.version > self.feed.publication_version:
            self.feed.take_publication(publication.document)
            self.published_mark = mark
        if self.has_new_servers:
            self.has_new_servers = False
            told = self.weights.sent_weights
            self.feed.take_servers(
                member.to_proto(told.get(member.notice.identity, 0.0))
                for member in self.directory.present()
            )
        if self.has_new_ranges:
            self.has_new_ranges = False
            self.feed.take_ranges(self.ranges())
        self.feed.take_sources(controls, [own, *self.watchers.sources()])
        self.feed.take_head(self.led_term, self.watchers.entries, mark)

    def packed_publication(self) -> list[fleet_pb2.PackedPublication]:
        """Return the parts of the publication that the log says, packed once for all entries."""
        stored = self.state.publication
        if not self.packed or self.packed[0].version != stored.version:
            self.packed = packed(stored.version, document_of(stored))
        return self.packed

    @property
    def publication(self) -> Publication | None:
        """Publication in force."""
        stored = self.state.publication
        if not stored.version:
            return None
        if self.parsed is None or self.parsed.version != stored.version:
            self.parsed = Publication.from_json(document_of(stored), self.parsed)
        return self.parsed

    def owned_pools(self) -> list[str]:
        """Return the names of the pools whose keys belong to servers."""
        publication = self.publication
        if publication is None:
            return []
        return [pool.name for pool in publication.pools.values() if pool.owned]

    def loads_of(self, pool: str) -> PoolLoads:
        """Return the key loads of a pool."""
        return self.loads.setdefault(pool, PoolLoads())

    def weigh_servers(self) -> None:
        """End a report period of the weights of servers that any entry may choose."""
        self.weights.apply_decay()
        publication = self.publication
        if publication is None:
            return
        has_news = False
        for pool in publication.pools.values():
            if not pool.owned:
                members = self.directory.usable(pool.name)
                has_news |= self.weights.update([each.notice.identity for each in members])
        self.weights.retain(set(self.directory.members))
        if has_news:
            self.servers_changed()

    def overlaps_moving(self, pool: str, first: int, last: int) -> bool:
        """Return whether some of the keys are on their way."""
        return any(low <= last and first <= high for low, high in self.moving.get(pool, ()))

    def parts_at_rest(self, assignment: RangeAssignment) -> list[RangeAssignment]:
        """Return the parts of an assignment that are not on their way to another server."""
        parts = [assignment]
        for low, high in self.moving.get(assignment.pool, ()):
            parts = [rest for part in parts for rest in part.without(low, high)]
        return parts

    def ranges(self) -> list[fleet_pb2.FleetRange]:
        """Return all ranges with their phases."""
        known, self.known_ranges = self.known_ranges, {}
        return [
            self._built(part, phase, known)
            for assignment in self.state.ranges.all()
            for part, phase in self._parts(assignment)
        ]

    def _parts(
        self, assignment: RangeAssignment
    ) -> Iterable[tuple[RangeAssignment, fleet_pb2.RangePhase]]:
        phase = HELD if assignment.fence in self.confirmed else MOVING
        yield from ((part, phase) for part in self.parts_at_rest(assignment))
        for low, high in self.moving.get(assignment.pool, ()):
            if assignment.overlaps(low, high):
                first, last = max(low, assignment.first), min(high, assignment.last)
                yield assignment.with_bounds(first, last), MOVING

    def _built(
        self,
        part: RangeAssignment,
        phase: fleet_pb2.RangePhase,
        known: dict[tuple[object, ...], fleet_pb2.FleetRange],
    ) -> fleet_pb2.FleetRange:
        key = (part.pool, part.first, part.last, part.fence, phase)
        found = known.get(key)
        if found is None:
            found = fleet_pb2.FleetRange(assignment=part.to_proto(), phase=phase)
        self.known_ranges[key] = found
        return found
