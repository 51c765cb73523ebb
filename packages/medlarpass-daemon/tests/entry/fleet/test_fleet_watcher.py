"""How an entry looks for a replica to follow."""

from __future__ import annotations

import asyncio
import itertools

from types import SimpleNamespace
from typing import TYPE_CHECKING
from typing import Any

import grpc
import pytest

from medlarpass.rpc import fleet_pb2
from medlarpass.rpc import fleet_pb2_grpc
from medlarpass_daemon.entry.fleet import control_sources
from medlarpass_daemon.entry.fleet import fleet_watcher
from medlarpass_daemon.entry.fleet.fleet_watcher import FleetWatcher
from medlarpass_daemon.exceptions import PublicationGapError

if TYPE_CHECKING:
    from medlarpass_daemon.publication_parts import PublicationAssembler

LEADER = "10.0.0.1:1"


async def test_a_leader_that_does_not_serve_yet_is_asked_in_moderation(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against entries that ask a new leader without a pause until it serves.

    It names itself as the leader, and is the replica that the entries of its domain prefer.
    """
    settings: Any = SimpleNamespace(name="e", domain="north")
    seeds: Any = SimpleNamespace(addresses=[LEADER])
    nothing: Any = None
    watcher = FleetWatcher(settings, seeds, nothing, lambda: 0, nothing)
    source = fleet_pb2.FleetSource(address=LEADER, domain="north")
    watcher.sources.take([LEADER], [source])
    asked: list[str] = []

    async def follow(address: str) -> str:
        asked.append(address)
        await asyncio.sleep(0)
        return LEADER

    monkeypatch.setattr(FleetWatcher, "_follow", lambda self, address: follow(address))
    running = asyncio.create_task(watcher.run())
    await asyncio.sleep(0.3)
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)
    assert 1 <= len(asked) <= 10


class ScriptedCall:
    """A stream of a replica that follows a script."""

    def __init__(self, replica: ScriptedReplica, term: int) -> None:
        self.replica = replica
        self.term = term
        self.is_first = True

    async def read(self) -> fleet_pb2.FleetUpdate:
        await asyncio.sleep(self.replica.first_after if self.is_first else self.replica.period)
        self.is_first = False
        if self.replica.fails:
            raise grpc.aio.AioRpcError(grpc.StatusCode.UNAVAILABLE, *NO_METADATA)
        return fleet_pb2.FleetUpdate(term=self.term, sources=SOURCES, entries=self.replica.number)

    def cancel(self) -> None:
        self.replica.cancelled += 1


class ScriptedReplica:
    """A control replica: when it answers, how often it speaks, or that it can't be reached."""

    def __init__(self, first_after: float, period: float = 0.05, fails: bool = False) -> None:
        self.first_after = first_after
        self.period = period
        self.fails = fails
        #: Told in each update, so that its sender is known.
        self.number = next(NUMBERS)
        self.asked = 0
        self.cancelled = 0

    def Watch(self, request: fleet_pb2.WatchRequest) -> ScriptedCall:
        self.asked += 1
        return ScriptedCall(self, term=1)


NEAR, FAR = "10.0.0.1:1", "10.1.0.1:1"
SOURCES = [
    fleet_pb2.FleetSource(address=NEAR, domain="north"),
    fleet_pb2.FleetSource(address=FAR, domain="south"),
]
NUMBERS = itertools.count(1)
NO_METADATA = (grpc.aio.Metadata(), grpc.aio.Metadata())


class WatchedEntry:
    """A watcher among scripted replicas."""

    def __init__(
        self, monkeypatch: pytest.MonkeyPatch, seeds: list[str], **replicas: ScriptedReplica
    ) -> None:
        by_address = {NEAR: replicas["near"], FAR: replicas["far"]}
        monkeypatch.setattr(fleet_pb2_grpc, "FleetStub", lambda address: by_address[address])
        settings: Any = SimpleNamespace(name="e", domain="north")
        found: Any = SimpleNamespace(addresses=seeds)
        channels: Any = SimpleNamespace(to=lambda address: address)
        self.watcher = FleetWatcher(settings, found, self.apply, lambda: 0, channels)
        #: Replicas whose streams do not fit the routes that the entry has.
        self.unfit: list[ScriptedReplica] = []
        self.sources: list[str] = []

    def apply(self, update: fleet_pb2.FleetUpdate, parts: PublicationAssembler) -> None:
        """Take an update unless its stream does not fit."""
        if any(update.entries == replica.number for replica in self.unfit):
            raise PublicationGapError("not held here")

    async def run(self, seconds: float) -> None:
        """Let the watcher run and note whom it follows."""
        running = asyncio.create_task(self.watcher.run())
        limit = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < limit:
            if not self.sources or self.sources[-1] != self.watcher.source:
                self.sources.append(self.watcher.source)
            await asyncio.sleep(0.005)
        assert not running.done()
        running.cancel()
        await asyncio.gather(running, *self.watcher.streams, return_exceptions=True)


async def test_a_late_replica_is_not_given_up(monkeypatch: pytest.MonkeyPatch) -> None:
    """Full link: guards against an entry that asks one replica after the other without end.

    Each answer took 0.7 s and each try ended after 0.6 s; entries knew nothing new for 4 s.
    """
    near, far = ScriptedReplica(0.7), ScriptedReplica(0.7)
    entry = WatchedEntry(monkeypatch, [NEAR, FAR], near=near, far=far)
    await entry.run(1.2)
    assert entry.sources == ["", NEAR]
    assert (near.asked, far.asked, far.cancelled) == (1, 1, 1)


async def test_a_silent_replica_is_left_once_another_one_speaks(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an entry that stays with a replica that has stopped, or follows two."""
    monkeypatch.setattr(fleet_watcher, "QUIET", 0.7)
    near, far = ScriptedReplica(0.01, period=60.0), ScriptedReplica(0.01)
    entry = WatchedEntry(monkeypatch, [NEAR, FAR], near=near, far=far)
    await entry.run(1.2)
    assert entry.sources == ["", NEAR, FAR]
    assert (near.cancelled, far.cancelled) == (1, 1)


@pytest.mark.parametrize(
    "near", [ScriptedReplica(0.0, fails=True), ScriptedReplica(60.0)], ids=["fails", "silent"]
)
async def test_a_working_replica_is_kept_until_the_preferred_one_speaks(
    monkeypatch: pytest.MonkeyPatch, near: ScriptedReplica
) -> None:
    """Guards against an entry without control because the replica of its domain is just starting.

    Entries left a replica of another domain that served them, could not reach their own for
    seconds, and had to look for another one again.
    """
    monkeypatch.setattr(control_sources, "LEAST_STAY", 0.05)
    monkeypatch.setattr(control_sources, "MOST_STAY", 0.05)
    entry = WatchedEntry(monkeypatch, [FAR], near=near, far=ScriptedReplica(0.01))
    await entry.run(0.5)
    assert entry.sources == ["", FAR]
    assert near.asked


async def test_the_preferred_replica_is_followed_once_it_speaks(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against entries that stay with a far replica for good."""
    monkeypatch.setattr(control_sources, "LEAST_STAY", 0.05)
    monkeypatch.setattr(control_sources, "MOST_STAY", 0.05)
    far = ScriptedReplica(0.01)
    entry = WatchedEntry(monkeypatch, [FAR], near=ScriptedReplica(0.1), far=far)
    await entry.run(0.6)
    assert entry.sources == ["", FAR, NEAR]
    assert far.cancelled == 1


async def test_a_stream_that_does_not_fit_ends_no_other_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an entry without control when a publication overtakes its change of replica.

    The preferred replica was asked for changes of the version that the entry had then.
    """
    monkeypatch.setattr(control_sources, "LEAST_STAY", 0.05)
    monkeypatch.setattr(control_sources, "MOST_STAY", 0.05)
    near = ScriptedReplica(0.05)
    entry = WatchedEntry(monkeypatch, [FAR], near=near, far=ScriptedReplica(0.01))
    entry.unfit.append(near)
    await entry.run(0.4)
    assert entry.sources == ["", FAR]
    assert near.asked
