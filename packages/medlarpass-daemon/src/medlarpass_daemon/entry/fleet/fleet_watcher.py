"""Follows the updates of control."""

from __future__ import annotations

import asyncio
import random

from typing import TYPE_CHECKING

import grpc

from medlarpass.rpc import fleet_pb2
from medlarpass.rpc import fleet_pb2_grpc
from medlarpass_daemon.entry.fleet.control_sources import ControlSources
from medlarpass_daemon.entry.fleet.events import FOLLOWER_HEARD
from medlarpass_daemon.entry.fleet.events import WATCH_LOST
from medlarpass_daemon.entry.fleet.events import WATCH_REGAINED
from medlarpass_daemon.exceptions import PublicationGapError
from medlarpass_daemon.publication_parts import PublicationAssembler

if TYPE_CHECKING:
    from collections.abc import Callable

    from medlarpass_daemon.rpc_channels import RpcChannels
    from medlarpass_daemon.seeds import Seeds
    from medlarpass_daemon.settings import DaemonSettings

#: Time without an update after which a stream to another replica is opened as well; a replica sends
#: an update at least every half second.
UPDATE_TIMEOUT_SECONDS = 1.2
#: Time that a new stream has for its first message before another replica is tried as well.
FIRST_RESPONSE_TIMEOUT_SECONDS = 0.6
#: Time without a message after which a stream is closed. On a link saturated with bodies, a request
#: and its response take more than a second.
STREAM_TIMEOUT_SECONDS = 3.0
#: Maximum number of concurrent streams.
MAX_STREAM_COUNT = 3
#: Bounds of the delay between two attempts; it grows while no replica serves, so that hundreds of
#: entries do not overload the few replicas with requests that they refuse.
MIN_RETRY_DELAY_SECONDS = 0.1
MAX_RETRY_DELAY_SECONDS = 0.4
#: Maximum delay before a replica is tried that another one has named. A relay that stops serving
#: names the leader to all of its entries in the same moment.
MAX_REFERRAL_DELAY_SECONDS = 0.3
RETIRED = fleet_pb2.SERVER_PHASE_RETIRED
EVACUATED = fleet_pb2.SERVER_PHASE_EVACUATED


class ControlStream:
    """A stream of updates from a control replica.

    :param address: address of the replica
    :param started_at: reading of the event loop's clock when the stream was opened
    """

    __slots__ = ("address", "started_at", "update_count")

    def __init__(self, address: str, started_at: float) -> None:
        self.address = address
        self.started_at = started_at
        #: Number of updates received.
        self.update_count = 0


class FleetWatcher:
    """Keeps a stream of updates from a control replica open.

    :param settings: settings of the process
    :param seeds: initial addresses
    :param apply: applies an update, with the parts of a publication received on its stream
    :param version: returns the version of the publication in force
    :param channels: gRPC channels
    """

    __slots__ = (
        "apply",
        "channels",
        "entry_count",
        "evacuated_servers",
        "feed_revision",
        "followed_address",
        "has_unreported_confirmation",
        "is_connected",
        "next_attempt_at",
        "report_due",
        "retry_delay",
        "settings",
        "sources",
        "streams",
        "term",
        "version",
    )

    def __init__(
        self,
        settings: DaemonSettings,
        seeds: Seeds,
        apply: Callable[[fleet_pb2.FleetUpdate, PublicationAssembler], None],
        version: Callable[[], int],
        channels: RpcChannels,
    ) -> None:
        self.settings = settings
        self.sources = ControlSources(settings, seeds)
        self.apply = apply
        self.version = version
        self.channels = channels
        #: Address of the replica that sends updates, empty if none does.
        self.followed_address = ""
        #: Highest term of a leader in any update.
        self.term = 0
        #: Revision of the leader's feed in that term that this entry has applied; 0 if unknown.
        self.feed_revision = 0
        #: Whether a publication, the retirement of a server, or the start or end of an evacuation
        #: has been received since the last feed revision was reported; control may wait for the
        #: report to confirm it.
        self.has_unreported_confirmation = False
        #: Identities of the servers whose failure domains are evacuated.
        self.evacuated_servers: set[str] = set()
        #: Number of entries that follow the leader.
        self.entry_count = 1
        self.is_connected = True
        self.retry_delay = MIN_RETRY_DELAY_SECONDS
        #: Set when a report is due before its interval has passed.
        self.report_due = asyncio.Event()
        #: Streams by the task that reads them.
        self.streams: dict[asyncio.Task[str], ControlStream] = {}
        #: Reading of the event loop's clock when another replica is to be tried.
        self.next_attempt_at = 0.0

    async def run(self) -> None:
        """Follow control until cancelled.

        A slow stream is not closed in favour of the next replica: on a saturated link every
        response is late, and an entry that starts over each time never follows any replica. The
        next stream is opened in addition, and the first one with an update is followed.
        """
        referred_address = ""
        try:
            while True:
                if self._is_next_due():
                    self._open_next(referred_address or self.sources.next_address())
                    referred_address = ""
                for task in await self._wait():
                    referred_address = self._handle_end(task) or referred_address
        finally:
            self._cancel_others("")

    def _is_next_due(self) -> bool:
        is_due = asyncio.get_running_loop().time() >= self.next_attempt_at
        return is_due and len(self.streams) < MAX_STREAM_COUNT

    async def _wait(self) -> set[asyncio.Task[str]]:
        """Return the streams that have ended, or none once another replica is to be tried."""
        remaining = self.next_attempt_at - asyncio.get_running_loop().time()
        if not self.streams:
            await asyncio.sleep(remaining)
            return set()
        # At the maximum number of streams, another one is opened only after one has ended.
        timeout = max(remaining, 0.0) if len(self.streams) < MAX_STREAM_COUNT else None
        done, _ = await asyncio.wait(
            self.streams, timeout=timeout, return_when=asyncio.FIRST_COMPLETED
        )
        return done

    def _open_next(self, address: str) -> None:
        """Open a stream to a replica, or to the next one without a stream."""
        self.next_attempt_at = asyncio.get_running_loop().time() + FIRST_RESPONSE_TIMEOUT_SECONDS
        open_addresses = {stream.address for stream in self.streams.values()}
        for _ in open_addresses:
            if address in open_addresses:
                address = self.sources.next_address()
        self._open_stream(address)

    def _open_stream(self, address: str) -> None:
        """Open a stream to a replica unless there is one."""
        if all(stream.address != address for stream in self.streams.values()):
            task = asyncio.create_task(self._follow(address))
            self.streams[task] = ControlStream(address, asyncio.get_running_loop().time())

    def _handle_end(self, task: asyncio.Task[str]) -> str:
        """Handle the end of a stream and return the address of a replica to try at once, if any."""
        stream = self.streams.pop(task)
        referred_address = ""
        try:
            referred_address = task.result()
            cause = "another replica is named" if referred_address else "the replica has ended it"
        except asyncio.CancelledError:
            # Another stream is followed instead.
            return ""
        except grpc.aio.AioRpcError as error:
            cause = str(error.code())
        except TimeoutError:
            cause = "silence"
        except PublicationGapError as error:
            cause = error.code
        if self.followed_address not in ("", stream.address):
            return ""
        now = asyncio.get_running_loop().time()
        is_referred = referred_address not in ("", stream.address)
        if is_referred and referred_address == self.sources.preferred_address():
            # A change of the replica is not a loss; the known state stays in force meanwhile.
            self.followed_address = ""
        else:
            self._record_loss(stream, cause)
        if is_referred:
            has_view = bool(self.term)
            self.next_attempt_at = now + random.uniform(0.0, MAX_REFERRAL_DELAY_SECONDS) * has_view
            return referred_address
        # A newly elected leader refers to itself until it serves; it is tried again after a delay.
        self.next_attempt_at = now + self.retry_delay * random.uniform(0.5, 1.0)
        self.retry_delay = min(self.retry_delay * 1.5, MAX_RETRY_DELAY_SECONDS)
        return ""

    def _cancel_others(self, address: str) -> None:
        """Cancel the streams that are no longer needed.

        :param address: replica that has just sent an update; empty to cancel all streams
        """
        retained = {address}
        if address and address == self.followed_address:
            # The preferred replica is tried while this one serves, and may still respond.
            retained.add(self.sources.preferred_address())
        for task, stream in self.streams.items():
            if stream.address not in retained:
                task.cancel()

    async def _follow(self, address: str) -> str:
        """Apply the updates of a replica until it fails or refers to another one.

        :returns: address of the other replica, if one is known
        """
        stub = fleet_pb2_grpc.FleetStub(self.channels.to(address))
        request = fleet_pb2.WatchRequest(
            entry=self.settings.name, domain=self.settings.domain, version=self.version()
        )
        call = stub.Watch(request)
        assembler = PublicationAssembler()
        leave_at = asyncio.get_running_loop().time() + self.sources.remote_follow_seconds()
        try:
            while True:
                async with asyncio.timeout(STREAM_TIMEOUT_SECONDS):
                    update = await call.read()
                if not isinstance(update, fleet_pb2.FleetUpdate):
                    # The replica has closed the stream.
                    return ""
                if update.from_follower:
                    FOLLOWER_HEARD.log(control=address, version=update.publication.version)
                    self.apply(update, assembler)
                    continue
                if update.HasField("not_leader"):
                    return str(update.not_leader.leader_address)
                if update.term < self.term:
                    # A former leader that does not know its successor yet.
                    return ""
                self._apply_update(address, update, assembler)
                now = asyncio.get_running_loop().time()
                if now >= leave_at and self.sources.has_local_alternative(address):
                    # This stream stays open until the other replica has sent an update.
                    self._open_stream(self.sources.preferred_address())
                    leave_at = now + self.sources.remote_follow_seconds()
        finally:
            call.cancel()

    def _apply_update(
        self, address: str, update: fleet_pb2.FleetUpdate, assembler: PublicationAssembler
    ) -> None:
        if update.term != self.term:
            self.term, self.feed_revision = update.term, 0
        self.sources.set_replicas(update.controls, update.sources)
        self.entry_count = max(update.entries, 1)
        # A stream opened before the last publication may not match it; then it ends here, and the
        # current one continues.
        self.apply(update, assembler)
        self.next_attempt_at = asyncio.get_running_loop().time() + UPDATE_TIMEOUT_SECONDS
        task = asyncio.current_task()
        if task in self.streams:
            self.streams[task].update_count += 1
        self._cancel_others(address)
        if self.followed_address != address:
            WATCH_REGAINED.log(control=address, term=update.term, tries=self.sources.attempt_count)
            self.followed_address = address
            self.is_connected = True
            self.retry_delay = MIN_RETRY_DELAY_SECONDS
            self.sources.restart_order()
            # The response tells whether the publication in force is still the newest.
            self.report_due.set()
        self._record_feed_revision(update)

    def _record_feed_revision(self, update: fleet_pb2.FleetUpdate) -> None:
        """Record the feed revision, and report it at once if a confirmation may depend on it."""
        self.has_unreported_confirmation |= update.HasField("publication") or any(
            server.phase == RETIRED for server in update.servers
        )
        self.has_unreported_confirmation |= self._record_evacuations(update)
        if not update.mark:
            return
        self.feed_revision = update.mark
        if self.has_unreported_confirmation:
            self.has_unreported_confirmation = False
            self.report_due.set()

    def _record_evacuations(self, update: fleet_pb2.FleetUpdate) -> bool:
        """Record which servers are evacuated, and return whether that has changed.

        Other changes of these servers, such as their weights, need no prompt report.
        """
        has_changed = False
        for server in update.servers:
            if (server.phase == EVACUATED) != (server.identity in self.evacuated_servers):
                self.evacuated_servers ^= {server.identity}
                has_changed = True
        self.evacuated_servers.difference_update(update.gone)
        return has_changed

    def _record_loss(self, stream: ControlStream, cause: str) -> None:
        self.followed_address = ""
        if self.is_connected and self.term:
            self.is_connected = False
            seconds = asyncio.get_running_loop().time() - stream.started_at
            WATCH_LOST.log(
                control=stream.address,
                term=self.term,
                version=self.version(),
                cause=cause,
                updates=stream.update_count,
                seconds=round(seconds, 3),
            )
