"""gRPC service for entries and joining replicas."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING
from typing import Any

from medlarpass.fleet import FleetMember
from medlarpass.fleet import ServerNotice
from medlarpass.rpc import control_pb2
from medlarpass.rpc import fleet_pb2
from medlarpass.rpc import fleet_pb2_grpc
from medlarpass_daemon.control.fleet import events

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from medlarpass_daemon.control.fleet.fleet_state import FleetState
    from medlarpass_daemon.control.fleet.membership_keeper import MembershipKeeper
    from medlarpass_daemon.control.replica_log import ReplicaLog

#: Seconds after which an update is sent although nothing has changed, so that the entry can tell
#: a silent connection from a quiet one.
KEEPALIVE = 0.5
#: Least seconds between two updates of one entry; changes that come together travel together.
LEAST_INTERVAL = 0.05


class FleetService(fleet_pb2_grpc.FleetServicer):
    """Streams the leader's knowledge and takes reports.

    :param log: replicated log
    :param fleet: servers and ranges
    :param membership: changes of the control replicas
    """

    def __init__(self, log: ReplicaLog, fleet: FleetState, membership: MembershipKeeper) -> None:
        self.log = log
        self.fleet = fleet
        self.membership = membership

    async def Watch(
        self, request: fleet_pb2.WatchRequest, context: Any
    ) -> AsyncIterator[fleet_pb2.FleetUpdate]:
        """Stream updates while this replica leads."""
        replica = self.log.replica
        term = replica.term
        if not replica.is_leader:
            if not request.version and self.fleet.state.publication.version:
                yield self._from_log()
            yield fleet_pb2.FleetUpdate(not_leader=self._not_leader())
            return
        self.fleet.entries += 1
        events.WATCH_OPENED.log(entry=request.entry, term=term, version=request.version)
        try:
            sent = _Sent(request.version)
            while replica.is_leader and replica.term == term:
                changed = self.fleet.changed
                yield self._update(term, sent)
                await asyncio.sleep(LEAST_INTERVAL)
                await _wait(changed, KEEPALIVE)
            yield fleet_pb2.FleetUpdate(not_leader=self._not_leader())
        finally:
            self.fleet.entries -= 1
            events.WATCH_CLOSED.log(entry=request.entry, term=term, leads=replica.is_leader)

    async def Report(
        self, request: fleet_pb2.EntryReport, context: Any
    ) -> fleet_pb2.EntryReportResponse:
        """Take the loads that an entry has seen."""
        if not self.log.replica.is_leader:
            return fleet_pb2.EntryReportResponse(not_leader=self._not_leader())
        for load in request.loads:
            self.fleet.loads_of(load.pool).add(load.keys, load.requests)
        for time in request.times:
            self.fleet.speeds.add(time.identity, time.answers, time.milliseconds / 1000)
        return fleet_pb2.EntryReportResponse()

    async def Join(self, request: fleet_pb2.JoinRequest, context: Any) -> fleet_pb2.JoinResponse:
        """Make a replica a member."""
        is_member = await self.membership.join(request)
        return fleet_pb2.JoinResponse(is_member=is_member, leader_address=self.log.leader_address())

    def _from_log(self) -> fleet_pb2.FleetUpdate:
        """Return what the log says, so that an entry in a cut-off domain can begin to serve.

        It may be older than what the leader knows, as the view of any cut-off entry may be.
        """
        state = self.fleet.state
        held = fleet_pb2.RANGE_PHASE_HELD
        return fleet_pb2.FleetUpdate(
            from_follower=True,
            publication=self.fleet.packed_publication(),
            servers=[
                FleetMember(ServerNotice.from_record(record), 0.0).to_proto()
                for record in state.servers.all()
            ],
            ranges=fleet_pb2.RangeSet(
                ranges=[
                    fleet_pb2.FleetRange(assignment=each.to_proto(), phase=held)
                    for each in state.ranges.all()
                ]
            ),
        )

    def _update(self, term: int, sent: _Sent) -> fleet_pb2.FleetUpdate:
        update = fleet_pb2.FleetUpdate(
            term=term,
            controls=[member.address for member in self.log.replica.membership.members],
            entries=self.fleet.entries,
        )
        publication = self.fleet.state.publication
        if publication.version > sent.version:
            update.publication.CopyFrom(self.fleet.packed_publication())
            sent.version = publication.version
        self._add_servers(update, sent)
        self._add_ranges(update, sent)
        return update

    def _add_ranges(self, update: fleet_pb2.FleetUpdate, sent: _Sent) -> None:
        log = self.fleet.newest_ranges()
        changes = log.since(sent.ranges) if sent.ranges is not None else None
        sent.ranges = log.version
        if changes is None:
            update.ranges.CopyFrom(fleet_pb2.RangeSet(ranges=log.present.values()))
        else:
            update.range_changes.extend(changes)

    def _add_servers(self, update: fleet_pb2.FleetUpdate, sent: _Sent) -> None:
        present: dict[str, tuple[object, ...]] = {}
        members = {each.notice.identity: each for each in self.fleet.directory.present()}
        for identity, member in members.items():
            notice = member.notice
            key = (notice.life, notice.address, notice.pool, member.is_retired)
            present[identity] = key
            if sent.servers.get(identity) != key:
                update.servers.append(member.to_proto())
        if sent.servers.keys() - present.keys():
            update.is_whole = True
            del update.servers[:]
            update.servers.extend(member.to_proto() for member in members.values())
        sent.servers = present

    def _not_leader(self) -> control_pb2.NotLeader:
        return control_pb2.NotLeader(leader_address=self.log.leader_address())


class _Sent:
    """What one watching entry was told."""

    __slots__ = ("ranges", "servers", "version")

    def __init__(self, version: int) -> None:
        self.version = version
        self.servers: dict[str, tuple[object, ...]] = {}
        #: Version of the ranges; None before the first.
        self.ranges: int | None = None


async def _wait(changed: asyncio.Event, timeout: float) -> None:
    try:
        async with asyncio.timeout(timeout):
            await changed.wait()
    except TimeoutError:
        return
