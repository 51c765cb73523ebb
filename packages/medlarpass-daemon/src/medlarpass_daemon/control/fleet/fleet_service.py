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
from medlarpass_daemon.control.fleet.fleet_feed import Told
from medlarpass_daemon.control.fleet.fleet_feed import whole_view
from medlarpass_daemon.waiting import wait_until_set

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from medlarpass_daemon.control.fleet.feed_keeper import FeedKeeper
    from medlarpass_daemon.control.fleet.fleet_state import FleetState
    from medlarpass_daemon.control.fleet.membership_keeper import MembershipKeeper
    from medlarpass_daemon.control.fleet.report_relay import ReportRelay
    from medlarpass_daemon.control.replica_log import ReplicaLog

#: Seconds after which an update is sent although nothing has changed, so that a watcher can tell
#: a silent connection from a quiet one.
KEEPALIVE = 0.5
RELAY_KEEPALIVE = 0.2
#: Least seconds between two updates of one entry; changes that come together travel together.
LEAST_INTERVAL = 0.05
#: The same for relays, which are few.
RELAY_INTERVAL = 0.02


class FleetService(fleet_pb2_grpc.FleetServicer):
    """Streams the leader's knowledge to entries and relays, and takes reports.

    :param log: replicated log
    :param fleet: servers and ranges
    :param membership: changes of the control replicas
    :param feed: keeps the feed up to date
    :param reports: reports that wait for the leader
    """

    def __init__(
        self,
        log: ReplicaLog,
        fleet: FleetState,
        membership: MembershipKeeper,
        feed: FeedKeeper,
        reports: ReportRelay,
    ) -> None:
        self.log = log
        self.fleet = fleet
        self.membership = membership
        self.feed = feed
        self.reports = reports

    async def Watch(
        self, request: fleet_pb2.WatchRequest, context: Any
    ) -> AsyncIterator[fleet_pb2.FleetUpdate]:
        """Stream updates while this replica leads or, to entries, while it follows a leader."""
        if not self._serves(request):
            if (
                not request.is_relay
                and not request.version
                and self.fleet.state.publication.version
            ):
                for part in self._from_log():
                    yield part
            yield fleet_pb2.FleetUpdate(not_leader=self._not_leader())
            return
        self.fleet.watchers.opened(request)
        events.WATCH_OPENED.log(
            entry=request.entry, version=request.version, is_relay=request.is_relay
        )
        feed = self.fleet.feed
        told = Told(request.version)
        least = RELAY_INTERVAL if request.is_relay else LEAST_INTERVAL
        keepalive = RELAY_KEEPALIVE if request.is_relay else KEEPALIVE
        try:
            if not request.is_relay:
                for part in feed.parts_for(told):
                    yield part
            while self._serves(request):
                changed = feed.changed
                yield feed.update_for(told)
                if told.has_more:
                    continue
                await asyncio.sleep(least)
                await wait_until_set(changed, keepalive)
            yield fleet_pb2.FleetUpdate(not_leader=self._not_leader())
        finally:
            self.fleet.watchers.closed(request)
            events.WATCH_CLOSED.log(entry=request.entry, serves=self._serves(request))

    def _serves(self, request: fleet_pb2.WatchRequest) -> bool:
        """Return whether a watcher can be told what the leader says; relays ask the leader only."""
        return self.feed.speaks_as_leader if request.is_relay else self.feed.is_current

    async def Report(
        self, request: fleet_pb2.EntryReport, context: Any
    ) -> fleet_pb2.EntryReportResponse:
        """Take the loads that an entry has seen, and tell it the newest publication."""
        if not self.log.replica.is_leader:
            if not self.feed.is_current:
                return fleet_pb2.EntryReportResponse(not_leader=self._not_leader())
            self.fleet.watchers.take(request)
            self.reports.take(request)
            return self.feed.newest.tell()
        self.fleet.watchers.take(request)
        for load in request.loads:
            self.fleet.loads_of(load.pool).add(load.keys, load.requests)
        for time in request.times:
            self.fleet.speeds.add(time.identity, time.answers, time.milliseconds / 1000)
            self.fleet.weights.add(time.identity, time.answers, time.milliseconds / 1000)
        return self.feed.newest.tell()

    async def Join(self, request: fleet_pb2.JoinRequest, context: Any) -> fleet_pb2.JoinResponse:
        """Make a replica a member."""
        is_member = await self.membership.join(request)
        return fleet_pb2.JoinResponse(is_member=is_member, leader_address=self.log.leader_address())

    def _from_log(self) -> list[fleet_pb2.FleetUpdate]:
        """Return what the log says, so that an entry in a cut-off domain can begin to serve.

        It may be older than what the leader knows, as the view of any cut-off entry may be.
        """
        state = self.fleet.state
        held = fleet_pb2.RANGE_PHASE_HELD
        return whole_view(
            fleet_pb2.FleetUpdate(from_follower=True),
            self.fleet.packed_publication(),
            (
                FleetMember(ServerNotice.from_record(record), 0.0).to_proto()
                for record in state.servers.all()
            ),
            (
                fleet_pb2.FleetRange(assignment=each.to_proto(), phase=held)
                for each in state.ranges.all()
            ),
        )

    def _not_leader(self) -> control_pb2.NotLeader:
        return control_pb2.NotLeader(leader_address=self.log.leader_address())
