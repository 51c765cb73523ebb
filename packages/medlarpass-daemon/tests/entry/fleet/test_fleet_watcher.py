"""Choice and change of the control replica that an entry follows."""

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


async def test_a_leader_that_does_not_serve_yet_is_tried_with_a_delay(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against entries that send requests to a new leader without a delay until it serves.

    It refers to itself as the leader, and is the preferred replica of the entries of its domain.
    """
    settings: Any = SimpleNamespace(name="e", domain="north")
    seeds: Any = SimpleNamespace(addresses=[LEADER])
    unused: Any = None
    watcher = FleetWatcher(settings, seeds, unused, lambda: 0, unused)
    source = fleet_pb2.FleetSource(address=LEADER, domain="north")
    watcher.sources.set_replicas([LEADER], [source])
    requested: list[str] = []

    async def follow(address: str) -> str:
        requested.append(address)
        await asyncio.sleep(0)
        return LEADER

    monkeypatch.setattr(FleetWatcher, "_follow", lambda self, address: follow(address))
    run_task = asyncio.create_task(watcher.run())
    await asyncio.sleep(0.3)
    run_task.cancel()
    await asyncio.gather(run_task, return_exceptions=True)
    assert 1 <= len(requested) <= 10


async def test_entries_do_not_turn_to_a_named_leader_in_the_same_moment(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a leader that is late since all entries of a relay ask it at once.

    An entry without a view can't serve and is not delayed.
    """
    monkeypatch.setattr(fleet_watcher.random, "uniform", lambda low, high: high)
    settings: Any = SimpleNamespace(name="e", domain="north")
    seeds: Any = SimpleNamespace(addresses=[REMOTE])
    unused: Any = None
    watcher = FleetWatcher(settings, seeds, unused, lambda: 0, unused)
    for term, delay in ((0, 0.0), (3, fleet_watcher.MAX_REFERRAL_DELAY_SECONDS)):
        watcher.term = term
        task = asyncio.create_task(asyncio.sleep(0, LEADER))
        await task
        now = asyncio.get_running_loop().time()
        watcher.streams[task] = fleet_watcher.ControlStream(REMOTE, now)
        assert watcher._handle_end(task) == LEADER
        assert watcher.next_attempt_at == pytest.approx(now + delay, abs=0.1)


class ScriptedCall:
    """A stream of a replica with scripted behaviour."""

    def __init__(self, replica: ScriptedReplica, term: int) -> None:
        self.replica = replica
        self.term = term
        self.is_first = True

    async def read(self) -> fleet_pb2.FleetUpdate:
        await asyncio.sleep(self.replica.first_delay if self.is_first else self.replica.interval)
        self.is_first = False
        if self.replica.fails:
            raise grpc.aio.AioRpcError(grpc.StatusCode.UNAVAILABLE, *NO_METADATA)
        return fleet_pb2.FleetUpdate(term=self.term, sources=SOURCES, entries=self.replica.number)

    def cancel(self) -> None:
        self.replica.cancel_count += 1


class ScriptedReplica:
    """A control replica with scripted delays and failures.

    :param first_delay: seconds until the first update
    :param interval: seconds between further updates
    :param fails: whether the replica is unreachable
    """

    def __init__(self, first_delay: float, interval: float = 0.05, fails: bool = False) -> None:
        self.first_delay = first_delay
        self.interval = interval
        self.fails = fails
        #: Sent in each update to identify the replica.
        self.number = next(NUMBERS)
        self.watch_count = 0
        self.cancel_count = 0

    def Watch(self, request: fleet_pb2.WatchRequest) -> ScriptedCall:
        self.watch_count += 1
        return ScriptedCall(self, term=1)


LOCAL, REMOTE = "10.0.0.1:1", "10.1.0.1:1"
SOURCES = [
    fleet_pb2.FleetSource(address=LOCAL, domain="north"),
    fleet_pb2.FleetSource(address=REMOTE, domain="south"),
]
NUMBERS = itertools.count(1)
NO_METADATA = (grpc.aio.Metadata(), grpc.aio.Metadata())


class WatchedEntry:
    """A watcher among scripted replicas."""

    def __init__(
        self, monkeypatch: pytest.MonkeyPatch, seeds: list[str], **replicas: ScriptedReplica
    ) -> None:
        by_address = {LOCAL: replicas["local"], REMOTE: replicas["remote"]}
        monkeypatch.setattr(fleet_pb2_grpc, "FleetStub", lambda address: by_address[address])
        settings: Any = SimpleNamespace(name="e", domain="north")
        seed_addresses: Any = SimpleNamespace(addresses=seeds)
        channels: Any = SimpleNamespace(to=lambda address: address)
        self.watcher = FleetWatcher(settings, seed_addresses, self.apply, lambda: 0, channels)
        #: Replicas whose streams do not match the publication in force at the entry.
        self.mismatched: list[ScriptedReplica] = []
        self.followed_addresses: list[str] = []

    def apply(self, update: fleet_pb2.FleetUpdate, assembler: PublicationAssembler) -> None:
        """Raise an error if the stream of the update does not match."""
        if any(update.entries == replica.number for replica in self.mismatched):
            raise PublicationGapError("not held here")

    async def run(self, seconds: float) -> None:
        """Run the watcher and record the addresses that it follows."""
        run_task = asyncio.create_task(self.watcher.run())
        run_until = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < run_until:
            if (
                not self.followed_addresses
                or self.followed_addresses[-1] != self.watcher.followed_address
            ):
                self.followed_addresses.append(self.watcher.followed_address)
            await asyncio.sleep(0.005)
        assert not run_task.done()
        run_task.cancel()
        await asyncio.gather(run_task, *self.watcher.streams, return_exceptions=True)


async def test_a_slow_replica_is_not_abandoned(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an entry on a saturated link that tries one replica after the other forever.

    Each response took 0.7 s and each attempt ended after 0.6 s; entries got no update for 4 s.
    """
    local, remote = ScriptedReplica(0.7), ScriptedReplica(0.7)
    entry = WatchedEntry(monkeypatch, [LOCAL, REMOTE], local=local, remote=remote)
    await entry.run(1.2)
    assert entry.followed_addresses == ["", LOCAL]
    assert (local.watch_count, remote.watch_count, remote.cancel_count) == (1, 1, 1)


async def test_a_silent_replica_is_left_once_another_one_sends_an_update(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an entry that continues to follow a stopped replica, or follows two."""
    monkeypatch.setattr(fleet_watcher, "UPDATE_TIMEOUT_SECONDS", 0.7)
    local, remote = ScriptedReplica(0.01, interval=60.0), ScriptedReplica(0.01)
    entry = WatchedEntry(monkeypatch, [LOCAL, REMOTE], local=local, remote=remote)
    await entry.run(1.2)
    assert entry.followed_addresses == ["", LOCAL, REMOTE]
    assert (local.cancel_count, remote.cancel_count) == (1, 1)


@pytest.mark.parametrize(
    "local", [ScriptedReplica(0.0, fails=True), ScriptedReplica(60.0)], ids=["fails", "silent"]
)
async def test_a_working_replica_is_kept_until_the_preferred_one_sends_an_update(
    monkeypatch: pytest.MonkeyPatch, local: ScriptedReplica
) -> None:
    """Guards against an entry without control while the replica of its domain is starting.

    Entries left a working replica of another domain, could not reach their own for seconds, and
    had to search for another one.
    """
    monkeypatch.setattr(control_sources, "MIN_REMOTE_FOLLOW_SECONDS", 0.05)
    monkeypatch.setattr(control_sources, "MAX_REMOTE_FOLLOW_SECONDS", 0.05)
    entry = WatchedEntry(monkeypatch, [REMOTE], local=local, remote=ScriptedReplica(0.01))
    await entry.run(0.5)
    assert entry.followed_addresses == ["", REMOTE]
    assert local.watch_count


async def test_the_preferred_replica_is_followed_once_it_sends_an_update(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against entries that follow a remote replica permanently."""
    monkeypatch.setattr(control_sources, "MIN_REMOTE_FOLLOW_SECONDS", 0.05)
    monkeypatch.setattr(control_sources, "MAX_REMOTE_FOLLOW_SECONDS", 0.05)
    remote = ScriptedReplica(0.01)
    entry = WatchedEntry(monkeypatch, [REMOTE], local=ScriptedReplica(0.1), remote=remote)
    await entry.run(0.6)
    assert entry.followed_addresses == ["", REMOTE, LOCAL]
    assert remote.cancel_count == 1


async def test_a_stream_that_does_not_match_ends_no_other_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an entry without control if a publication arrives during a change of replica.

    The stream of the preferred replica contains changes to the version that was in force at the
    entry when the stream was opened.
    """
    monkeypatch.setattr(control_sources, "MIN_REMOTE_FOLLOW_SECONDS", 0.05)
    monkeypatch.setattr(control_sources, "MAX_REMOTE_FOLLOW_SECONDS", 0.05)
    local = ScriptedReplica(0.05)
    entry = WatchedEntry(monkeypatch, [REMOTE], local=local, remote=ScriptedReplica(0.01))
    entry.mismatched.append(local)
    await entry.run(0.4)
    assert entry.followed_addresses == ["", REMOTE]
    assert local.watch_count
