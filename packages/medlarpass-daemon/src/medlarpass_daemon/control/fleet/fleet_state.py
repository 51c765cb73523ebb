"""State of servers and ranges that the leader keeps outside the control log."""

from __future__ import annotations

import asyncio
import math

from typing import TYPE_CHECKING

from medlarpass.capacity import ServerCapacity
from medlarpass.dispatch import PoolDemands
from medlarpass.dispatch import ServerWeights
from medlarpass.fleet import AddressClaims
from medlarpass.fleet import FleetDirectory
from medlarpass.fleet import FleetMember
from medlarpass.fleet import ServerHeartbeat
from medlarpass.publication import Publication
from medlarpass.publication import decompress_document
from medlarpass.ranges import KeyIntervals
from medlarpass.ranges import PoolLoads
from medlarpass.ranges import ServerSpeeds
from medlarpass.ranges import parts_outside
from medlarpass.rpc import fleet_pb2
from medlarpass_daemon.control.fleet import events
from medlarpass_daemon.control.fleet.fleet_feed import FleetFeed
from medlarpass_daemon.control.fleet.server_limits import ServerLimits
from medlarpass_daemon.control.fleet.watchers import REACHABILITY_SECONDS
from medlarpass_daemon.control.fleet.watchers import Watchers
from medlarpass_daemon.publication_parts import pack_publication

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from medlarpass import Clock
    from medlarpass.control import ControlState
    from medlarpass.ranges import RangeAssignment
    from medlarpass.rpc import control_pb2
    from medlarpass_daemon.control.fleet.leader_lease import LeaderLease

HELD = fleet_pb2.RANGE_PHASE_HELD
MOVING = fleet_pb2.RANGE_PHASE_MOVING


class FleetState:
    """Servers, loads and range phases, as published to the watching entries.

    :param state: replicated state
    :param clock: source of time; counts suspended time
    """

    __slots__ = (
        "capacity",
        "changed",
        "claims",
        "clock",
        "confirmed_fences",
        "demands",
        "directory",
        "evacuation_feed_revision",
        "feed",
        "has_new_ranges",
        "has_new_servers",
        "known_ranges",
        "lease",
        "led_at",
        "led_term",
        "limits",
        "loads",
        "may_own_keys",
        "moving",
        "packed_parts",
        "parsed_publication",
        "publication_feed_revision",
        "sent_evacuations",
        "speeds",
        "state",
        "traffic_plan",
        "watchers",
        "weights",
    )

    def __init__(self, state: ControlState, clock: Clock) -> None:
        self.state = state
        self.clock = clock
        self.directory = FleetDirectory(clock)
        #: Claims to the addresses of servers that may own keys.
        self.claims = AddressClaims()
        #: Returns whether the server with an identity may own keys; set by the leader's grants.
        self.may_own_keys: Callable[[str], bool] = lambda _: False
        self.loads: dict[str, PoolLoads] = {}
        self.speeds = ServerSpeeds()
        #: Requests per second that each server can handle.
        self.capacity = ServerCapacity()
        #: Weights of the servers of pools without owners.
        self.weights = ServerWeights()
        #: Requests that entries get for each pool.
        self.demands = PoolDemands()
        #: Decisions on the traffic, as sent to entries.
        self.traffic_plan = fleet_pb2.TrafficPlan()
        #: Fences of the assignments that their servers have confirmed.
        self.confirmed_fences: set[int] = set()
        #: First and last keys of the moves in progress, by pool.
        self.moving: dict[str, KeyIntervals] = {}
        #: Entries and relays that watch this replica.
        self.watchers = Watchers(clock)
        #: Term in which this replica manages the ranges; 0 while it does not lead.
        self.led_term = 0
        #: Feed revision in which this replica, as the leader, sent its newest publication.
        self.publication_feed_revision = 0
        #: Evacuated domains in the servers of the feed.
        self.sent_evacuations: frozenset[str] = frozenset()
        #: Feed revision in which this replica, as the leader, sent these domains first.
        self.evacuation_feed_revision = 0
        #: Leader lease; None until this replica starts to manage the ranges.
        self.lease: LeaderLease | None = None
        #: Time at which this replica started to manage the ranges.
        self.led_at = -math.inf
        self.feed = FleetFeed()
        self.has_new_ranges = True
        self.has_new_servers = True
        #: Range messages by their content, so that unchanged ones are not built again.
        self.known_ranges: dict[tuple[object, ...], fleet_pb2.FleetRange] = {}
        self.packed_parts: list[fleet_pb2.PackedPublication] = []
        self.parsed_publication: Publication | None = None
        #: Limits of cold and overloaded servers.
        self.limits = ServerLimits(self)
        #: Set and replaced on each change.
        self.changed = asyncio.Event()
        state.observers.append(self.notify)

    def start_term(self, term: int) -> None:
        """Start as a new leader with the servers in the log until their heartbeats time out.

        State from an earlier leadership of this replica is discarded, since servers may have left
        and keys may have moved while another replica led.
        """
        self.directory = FleetDirectory(self.clock)
        self.claims = AddressClaims()
        self.loads.clear()
        self.speeds = ServerSpeeds()
        self.capacity = ServerCapacity()
        self.weights = ServerWeights()
        self.demands = PoolDemands()
        self.traffic_plan = fleet_pb2.TrafficPlan()
        self.led_term = term
        self.led_at = self.clock.now()
        self.publication_feed_revision = self.feed.feed_revision + 1
        self.evacuation_feed_revision = self.feed.feed_revision + 1
        # As a relay, this replica got the number from the previous leader.
        self.watchers.expect(self.feed.entry_count)
        self.limits.start_term()
        for record in self.state.servers.all():
            if self.directory.record_heartbeat(ServerHeartbeat.from_record(record)):
                member = self.directory.members[record.identity]
                self.limits.restore(member, self.feed.servers.items.get(record.identity))
        self.servers_changed()

    def end_term(self) -> None:
        """End the leadership."""
        self.led_term = 0

    @property
    def is_awaiting_reports(self) -> bool:
        """Whether relays and entries may not have reported to this new leader yet."""
        return self.clock.now() - self.led_at < REACHABILITY_SECONDS

    def next_position(self) -> tuple[int, int]:
        """Return the term and feed revision that will contain all changes up to now."""
        return self.led_term, self.feed.feed_revision + 1

    def publication_position(self) -> tuple[int, int]:
        """Return the term and feed revision that contain the publication in force."""
        if self.feed.publication_version < self.state.publication.version:
            return self.next_position()
        return self.led_term, self.publication_feed_revision

    def evacuation_position(self) -> tuple[int, int]:
        """Return the term and feed revision that contain the evacuated domains in the log."""
        if self.sent_evacuations != self.state.tables.evacuated_domains:
            return self.next_position()
        return self.led_term, self.evacuation_feed_revision

    def is_evacuated(self, member: FleetMember) -> bool:
        """Return whether the failure domain of a server is evacuated."""
        return member.heartbeat.domain in self.state.tables.evacuated_domains

    def assignable(self, pool: str) -> Iterable[FleetMember]:
        """Yield the servers of a pool that may get new work."""
        return (
            member for member in self.directory.assignable(pool) if not self.is_evacuated(member)
        )

    def notify(self) -> None:
        """Wake all tasks that wait for a change."""
        self.changed.set()
        self.changed = asyncio.Event()

    def is_contested(self, heartbeat: ServerHeartbeat) -> bool:
        """Return whether a heartbeat names the address of another server that may own keys.

        A claim that was refuted stays so when the other server has no keys any more.
        """
        claimed = self.directory.claimed_member(heartbeat)
        return claimed is not None and (
            self.claims.is_refuted(heartbeat) or self.may_own_keys(claimed.heartbeat.identity)
        )

    def servers_changed(self) -> None:
        """Mark the servers in the feed as outdated."""
        self.has_new_servers = True
        self.notify()

    def ranges_changed(self) -> None:
        """Mark the ranges in the feed as outdated."""
        self.has_new_ranges = True
        self.notify()

    def update_feed(self, controls: list[str], own_source: fleet_pb2.FleetSource) -> None:
        """Update the feed while this replica leads.

        :param controls: addresses of all control replicas
        :param own_source: address and domain of this replica
        """
        feed_revision = self.feed.feed_revision + 1
        publication = self.publication
        if publication is not None and publication.version > self.feed.publication_version:
            self.feed.set_publication(publication.document)
            self.publication_feed_revision = feed_revision
        self._send_evacuations(feed_revision)
        if self.has_new_servers:
            sent_weights = self.weights.sent_weights
            self.feed.set_servers(
                member.to_proto(
                    sent_weights.get(member.heartbeat.identity, 0.0),
                    self.limits.share_of(member.heartbeat.identity),
                    self.is_evacuated(member),
                )
                for member in self.directory.current()
            )
            # After an error the servers stay outdated, so that no revision is sent without them.
            self.has_new_servers = False
        if self.has_new_ranges:
            self.feed.set_ranges(self.ranges())
            self.has_new_ranges = False
        self.feed.set_traffic(self.traffic_plan)
        self.feed.set_sources(controls, [own_source, *self.watchers.sources()])
        self.feed.set_header(self.led_term, self.watchers.entry_count, feed_revision)

    def _send_evacuations(self, feed_revision: int) -> None:
        """Mark the servers as outdated if the evacuated domains in the log have changed."""
        evacuated = frozenset(self.state.tables.evacuated_domains)
        if evacuated == self.sent_evacuations:
            return
        events.EVACUATIONS_SENT.log(
            term=self.led_term, mark=feed_revision, domains=sorted(evacuated)
        )
        self.sent_evacuations = evacuated
        self.evacuation_feed_revision = feed_revision
        self.has_new_servers = True
        # A domain may have no servers; its confirmation must not wait for the next change.
        self.feed.wake_watchers()

    def packed_publication(self) -> list[fleet_pb2.PackedPublication]:
        """Return the publication in the log in parts, compressed once for all entries."""
        stored = self.state.publication
        if not self.packed_parts or self.packed_parts[0].version != stored.version:
            self.packed_parts = pack_publication(stored.version, decompress_document(stored))
        return self.packed_parts

    @property
    def publication(self) -> Publication | None:
        """Publication in force."""
        stored = self.state.publication
        if not stored.version:
            return None
        if self.parsed_publication is None or self.parsed_publication.version != stored.version:
            self.parsed_publication = Publication.from_json(
                decompress_document(stored), self.parsed_publication
            )
        return self.parsed_publication

    def owned_pools(self) -> list[str]:
        """Return the names of the pools whose keys are owned by servers."""
        publication = self.publication
        if publication is None:
            return []
        return [pool.name for pool in publication.pools.values() if pool.owned]

    def loads_of(self, pool: str) -> PoolLoads:
        """Return the key loads of a pool."""
        return self.loads.setdefault(pool, PoolLoads())

    def update_weights(self) -> None:
        """Apply the decay and update the weights of the servers of pools without owners."""
        self.weights.apply_decay()
        publication = self.publication
        if publication is None:
            return
        has_changed = False
        for pool in publication.pools.values():
            if not pool.owned:
                members = self.assignable(pool.name)
                has_changed |= self.weights.update(
                    [member.heartbeat.identity for member in members]
                )
        self.weights.retain(set(self.directory.members))
        if has_changed:
            self.servers_changed()

    def recorded_server(self, record: control_pb2.RecordServer) -> fleet_pb2.FleetServer:
        """Return a server of the log, with the limits that the feed had for it.

        The cold time is at least the remaining one, since the feed keeps it as it was sent.
        """
        server = FleetMember(ServerHeartbeat.from_record(record), 0.0).to_proto(
            is_evacuated=record.domain in self.state.tables.evacuated_domains
        )
        known = self.feed.servers.items.get(record.identity)
        if known is not None and known.life == record.life:
            server.cold_ms, server.admitted = known.cold_ms, known.admitted
        return server

    def overlaps_moving(self, pool: str, first: int, last: int) -> bool:
        """Return whether any of the keys is being moved."""
        moving = self.moving.get(pool)
        return moving is not None and moving.overlaps(first, last)

    def parts_not_moving(self, assignment: RangeAssignment) -> list[RangeAssignment]:
        """Return the parts of an assignment that are not being moved to another server."""
        moving = self.moving.get(assignment.pool)
        return [assignment] if moving is None else parts_outside(assignment, moving)

    def ranges(self) -> list[fleet_pb2.FleetRange]:
        """Return all ranges with their phases."""
        known, self.known_ranges = self.known_ranges, {}
        return [
            self._range_message(part, phase, known)
            for assignment in self.state.ranges.all()
            for part, phase in self._parts_with_phase(assignment)
        ]

    def _parts_with_phase(
        self, assignment: RangeAssignment
    ) -> Iterable[tuple[RangeAssignment, fleet_pb2.RangePhase]]:
        phase = HELD if assignment.fence in self.confirmed_fences else MOVING
        yield from ((part, phase) for part in self.parts_not_moving(assignment))
        moving = self.moving.get(assignment.pool)
        if moving is None:
            return
        for first_moving, last_moving in moving.overlapping(assignment.first, assignment.last):
            first, last = max(first_moving, assignment.first), min(last_moving, assignment.last)
            yield assignment.with_bounds(first, last), MOVING

    def _range_message(
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
