"""Follows the control leader."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING

import grpc

from medlarpass.rpc import fleet_pb2
from medlarpass.rpc import fleet_pb2_grpc
from medlarpass_daemon.entry.fleet.events import FOLLOWER_HEARD
from medlarpass_daemon.entry.fleet.events import WATCH_LOST
from medlarpass_daemon.entry.fleet.events import WATCH_REGAINED

if TYPE_CHECKING:
    from collections.abc import Callable

    from medlarpass_daemon.entry.fleet.key_loads import KeyLoads
    from medlarpass_daemon.rpc_channels import RpcChannels
    from medlarpass_daemon.seeds import Seeds
    from medlarpass_daemon.settings import DaemonSettings

#: Seconds without an update after which a stream counts as broken; the leader sends one at least
#: every half second.
SILENCE = 1.2
#: Seconds until a replica that was just asked has to answer.
FIRST_ANSWER = 0.6
#: Seconds between two tries when no replica leads; with jitter by position in the list.
PAUSE = 0.1
#: Seconds between two reports.
REPORT_PERIOD = 0.5
REPORT_TIMEOUT = 1.0


class FleetWatcher:
    """Keeps a stream of updates from the leader open and reports to it.

    :param settings: settings of the process
    :param seeds: addresses to begin with
    :param apply: takes an update
    :param version: returns the version of the publication in force
    :param loads: loads to report
    :param times: returns answers and their seconds by server since the last call
    :param channels: gRPC channels
    """

    __slots__ = (
        "apply",
        "channels",
        "controls",
        "entries",
        "is_connected",
        "leader",
        "loads",
        "seeds",
        "settings",
        "term",
        "times",
        "tries",
        "version",
    )

    def __init__(
        self,
        settings: DaemonSettings,
        seeds: Seeds,
        apply: Callable[[fleet_pb2.FleetUpdate], None],
        version: Callable[[], int],
        loads: KeyLoads,
        times: Callable[[], dict[str, tuple[int, float]]],
        channels: RpcChannels,
    ) -> None:
        self.settings = settings
        self.seeds = seeds
        self.apply = apply
        self.version = version
        self.loads = loads
        self.times = times
        self.channels = channels
        #: Address of the leader that sends updates, empty while none does.
        self.leader = ""
        self.controls: list[str] = []
        #: Newest term of a leader that was heard.
        self.term = 0
        #: Entries that follow the leader.
        self.entries = 1
        self.is_connected = True
        self.tries = 0

    async def run(self) -> None:
        """Follow the leader until cancelled."""
        hint = ""
        while True:
            addresses = list(dict.fromkeys([*self.controls, *self.seeds.addresses]))
            address = hint or addresses[self.tries % len(addresses)]
            self.tries += 1
            try:
                hint = await self._follow(address)
            except (grpc.aio.AioRpcError, TimeoutError):
                hint = ""
            self._lost(address)
            if not hint or hint == address:
                hint = ""
                await asyncio.sleep(PAUSE)

    async def report(self) -> None:
        """Report loads until cancelled."""
        while True:
            await asyncio.sleep(REPORT_PERIOD)
            if not self.leader:
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
            )
            stub = fleet_pb2_grpc.FleetStub(self.channels.to(self.leader))
            try:
                await stub.Report(request, timeout=REPORT_TIMEOUT)
            except grpc.aio.AioRpcError:
                # The counts of one period only delay the balance; the watch logs a lost leader.
                continue

    async def _follow(self, address: str) -> str:
        """Take updates of a replica until it fails or does not lead.

        :returns: address of the leader, if the replica names it
        """
        stub = fleet_pb2_grpc.FleetStub(self.channels.to(address))
        request = fleet_pb2.WatchRequest(
            entry=self.settings.name, domain=self.settings.domain, version=self.version()
        )
        call = stub.Watch(request)
        wait = FIRST_ANSWER
        try:
            while True:
                async with asyncio.timeout(wait):
                    update = await call.read()
                if not isinstance(update, fleet_pb2.FleetUpdate):
                    # The stream has ended.
                    return ""
                if update.from_follower:
                    FOLLOWER_HEARD.log(control=address, version=update.publication.version)
                    self.apply(update)
                    continue
                if update.HasField("not_leader"):
                    return str(update.not_leader.leader_address)
                if update.term < self.term:
                    # A deposed leader that does not know it yet.
                    return ""
                self._take(address, update)
                wait = SILENCE
        finally:
            call.cancel()

    def _take(self, address: str, update: fleet_pb2.FleetUpdate) -> None:
        self.term = update.term
        self.leader = address
        self.controls = list(update.controls)
        self.entries = max(update.entries, 1)
        if not self.is_connected or self.tries:
            WATCH_REGAINED.log(control=address, term=update.term, tries=self.tries)
            self.is_connected = True
            self.tries = 0
        self.apply(update)

    def _lost(self, address: str) -> None:
        self.leader = ""
        if self.is_connected and self.term:
            self.is_connected = False
            WATCH_LOST.log(control=address, term=self.term, version=self.version())
