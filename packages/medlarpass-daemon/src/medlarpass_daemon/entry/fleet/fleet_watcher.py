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
from medlarpass_daemon.entry.fleet.events import PUBLICATION_OVERDUE
from medlarpass_daemon.entry.fleet.events import WATCH_LOST
from medlarpass_daemon.entry.fleet.events import WATCH_REGAINED
from medlarpass_daemon.exceptions import PublicationGapError
from medlarpass_daemon.publication_parts import PublicationParts
from medlarpass_daemon.waiting import wait_until_set

if TYPE_CHECKING:
    from collections.abc import Callable

    from medlarpass.ranges import KeyLoads
    from medlarpass_daemon.entry.fleet.publication_age import PublicationAge
    from medlarpass_daemon.rpc_channels import RpcChannels
    from medlarpass_daemon.seeds import Seeds
    from medlarpass_daemon.settings import DaemonSettings

#: Seconds without an update after which a stream counts as broken; a replica sends one at least
#: every half second.
SILENCE = 1.2
#: Seconds until a replica that was just asked has to answer.
FIRST_ANSWER = 0.6
#: Bounds of the seconds between two tries; the pause grows while no replica serves, so that
#: hundreds of entries do not keep the few replicas busy with refusals.
LEAST_PAUSE = 0.1
MOST_PAUSE = 0.4
#: Seconds between two reports.
REPORT_PERIOD = 0.4
REPORT_TIMEOUT = 1.0
RETIRED = fleet_pb2.SERVER_PHASE_RETIRED


class FleetWatcher:
    """Keeps a stream of updates from a control replica open and reports to it.

    :param settings: settings of the process
    :param seeds: addresses to begin with
    :param apply: takes an update, with the parts of a publication that its stream has brought
    :param version: returns the version of the publication in force
    :param age: learns how old that may be
    :param loads: loads to report
    :param times: returns answers and their seconds by server since the last call
    :param channels: gRPC channels
    """

    __slots__ = (
        "age",
        "apply",
        "channels",
        "entries",
        "has_binding_news",
        "is_connected",
        "loads",
        "mark",
        "pause",
        "prompt",
        "settings",
        "source",
        "sources",
        "term",
        "times",
        "updates",
        "version",
    )

    def __init__(
        self,
        settings: DaemonSettings,
        seeds: Seeds,
        apply: Callable[[fleet_pb2.FleetUpdate, PublicationParts], None],
        version: Callable[[], int],
        age: PublicationAge,
        loads: KeyLoads,
        times: Callable[[], dict[str, tuple[int, float]]],
        channels: RpcChannels,
    ) -> None:
        self.settings = settings
        self.sources = ControlSources(settings, seeds)
        self.apply = apply
        self.version = version
        self.age = age
        self.loads = loads
        self.times = times
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
        self.prompt = asyncio.Event()
        #: Updates that the present stream has brought.
        self.updates = 0

    async def run(self) -> None:
        """Follow control until cancelled."""
        hint = ""
        while True:
            address = hint or self.sources.next()
            self.updates = 0
            began_at = asyncio.get_running_loop().time()
            try:
                hint = await self._follow(address)
                cause = "another replica is named" if hint else "the replica has ended it"
            except grpc.aio.AioRpcError as error:
                hint, cause = "", str(error.code())
            except TimeoutError:
                hint, cause = "", "silence"
            except PublicationGapError as error:
                hint, cause = "", error.code
            if hint and hint != address and hint == self.sources.first():
                # A change of the replica is no loss; what is known stays in force meanwhile. A
                # leader that has just been elected names itself and is asked again after a pause.
                self.source = ""
                continue
            self._lost(address, cause, asyncio.get_running_loop().time() - began_at)
            if not hint or hint == address:
                hint = ""
                await asyncio.sleep(self.pause * random.uniform(0.5, 1.0))
                self.pause = min(self.pause * 1.5, MOST_PAUSE)

    async def report(self) -> None:
        """Report loads, and ask for the newest publication, until cancelled."""
        while True:
            await wait_until_set(self.prompt, REPORT_PERIOD)
            is_prompt = self.prompt.is_set()
            self.prompt.clear()
            if not self.source:
                continue
            request = fleet_pb2.EntryReport(
                entry=self.settings.name,
                loads=self.loads.take(),
                times=[
                    fleet_pb2.ServerTime(
                        identity=identity, answers=answers, milliseconds=round(seconds * 1000)
                    )
                    for identity, (answers, seconds) in self.times().items()
                ],
                term=self.term,
                mark=self.mark,
                is_prompt=is_prompt,
            )
            stub = fleet_pb2_grpc.FleetStub(self.channels.to(self.source))
            asked_at = self.age.clock.now()
            try:
                response = await stub.Report(request, timeout=REPORT_TIMEOUT)
            except grpc.aio.AioRpcError:
                # The counts of one period only delay the balance; the watch logs a lost replica.
                continue
            known_at = asked_at - response.age_ms / 1000
            self.age.heard(response.publication_version, known_at, self.version())
            self._log_overdue()

    def _log_overdue(self) -> None:
        if not self.age.is_overdue:
            return
        awaited = self.age.awaited[0]
        PUBLICATION_OVERDUE.log(
            version=awaited.version,
            in_force=self.version(),
            seconds=round(self.age.clock.now() - awaited.heard_at, 3),
        )

    async def _follow(self, address: str) -> str:
        """Take updates of a replica until it fails, or another one is to be followed.

        :returns: address of the other replica, if one is known
        """
        stub = fleet_pb2_grpc.FleetStub(self.channels.to(address))
        request = fleet_pb2.WatchRequest(
            entry=self.settings.name, domain=self.settings.domain, version=self.version()
        )
        call = stub.Watch(request)
        parts = PublicationParts()
        wait = FIRST_ANSWER
        leave_at = asyncio.get_running_loop().time() + self.sources.stay()
        try:
            while True:
                async with asyncio.timeout(wait):
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
                self.updates += 1
                self._take(address, update, parts)
                wait = SILENCE
                has_stayed = asyncio.get_running_loop().time() >= leave_at
                if has_stayed and self.sources.is_better_known(address):
                    return self.sources.first()
        finally:
            call.cancel()

    def _take(self, address: str, update: fleet_pb2.FleetUpdate, parts: PublicationParts) -> None:
        if update.term != self.term:
            self.term, self.mark = update.term, 0
        self.sources.take(update.controls, update.sources)
        self.entries = max(update.entries, 1)
        if self.source != address:
            WATCH_REGAINED.log(control=address, term=update.term, tries=self.sources.tries)
            self.source = address
            self.is_connected = True
            self.pause = LEAST_PAUSE
            self.sources.served()
            # The answer says whether the routes held here are still the newest.
            self.prompt.set()
        self.apply(update, parts)
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
            self.prompt.set()

    def _lost(self, address: str, cause: str, seconds: float) -> None:
        self.source = ""
        if self.is_connected and self.term:
            self.is_connected = False
            WATCH_LOST.log(
                control=address,
                term=self.term,
                version=self.version(),
                cause=cause,
                updates=self.updates,
                seconds=round(seconds, 3),
            )
