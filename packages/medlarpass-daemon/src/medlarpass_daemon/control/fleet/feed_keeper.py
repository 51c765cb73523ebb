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
from medlarpass_daemon.publication_parts import PublicationParts
from medlarpass_daemon.waiting import wait_until_set

if TYPE_CHECKING:
    from medlarpass import Clock
    from medlarpass_daemon.control.fleet.fleet_state import FleetState
    from medlarpass_daemon.control.replica_log import ReplicaLog
    from medlarpass_daemon.rpc_channels import RpcChannels
    from medlarpass_daemon.settings import DaemonSettings

#: Seconds without a word from the leader after which a relay stops to serve its watchers. The
#: leader sends a relay an update four times a second at least.
SILENCE = 0.8
#: Seconds between two updates of the feed; changes that come together travel together.
LEAST_INTERVAL = 0.02
#: Seconds after which the leader looks at its state although nothing has changed.
REFRESH = 0.2
#: Seconds between two tries while no leader is known.
PAUSE = 0.1


class FeedKeeper:
    """Takes the feed from the own state while this replica leads, and else from the leader.

    With relays the cost of a change at the leader grows with the control replicas and not with
    the entries, and what it says crosses the border of a failure domain once.

    :param settings: settings of the process
    :param log: replicated log
    :param fleet: servers and ranges
    :param channels: gRPC channels
    :param clock: source of time; counts suspended time
    """

    __slots__ = (
        "channels",
        "clock",
        "failure",
        "fleet",
        "heard_at",
        "is_relaying",
        "log",
        "newest",
        "own",
        "settings",
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
        self.own = fleet_pb2.FleetSource(address=settings.rpc.endpoint(), domain=settings.domain)
        #: Reading of the clock of the last word of the leader, which may be this replica.
        self.heard_at = -math.inf
        #: Whether this replica has passed on what a leader said since it last lost one.
        self.is_relaying = False
        self.newest = NewestPublication(fleet, clock)
        #: How the last stream from a leader ended.
        self.failure = ""

    @property
    def leads(self) -> bool:
        """Whether this replica leads and has begun to keep the ranges."""
        replica = self.log.replica
        return replica.is_leader and self.fleet.led_term == replica.term

    @property
    def speaks_as_leader(self) -> bool:
        """Whether the feed is that of this replica as the leader."""
        return self.leads and self.fleet.feed.term == self.fleet.led_term

    @property
    def is_current(self) -> bool:
        """Whether the feed follows a leader."""
        return self.clock.now() - self.heard_at < SILENCE

    async def run(self) -> None:
        """Keep the feed until cancelled."""
        while True:
            if self.leads:
                await self._lead()
                continue
            address = self.log.leader_address()
            if address and address != self.own.address:
                try:
                    await self._relay(address)
                except (grpc.aio.AioRpcError, TimeoutError, PublicationGapError) as error:
                    self.failure = f"{address}: {type(error).__name__}"
            if self.is_relaying and not self.is_current:
                self.is_relaying = False
                events.RELAY_LOST.log(term=self.fleet.feed.term, failure=self.failure)
            await asyncio.sleep(PAUSE)

    async def _lead(self) -> None:
        while self.leads:
            changed = self.fleet.changed
            self.refresh()
            await asyncio.sleep(LEAST_INTERVAL)
            await wait_until_set(changed, REFRESH)

    def refresh(self) -> None:
        """Take the state of this replica, which leads."""
        members = self.log.replica.membership.members
        self.fleet.refresh([member.address for member in members], self.own)
        self.heard_at = self.clock.now()

    async def _relay(self, address: str) -> None:
        """Take updates of the leader until it fails or leads no more."""
        feed = self.fleet.feed
        stub = fleet_pb2_grpc.FleetStub(self.channels.to(address))
        request = fleet_pb2.WatchRequest(
            entry=self.settings.name,
            domain=self.settings.domain,
            version=feed.publication_version,
            is_relay=True,
            address=self.own.address,
        )
        call = stub.Watch(request)
        ranges = RelayedRanges()
        parts = PublicationParts()
        is_first = True
        try:
            while not self.leads:
                async with asyncio.timeout(SILENCE):
                    update = await call.read()
                if not isinstance(update, fleet_pb2.FleetUpdate) or update.HasField("not_leader"):
                    return
                if update.term < feed.term:
                    # A deposed leader that does not know it yet.
                    return
                if is_first:
                    is_first = False
                    self.is_relaying = True
                    events.RELAY_BEGUN.log(control=address, term=update.term)
                self._take(update, ranges, parts)
        finally:
            call.cancel()

    def _take(
        self, update: fleet_pb2.FleetUpdate, ranges: RelayedRanges, parts: PublicationParts
    ) -> None:
        feed = self.fleet.feed
        # The mark says that all of an update is here, and a part that does not fit ends the stream.
        if update.HasField("publication"):
            document = parts.take(update.publication, feed.publications.document)
            if document is not None:
                feed.take_publication(document)
        feed.take_head(update.term, update.entries, update.mark)
        if update.sources:
            feed.take_sources(list(update.controls), list(update.sources))
        if update.is_whole or update.servers or update.gone:
            servers = {} if update.is_whole else dict(feed.servers.present)
            for identity in update.gone:
                servers.pop(identity, None)
            servers.update((server.identity, server) for server in update.servers)
            feed.take_servers(servers.values())
        if ranges.take(update):
            feed.take_ranges(ranges.all())
        self.heard_at = self.clock.now()
