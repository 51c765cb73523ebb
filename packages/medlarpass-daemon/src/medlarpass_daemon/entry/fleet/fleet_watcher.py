"""Follows control."""

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

#: Seconds without an update after which another replica is asked too; a replica sends one at least
#: every half second.
QUIET = 1.2
#: Seconds until a replica that was just asked has to answer before another one is asked too.
FIRST_ANSWER = 0.6
#: Seconds without a message after which a stream is given up. On a link that is full of bodies a
#: request and its answer take more than a second.
PATIENCE = 3.0
#: Replicas that are asked at a time.
MOST_STREAMS = 3
#: Bounds of the seconds between two tries; the pause grows while no replica serves, so that
#: hundreds of entries do not keep the few replicas busy with refusals.
LEAST_PAUSE = 0.1
MOST_PAUSE = 0.4
RETIRED = fleet_pb2.SERVER_PHASE_RETIRED


class ControlStream:
    """A stream of updates from a control replica.

    :param address: address of the replica
    :param began_at: reading of the loop's clock when it was asked
    """

    __slots__ = ("address", "began_at", "updates")

    def __init__(self, address: str, began_at: float) -> None:
        self.address = address
        self.began_at = began_at
        #: Updates that it has brought.
        self.updates = 0


class FleetWatcher:
    """Keeps a stream of updates from a control replica open.

    :param settings: settings of the process
    :param seeds: addresses to begin with
    :param apply: takes an update, with the parts of a publication that its stream has brought
    :param version: returns the version of the publication in force
    :param channels: gRPC channels
    """

    __slots__ = (
        "apply",
        "channels",
        "due_at",
        "entries",
        "has_binding_news",
        "is_connected",
        "mark",
        "pause",
        "report_due",
        "settings",
        "source",
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
        #: Address of the replica that sends updates, empty while none does.
        self.source = ""
        #: Newest term of a leader that was heard.
        self.term = 0
        #: State of the leader in that term that this entry knows; 0 while that is not known.
        self.mark = 0
        #: Whether a publication or the leave of a server has come since the last mark.
        self.has_binding_news = False
        #: Entries that follow the leader.
        self.entries = 1
        self.is_connected = True
        self.pause = LEAST_PAUSE
        #: Set when a report is due before its period ends.
        self.report_due = asyncio.Event()
        #: Streams by the task that reads them.
        self.streams: dict[asyncio.Task[str], ControlStream] = {}
        #: Reading of the loop's clock when another replica is asked.
        self.due_at = 0.0

    async def run(self) -> None:
        """Follow control until cancelled.

        A replica that is late is not given up for the next one: on a full link every answer is
        late, and an entry that begins anew each time follows nobody. The next one is asked beside
        it, and the first to say something is followed.
        """
        hint = ""
        try:
            while True:
                if self._is_another_due():
                    self._open(hint or self.sources.next())
                    hint = ""
                for task in await self._wait():
                    hint = self._ended(task) or hint
        finally:
            self._end_others("")

    def _is_another_due(self) -> bool:
        is_due = asyncio.get_running_loop().time() >= self.due_at
        return is_due and len(self.streams) < MOST_STREAMS

    async def _wait(self) -> set[asyncio.Task[str]]:
        """Return the streams that have ended, or none once another replica is due."""
        rest = self.due_at - asyncio.get_running_loop().time()
        if not self.streams:
            await asyncio.sleep(rest)
            return set()
        # A full set of streams changes when one of them ends only.
        timeout = max(rest, 0.0) if len(self.streams) < MOST_STREAMS else None
        done, _ = await asyncio.wait(
            self.streams, timeout=timeout, return_when=asyncio.FIRST_COMPLETED
        )
        return done

    def _open(self, address: str) -> None:
        """Ask a replica, or the next one that is not being asked."""
        self.due_at = asyncio.get_running_loop().time() + FIRST_ANSWER
        asked = {stream.address for stream in self.streams.values()}
        for _ in asked:
            if address in asked:
                address = self.sources.next()
        self._ask(address)

    def _ask(self, address: str) -> None:
        """Ask a replica unless it is being asked."""
        if all(stream.address != address for stream in self.streams.values()):
            task = asyncio.create_task(self._follow(address))
            self.streams[task] = ControlStream(address, asyncio.get_running_loop().time())

    def _ended(self, task: asyncio.Task[str]) -> str:
        """Take the end of a stream and return the address of a replica to ask at once, if any."""
        stream = self.streams.pop(task)
        hint = ""
        try:
            hint = task.result()
            cause = "another replica is named" if hint else "the replica has ended it"
        except asyncio.CancelledError:
            # Another stream has taken over.
            return ""
        except grpc.aio.AioRpcError as error:
            cause = str(error.code())
        except TimeoutError:
            cause = "silence"
        except PublicationGapError as error:
            cause = error.code
        if self.source not in ("", stream.address):
            return ""
        now = asyncio.get_running_loop().time()
        is_named = hint not in ("", stream.address)
        if is_named and hint == self.sources.first():
            # A change of the replica is no loss; what is known stays in force meanwhile.
            self.source = ""
        else:
            self._lost(stream, cause)
        if is_named:
            self.due_at = now
            return hint
        # A leader that has just been elected names itself and is asked again after a pause.
        self.due_at = now + self.pause * random.uniform(0.5, 1.0)
        self.pause = min(self.pause * 1.5, MOST_PAUSE)
        return ""

    def _end_others(self, address: str) -> None:
        """End the streams that are not needed any more.

        :param address: replica that has just spoken; empty when none is to be followed
        """
        kept = {address}
        if address and address == self.source:
            # The preferred replica was asked while this one serves, and may still answer.
            kept.add(self.sources.first())
        for task, stream in self.streams.items():
            if stream.address not in kept:
                task.cancel()

    async def _follow(self, address: str) -> str:
        """Take updates of a replica until it fails, or another one is to be followed.

        :returns: address of the other replica, if one is known
        """
        stub = fleet_pb2_grpc.FleetStub(self.channels.to(address))
        request = fleet_pb2.WatchRequest(
            entry=self.settings.name, domain=self.settings.domain, version=self.version()
        )
        call = stub.Watch(request)
        parts = PublicationAssembler()
        leave_at = asyncio.get_running_loop().time() + self.sources.stay()
        try:
            while True:
                async with asyncio.timeout(PATIENCE):
                    update = await call.read()
                if not isinstance(update, fleet_pb2.FleetUpdate):
                    # The stream has ended.
                    return ""
                if update.from_follower:
                    FOLLOWER_HEARD.log(control=address, version=update.publication.version)
                    self.apply(update, parts)
                    continue
                if update.HasField("not_leader"):
                    return str(update.not_leader.leader_address)
                if update.term < self.term:
                    # A deposed leader that does not know it yet.
                    return ""
                self._take(address, update, parts)
                now = asyncio.get_running_loop().time()
                if now >= leave_at and self.sources.is_better_known(address):
                    # This stream goes on until the other replica has something to say.
                    self._ask(self.sources.first())
                    leave_at = now + self.sources.stay()
        finally:
            call.cancel()

    def _take(
        self, address: str, update: fleet_pb2.FleetUpdate, parts: PublicationAssembler
    ) -> None:
        if update.term != self.term:
            self.term, self.mark = update.term, 0
        self.sources.take(update.controls, update.sources)
        self.entries = max(update.entries, 1)
        # A stream that was asked for before the last publication may not fit; then it ends here,
        # and the present one goes on.
        self.apply(update, parts)
        self.due_at = asyncio.get_running_loop().time() + QUIET
        task = asyncio.current_task()
        if task in self.streams:
            self.streams[task].updates += 1
        self._end_others(address)
        if self.source != address:
            WATCH_REGAINED.log(control=address, term=update.term, tries=self.sources.tries)
            self.source = address
            self.is_connected = True
            self.pause = LEAST_PAUSE
            self.sources.served()
            # The answer says whether the routes held here are still the newest.
            self.report_due.set()
        self._mark(update)

    def _mark(self, update: fleet_pb2.FleetUpdate) -> None:
        """Note how far this entry follows, and report it at once if a confirmation may wait."""
        self.has_binding_news |= update.HasField("publication") or any(
            server.phase == RETIRED for server in update.servers
        )
        if not update.mark:
            return
        self.mark = update.mark
        if self.has_binding_news:
            self.has_binding_news = False
            self.report_due.set()

    def _lost(self, stream: ControlStream, cause: str) -> None:
        self.source = ""
        if self.is_connected and self.term:
            self.is_connected = False
            seconds = asyncio.get_running_loop().time() - stream.began_at
            WATCH_LOST.log(
                control=stream.address,
                term=self.term,
                version=self.version(),
                cause=cause,
                updates=stream.updates,
                seconds=round(seconds, 3),
            )
