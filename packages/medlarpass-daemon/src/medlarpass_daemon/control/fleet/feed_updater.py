"""Keeps the feed of a control replica up to date."""

from __future__ import annotations

import asyncio
import math

from typing import TYPE_CHECKING

import grpc

from medlarpass.rpc import fleet_pb2
from medlarpass.rpc import fleet_pb2_grpc
from medlarpass_daemon.control.fleet import events
from medlarpass_daemon.control.fleet.newest_publication import NewestPublication
from medlarpass_daemon.control.fleet.relayed_ranges import RelayedRanges
from medlarpass_daemon.exceptions import PublicationGapError
from medlarpass_daemon.publication_parts import PublicationAssembler
from medlarpass_daemon.waiting import wait_until_set

if TYPE_CHECKING:
    from medlarpass import Clock
    from medlarpass_daemon.control.fleet.fleet_state import FleetState
    from medlarpass_daemon.control.replica_log import ReplicaLog
    from medlarpass_daemon.rpc_channels import RpcChannels
    from medlarpass_daemon.settings import DaemonSettings

#: Time without a message from the leader after which a relay opens another stream. The leader sends
#: a relay at least four updates a second.
LEADER_TIMEOUT_SECONDS = 0.8
#: Time without a message from the leader after which a relay stops serving its watchers. An
#: election usually takes less: if all entries turned to the new leader in the moment of its
#: election, it would be late for its followers. Entries have to follow another replica within 2 s.
MAX_STALENESS_SECONDS = 1.6
#: Minimum interval of the updates of the feed, which combines changes in quick succession.
MIN_REFRESH_INTERVAL_SECONDS = 0.02
#: Pause after an update of the feed, as a ratio of the time that it took, so that a leader with
#: many ranges or little processor time has time for its followers.
REFRESH_PAUSE_RATIO = 4.0
#: Interval at which the leader updates the feed without a change.
MAX_REFRESH_INTERVAL_SECONDS = 0.2
#: Delay before the next attempt while there is no leader to follow.
RETRY_INTERVAL_SECONDS = 0.1


class FeedUpdater:
    """Updates the feed from the local state while this replica leads, else from the leader.

    With relays the cost of a change at the leader grows with the number of control replicas and not
    of entries, and an update crosses the boundary of a failure domain only once.

    :param settings: settings of the process
    :param log: replicated log
    :param fleet: servers and ranges
    :param channels: gRPC channels
    :param clock: source of time; counts suspended time
    """

    __slots__ = (
        "channels",
        "clock",
        "fleet",
        "is_relaying",
        "last_failure",
        "log",
        "newest_publication",
        "own_source",
        "settings",
        "updated",
        "updated_at",
    )

    def __init__(
        self,
        settings: DaemonSettings,
        log: ReplicaLog,
        fleet: FleetState,
        channels: RpcChannels,
        clock: Clock,
    ) -> None:
        self.settings = settings
        self.log = log
        self.fleet = fleet
        self.channels = channels
        self.clock = clock
        self.own_source = fleet_pb2.FleetSource(
            address=settings.rpc.endpoint(), domain=settings.domain
        )
        #: Time of the last update from the leader, which may be this replica.
        self.updated_at = -math.inf
        #: Set and replaced on each update from the leader.
        self.updated = asyncio.Event()
        #: Whether this replica has forwarded updates of a leader since it last lost one.
        self.is_relaying = False
        self.newest_publication = NewestPublication(fleet, clock)
        #: How the last stream from a leader failed.
        self.last_failure = ""

    @property
    def is_leading(self) -> bool:
        """Whether this replica leads and has started to manage the ranges."""
        replica = self.log.replica
        return replica.is_leader and self.fleet.led_term == replica.term

    @property
    def is_leader_feed(self) -> bool:
        """Whether the feed contains the state of this replica as the leader."""
        return self.is_leading and self.fleet.feed.term == self.fleet.led_term

    @property
    def is_current(self) -> bool:
        """Whether the feed is recent enough to serve watchers."""
        return self.clock.now() - self.updated_at < MAX_STALENESS_SECONDS

    async def run(self) -> None:
        """Keep the feed up to date until cancelled."""
        while True:
            if self.is_leading:
                await self._lead()
                continue
            address = self.log.leader_address()
            if address and address != self.own_source.address:
                try:
                    await self._relay(address)
                except (grpc.aio.AioRpcError, TimeoutError, PublicationGapError) as error:
                    self.last_failure = f"{address}: {type(error).__name__}"
            if self.is_relaying and not self.is_current:
                self.is_relaying = False
                events.RELAY_LOST.log(term=self.fleet.feed.term, failure=self.last_failure)
            await asyncio.sleep(RETRY_INTERVAL_SECONDS)

    async def _lead(self) -> None:
        while self.is_leading:
            changed = self.fleet.changed
            started_at = self.clock.now()
            self.refresh()
            pause = REFRESH_PAUSE_RATIO * (self.clock.now() - started_at)
            pause = min(max(pause, MIN_REFRESH_INTERVAL_SECONDS), MAX_REFRESH_INTERVAL_SECONDS)
            await asyncio.sleep(pause)
            await wait_until_set(changed, MAX_REFRESH_INTERVAL_SECONDS - pause)

    def refresh(self) -> None:
        """Update the feed from the state of this replica, which leads."""
        members = self.log.replica.membership.members
        self.fleet.update_feed([member.address for member in members], self.own_source)
        self._record_update()

    def _record_update(self) -> None:
        self.updated_at = self.clock.now()
        self.updated.set()
        self.updated = asyncio.Event()

    async def _relay(self, address: str) -> None:
        """Apply updates of the leader until the stream fails or it no longer leads."""
        feed = self.fleet.feed
        stub = fleet_pb2_grpc.FleetStub(self.channels.to(address))
        request = fleet_pb2.WatchRequest(
            entry=self.settings.name,
            domain=self.settings.domain,
            version=feed.publication_version,
            is_relay=True,
            address=self.own_source.address,
        )
        call = stub.Watch(request)
        ranges = RelayedRanges()
        parts = PublicationAssembler()
        is_first = True
        try:
            while not self.is_leading:
                async with asyncio.timeout(LEADER_TIMEOUT_SECONDS):
                    update = await call.read()
                if not isinstance(update, fleet_pb2.FleetUpdate) or update.HasField("not_leader"):
                    return
                if update.term < feed.term:
                    # A former leader that has not noticed the new term yet.
                    return
                if is_first:
                    is_first = False
                    self.is_relaying = True
                    events.RELAY_BEGUN.log(control=address, term=update.term)
                self._apply(update, ranges, parts)
        finally:
            call.cancel()

    def _apply(
        self, update: fleet_pb2.FleetUpdate, ranges: RelayedRanges, parts: PublicationAssembler
    ) -> None:
        feed = self.fleet.feed
        # The feed revision confirms the whole update and is therefore set after the publication:
        # a part that does not apply ends the stream.
        if update.HasField("publication"):
            document = parts.add_part(update.publication, feed.publications.document)
            if document is not None:
                feed.set_publication(document)
        feed.set_header(update.term, update.entries, update.mark)
        if update.sources:
            feed.set_sources(list(update.controls), list(update.sources))
        if update.HasField("traffic") or update.is_whole:
            # The first update of a leader without a plan ends that of the previous leader.
            feed.set_traffic(update.traffic)
        if update.is_whole or update.servers or update.gone:
            servers = {} if update.is_whole else dict(feed.servers.items)
            for identity in update.gone:
                servers.pop(identity, None)
            servers.update((server.identity, server) for server in update.servers)
            feed.set_servers(servers.values())
        if ranges.apply(update):
            feed.set_ranges(ranges.all())
        self._record_update()
