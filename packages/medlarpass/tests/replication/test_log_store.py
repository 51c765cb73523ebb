"""Guards against crashes and disk errors that lose, invent or reorder records."""

from __future__ import annotations

import asyncio

from pathlib import Path
from typing import TYPE_CHECKING

import pytest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from medlarpass.replication import DamagedLogError
from medlarpass.replication import LogStore
from medlarpass.replication import Record
from medlarpass.replication import StorageFailedError
from medlarpass.replication.file_system import FileSystem
from medlarpass.rpc.replication_pb2 import ENTRY_KIND_COMMAND
from packages.medlarpass.tests.replication.memory_file_system import CrashMode
from packages.medlarpass.tests.replication.memory_file_system import MemoryFileSystem

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

FOLDER = Path("/data/log")
# Small enough that most steps of the workload modify several segments.
SEGMENT_BYTES = 60
Step = tuple[str, int]
WORKLOAD: list[Step] = [
    ("append", 3),
    ("append", 2),
    ("append", 2),
    ("append", 1),
    ("truncate", 3),
    ("append", 4),
    ("drop", 3),
    ("append", 1),
    ("truncate", 5),
    ("append", 3),
    ("append", 3),
    ("drop", 6),
    ("append", 3),
    ("reset", 20),
    ("append", 2),
]


def record(index: int, term: int = 1) -> Record:
    return Record(index, term, ENTRY_KIND_COMMAND, b"payload %d" % index)


async def open_log(file_system: FileSystem, folder: Path = FOLDER) -> LogStore:
    log = LogStore(folder, file_system, SEGMENT_BYTES)
    await log.open()
    return log


class ExpectedLog:
    """Expected content of the log: all acknowledged steps and possibly part of the running one."""

    def __init__(self) -> None:
        self.records: list[Record] = []
        self.last = 0
        self.dropped = 0
        self.allowed: list[list[Record]] = [[]]

    async def run(self, log: LogStore, number: int, step: Step) -> None:
        kind, value = step
        before = self.records
        if kind == "append":
            added = [record(self.last + 1 + i, term=number + 1) for i in range(value)]
            self.records = before + added
            self.allowed = [before + added[:i] for i in range(value + 1)]
            self.last += value
            log.append(added)
            await log.sync(self.last)
        elif kind == "truncate":
            first = max(self.dropped + 1, min(value, self.last))
            self.records = [entry for entry in before if entry.index < first]
            self.allowed = [before[:i] for i in range(len(self.records), len(before) + 1)]
            self.last = min(self.last, first - 1)
            await log.truncate_suffix(first)
        elif kind == "drop":
            self.dropped = max(self.dropped, min(value, self.last))
            self.records = [entry for entry in before if entry.index > self.dropped]
            self.allowed = [self.records]
            await log.drop_prefix(self.dropped)
        else:
            self.records = []
            self.allowed = [before[:i] for i in range(len(before) + 1)]
            self.last += value
            await log.reset(self.last, number)
            self.dropped = self.last
        self.allowed = [self.records]


def run_with_crash(steps: list[Step], crash_after: int, mode: CrashMode) -> bool:
    """Crash after a file operation, recover, append and recover again; return if it crashed."""

    async def run() -> bool:
        file_system = MemoryFileSystem()
        file_system.stop_after = crash_after
        expected = ExpectedLog()
        stopped = False
        try:
            log = await open_log(file_system)
            for number, step in enumerate(steps):
                await expected.run(log, number, step)
        except StorageFailedError:
            stopped = True
        file_system = file_system.crash(mode)
        log = await open_log(file_system)
        recovered = [entry for entry in log.records if entry.index > expected.dropped]
        assert recovered in expected.allowed, (crash_after, mode)
        # Records read by the recovery may have been acknowledged, so they must remain durable.
        log.append([record(log.last_index + 1, term=99)])
        await log.sync(log.last_index)
        reopened = await open_log(file_system.crash(CrashMode.LOST))
        assert reopened.records == log.records, (crash_after, mode)
        return stopped

    return asyncio.run(run())


@pytest.mark.parametrize("mode", CrashMode)
def test_crash_after_every_file_operation(mode: CrashMode) -> None:
    crash_after = 0
    while run_with_crash(WORKLOAD, crash_after, mode):
        crash_after += 1
    assert crash_after > len(WORKLOAD)


steps = st.lists(
    st.one_of(
        st.tuples(st.just("append"), st.integers(1, 8)),
        st.tuples(st.sampled_from(["truncate", "drop"]), st.integers(1, 30)),
        st.tuples(st.just("reset"), st.integers(1, 9)),
    ),
    max_size=12,
)


@settings(derandomize=True, deadline=None, max_examples=150)
@given(steps, st.integers(0, 80), st.sampled_from(CrashMode))
def test_crash_in_any_sequence(sequence: list[Step], crash_after: int, mode: CrashMode) -> None:
    run_with_crash(sequence, crash_after, mode)


async def test_records_on_a_real_disk(tmp_path: Path) -> None:
    log = await open_log(FileSystem(), tmp_path / "log")
    log.append([record(index) for index in range(1, 20)])
    await log.sync(19)
    await log.truncate_suffix(15)
    await log.drop_prefix(4)
    await log.close()
    log = await open_log(FileSystem(), tmp_path / "log")
    assert log.last_index == 14
    assert log.read(5, 100, 10**6) == [record(index) for index in range(5, 15)]
    await log.close()


async def test_appends_during_an_fsync_share_the_next_one() -> None:
    file_system = MemoryFileSystem()
    log = LogStore(FOLDER, file_system, 10**6)
    await log.open()
    log.append([record(1)])
    await log.sync(1)
    before = file_system.operations
    file_system.fsync_gate.clear()
    log.append([record(2)])
    await asyncio.sleep(0.01)
    for index in range(3, 50):
        log.append([record(index)])
    file_system.fsync_gate.set()
    await log.sync(49)
    # One write and one fsync for the first record, and at most two batches for the others.
    assert file_system.operations - before <= 6


@pytest.mark.parametrize("position", ["payload", "length", "header"])
async def test_damage_before_the_end_names_file_and_offset(position: str) -> None:
    file_system = MemoryFileSystem()
    log = await open_log(file_system)
    log.append([record(1), record(2), record(3)])
    await log.sync(3)
    offset = record(1).size()
    path = FOLDER / "00000000000000000001.log"
    damaged = bytearray(file_system.read(path))
    damaged[offset + {"payload": 35, "length": 11, "header": 0}[position]] ^= 0xFF
    file_system.names[path].content = bytes(damaged)
    with pytest.raises(DamagedLogError) as caught:
        await open_log(file_system.crash(CrashMode.KEPT))
    assert (caught.value.path, caught.value.offset) == (path, offset)


async def test_missing_segment_stops_the_start() -> None:
    file_system = MemoryFileSystem()
    log = await open_log(file_system)
    for index in range(1, 21):
        log.append([record(index)])
        await log.sync(index)
    assert len(log.segments) > 2
    file_system.remove(FOLDER / f"{log.segments[1]:020d}.log")
    with pytest.raises(DamagedLogError, match="missing"):
        await open_log(file_system.crash(CrashMode.KEPT))


def fail_fsync(file_system: MemoryFileSystem) -> None:
    file_system.fsync_fails = True


def fill_disk(file_system: MemoryFileSystem) -> None:
    file_system.capacity = 60


CALLS: list[Callable[[LogStore], Awaitable[None]]] = [
    lambda log: log.sync(1),
    lambda log: log.truncate_suffix(1),
    lambda log: log.drop_prefix(1),
    lambda log: log.reset(1, 1),
]


@pytest.mark.parametrize("fault", [fail_fsync, fill_disk])
@pytest.mark.parametrize("call", CALLS)
async def test_store_refuses_every_call_after_a_failure(
    fault: Callable[[MemoryFileSystem], None],
    call: Callable[[LogStore], Awaitable[None]],
) -> None:
    file_system = MemoryFileSystem()
    log = await open_log(file_system)
    log.append([record(1)])
    await log.sync(1)
    fault(file_system)
    log.append([record(2)])
    with pytest.raises(StorageFailedError):
        await log.sync(2)
    file_system.fsync_fails = False
    file_system.capacity = None
    with pytest.raises(StorageFailedError):
        await call(log)
    with pytest.raises(StorageFailedError):
        log.append([record(3)])
    reopened = await open_log(file_system.crash(CrashMode.TORN))
    assert reopened.records[:1] == [record(1)]
