"""gRPC service for entries and joining replicas."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING
from typing import Any

from medlarpass.rpc import control_pb2
from medlarpass.rpc import fleet_pb2
from medlarpass.rpc import fleet_pb2_grpc
from medlarpass_daemon.control.fleet import events
from medlarpass_daemon.control.fleet.fleet_feed import WatchCursor
from medlarpass_daemon.control.fleet.fleet_feed import whole_view
from medlarpass_daemon.waiting import wait_until_set

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from medlarpass_daemon.control.fleet.feed_updater import FeedUpdater
    from medlarpass_daemon.control.fleet.fleet_state import FleetState
    from medlarpass_daemon.control.fleet.membership_manager import MembershipManager
    from medlarpass_daemon.control.fleet.report_relay import ReportRelay
    from medlarpass_daemon.control.replica_log import ReplicaLog

#: Interval at which an update is sent without a change, so that a watcher can tell a broken
#: connection from an idle one.
KEEPALIVE_SECONDS = 0.5
RELAY_KEEPALIVE_SECONDS = 0.2
#: Minimum interval of the updates of one entry, which combines changes in quick succession.
MIN_UPDATE_INTERVAL_SECONDS = 0.05
#: The same for relays, of which there are few.
RELAY_MIN_UPDATE_INTERVAL_SECONDS = 0.02


#: Maximum time for which an entry that has a view waits for a replica that can't serve yet. Entries
#: without a replica would otherwise repeat their requests several times a second, which costs a
#: late replica the time that it needs to serve again. Shorter than an entry waits for a message.
MAX_SERVING_WAIT_SECONDS = 2.0


class FleetService(fleet_pb2_grpc.FleetServicer):
    """Streams the state of the leader to entries and relays, and receives reports.

    :param log: replicated log
    :param fleet: servers and ranges
    :param membership: changes of the control replicas
    :param feed: updater of the feed
    :param reports: relay of reports to the leader
    """

    def __init__(
        self,
        log: ReplicaLog,
        fleet: FleetState,
        membership: MembershipManager,
        feed: FeedUpdater,
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
        if request.version and not request.is_relay:
            await self._wait_until_serving(request)
        if not self._can_serve(request):
            if (
                not request.is_relay
                and not request.version
                and self.fleet.state.publication.version
            ):
                for part in self._whole_view_from_log():
                    yield part
            yield fleet_pb2.FleetUpdate(not_leader=self._not_leader())
            return
        self.fleet.watchers.add_stream(request)
        events.WATCH_OPENED.log(
            entry=request.entry, version=request.version, is_relay=request.is_relay
        )
        feed = self.fleet.feed
        cursor = WatchCursor(request.version)
        min_interval = (
            RELAY_MIN_UPDATE_INTERVAL_SECONDS if request.is_relay else MIN_UPDATE_INTERVAL_SECONDS
        )
        keepalive = RELAY_KEEPALIVE_SECONDS if request.is_relay else KEEPALIVE_SECONDS
        try:
            if not request.is_relay:
                for part in feed.whole_view_for(cursor):
                    yield part
            while self._can_serve(request):
                changed = feed.changed
                yield feed.update_for(cursor)
                if cursor.has_more:
                    continue
                await asyncio.sleep(min_interval)
                await wait_until_set(changed, keepalive)
            yield fleet_pb2.FleetUpdate(not_leader=self._not_leader())
        finally:
            self.fleet.watchers.remove_stream(request)
            events.WATCH_CLOSED.log(entry=request.entry, serves=self._can_serve(request))

    async def _wait_until_serving(self, request: fleet_pb2.WatchRequest) -> None:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + MAX_SERVING_WAIT_SECONDS
        while not self._can_serve(request) and (remaining := deadline - loop.time()) > 0:
            await wait_until_set(self.feed.updated, remaining)

    def _can_serve(self, request: fleet_pb2.WatchRequest) -> bool:
        """Return whether a watcher can be served; relays are served by the leader only."""
        return self.feed.is_leader_feed if request.is_relay else self.feed.is_current

    async def Report(
        self, request: fleet_pb2.EntryReport, context: Any
    ) -> fleet_pb2.EntryReportResponse:
        """Record the loads that an entry reports, and return the newest publication version."""
        if not self.log.replica.is_leader:
            if not self.feed.is_current:
                return fleet_pb2.EntryReportResponse(not_leader=self._not_leader())
            self.fleet.watchers.record_report(request)
            self.reports.add(request)
            return self.feed.newest_publication.to_response()
        self.fleet.watchers.record_report(request)
        self.fleet.limits.add_report(request)
        for load in request.loads:
            self.fleet.loads_of(load.pool).add(load.keys, load.requests)
        for demand in request.demands:
            self.fleet.demands.add(demand)
        for reported in request.times:
            self.fleet.speeds.add(reported.identity, reported.answers, reported.milliseconds / 1000)
            self.fleet.weights.add(
                reported.identity, reported.answers, reported.milliseconds / 1000
            )
            self.fleet.capacity.add(
                reported.identity,
                reported.answers,
                reported.milliseconds / 1000,
                reported.unqueued_answers,
                reported.unqueued_milliseconds / 1000,
            )
        return self.feed.newest_publication.to_response()

    async def Join(self, request: fleet_pb2.JoinRequest, context: Any) -> fleet_pb2.JoinResponse:
        """Make a replica a member."""
        is_member = await self.membership.join(request)
        return fleet_pb2.JoinResponse(is_member=is_member, leader_address=self.log.leader_address())

    def _whole_view_from_log(self) -> list[fleet_pb2.FleetUpdate]:
        """Return the state in the log, so that an entry in a partitioned domain can start serving.

        It may be older than the state of the leader, like the view of any partitioned entry.
        """
        state = self.fleet.state
        held = fleet_pb2.RANGE_PHASE_HELD
        return whole_view(
            fleet_pb2.FleetUpdate(from_follower=True),
            self.fleet.packed_publication(),
            (self.fleet.recorded_server(record) for record in state.servers.all()),
            (
                fleet_pb2.FleetRange(assignment=assignment.to_proto(), phase=held)
                for assignment in state.ranges.all()
            ),
        )

    def _not_leader(self) -> control_pb2.NotLeader:
        return control_pb2.NotLeader(leader_address=self.log.leader_address())
