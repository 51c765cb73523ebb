"""Durable log stored in segment files."""

from __future__ import annotations

import asyncio
import time

from typing import TYPE_CHECKING

from medlarpass.replication import events
from medlarpass.replication.exceptions import DamagedLogError
from medlarpass.replication.exceptions import StorageFailedError
from medlarpass.replication.file_system import TEMPORARY_SUFFIX
from medlarpass.replication.file_system import FileSystem
from medlarpass.replication.notifier import Notifier
from medlarpass.replication.record import MAGIC
from medlarpass.replication.record import Record

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence
    from pathlib import Path

SEGMENT_SUFFIX = ".log"
#: Time of a write above which it is logged; an election timeout is not much longer.
SLOW_WRITE_SECONDS = 0.25


class LogStore:
    """Append-only log; records are readable immediately and durable after :meth:`sync`.

    The records that snapshots do not cover, plus a number of trailing ones, are kept in memory.
    Segment files are named after their first index. They are written in worker threads, one
    operation at a time; records appended meanwhile share the next fsync.

    :param folder: folder of the segment files
    :param file_system: file operations
    :param segment_bytes: size from which a new segment is started

    :ivar base_index: index before the first record in memory
    :ivar base_term: term of the record at ``base_index``, 0 if unknown
    :ivar durable_index: last index that is durable
    :ivar durable_changed: notified when ``durable_index`` or ``failure`` changes
    :ivar failure: set once a file operation has failed; the store then refuses every call
    """

    __slots__ = (
        "base_index",
        "base_term",
        "descriptor",
        "durable_changed",
        "durable_index",
        "failure",
        "file_lock",
        "file_system",
        "folder",
        "pending_records",
        "records",
        "segment_bytes",
        "segment_size",
        "segments",
        "writer",
    )

    def __init__(self, folder: Path, file_system: FileSystem, segment_bytes: int) -> None:
        self.folder = folder
        self.file_system = file_system
        self.segment_bytes = segment_bytes
        self.records: list[Record] = []
        self.base_index = 0
        self.base_term = 0
        self.durable_index = 0
        self.durable_changed = Notifier()
        self.failure: StorageFailedError | None = None
        self.segments: list[int] = []
        self.descriptor: int | None = None
        self.segment_size = 0
        self.pending_records: list[Record] = []
        self.writer: asyncio.Task[None] | None = None
        self.file_lock = asyncio.Lock()

    @property
    def first_index(self) -> int:
        """Index of the first record in memory."""
        return self.base_index + 1

    @property
    def last_index(self) -> int:
        """Index of the last record, durable or not."""
        return self.base_index + len(self.records)

    @property
    def last_term(self) -> int:
        """Term of the last record."""
        return self.term_at(self.last_index)

    def record_at(self, index: int) -> Record:
        """Return the record at an index from ``first_index`` to ``last_index``."""
        return self.records[index - self.first_index]

    def term_at(self, index: int) -> int:
        """Return the term at an index from ``base_index`` to ``last_index``."""
        return self.base_term if index == self.base_index else self.record_at(index).term

    def first_index_of_term(self, index: int) -> int:
        """Return the index of the first record in memory that has the term of ``index``."""
        term = self.term_at(index)
        while index > self.first_index and self.term_at(index - 1) == term:
            index -= 1
        return index

    def read(self, first: int, max_records: int, max_bytes: int) -> list[Record]:
        """Return records from ``first`` on within the limits, but at least one if any exists."""
        start = first - self.first_index
        selected: list[Record] = []
        size = 0
        for record in self.records[start : start + max_records]:
            size += len(record.payload)
            if selected and size > max_bytes:
                break
            selected.append(record)
        return selected

    async def open(self) -> None:
        """Read all segments, cut off a torn last record and make the rest durable.

        :raises DamagedLogError: a record before the end is damaged or missing
        :raises StorageFailedError: a file operation failed
        """
        async with self.file_lock:
            await self._run_in_thread("open log", self._open)

    async def close(self) -> None:
        """Finish pending writes and close the current segment."""
        if self.writer is not None:
            await asyncio.gather(self.writer, return_exceptions=True)
        async with self.file_lock:
            await asyncio.to_thread(self._close_segment)

    def append(self, records: Sequence[Record]) -> None:
        """Append records; :meth:`sync` waits until they are durable.

        :raises StorageFailedError: an earlier file operation failed
        """
        self._raise_if_failed()
        for record in records:
            if record.index != self.last_index + 1:
                raise ValueError(f"record {record.index} does not follow record {self.last_index}")
            self.records.append(record)
            self.pending_records.append(record)
        if self.pending_records and (self.writer is None or self.writer.done()):
            self.writer = asyncio.get_running_loop().create_task(self._write_pending())

    async def sync(self, index: int) -> None:
        """Wait until all records up to ``index`` are durable.

        :raises StorageFailedError: a write or fsync failed
        """
        await self.durable_changed.wait_for(
            lambda: self.failure is not None or self.durable_index >= index,
        )
        self._raise_if_failed()

    async def truncate_suffix(self, first: int) -> None:
        """Remove the records from ``first`` on, durably.

        :raises StorageFailedError: a file operation failed
        """
        await self.sync(self.last_index)
        async with self.file_lock:
            del self.records[first - self.first_index :]
            self.durable_index = self.last_index
            await self._run_in_thread("truncate log", lambda: self._truncate_suffix(first))
        events.LOG_TRUNCATED.log(first=first)

    async def drop_prefix(self, index: int) -> None:
        """Remove the records up to ``index``, which a durable snapshot covers.

        :raises StorageFailedError: a file operation failed
        """
        if index <= self.base_index:
            return
        self._raise_if_failed()
        self.base_term = self.term_at(index)
        del self.records[: index - self.base_index]
        self.base_index = index
        async with self.file_lock:
            await self._run_in_thread("drop log prefix", lambda: self._drop_prefix(index))

    async def reset(self, index: int, term: int) -> None:
        """Remove all records; the next record follows a snapshot at ``index``.

        :raises StorageFailedError: a file operation failed
        """
        await self.sync(self.last_index)
        async with self.file_lock:
            self.records.clear()
            self.base_index = index
            self.base_term = term
            self.durable_index = index
            await self._run_in_thread("reset log", self._remove_all)

    def _raise_if_failed(self) -> None:
        if self.failure is not None:
            raise self.failure

    async def _run_in_thread(self, operation: str, function: Callable[[], None]) -> None:
        self._raise_if_failed()
        try:
            await asyncio.to_thread(function)
        except OSError as error:
            self.failure = StorageFailedError(operation, error)
            self.durable_changed.notify()
            raise self.failure from error

    async def _write_pending(self) -> None:
        while self.pending_records and self.failure is None:
            async with self.file_lock:
                batch, self.pending_records = self.pending_records, []
                started_at = time.monotonic()
                try:
                    await self._run_in_thread(
                        "append to log",
                        lambda: self._write(batch),  # noqa: B023
                    )
                except StorageFailedError:
                    return
                self.durable_index = batch[-1].index
                self.durable_changed.notify()
                seconds = time.monotonic() - started_at
                if seconds >= SLOW_WRITE_SECONDS:
                    events.LOG_WRITE_SLOW.log(records=len(batch), seconds=round(seconds, 3))

    def _path(self, first: int) -> Path:
        return self.folder / f"{first:020d}{SEGMENT_SUFFIX}"

    def _open(self) -> None:
        self.file_system.make_directory(self.folder)
        self.file_system.fsync_directory(self.folder.parent)
        names = self.file_system.list_names(self.folder)
        for name in names:
            if name.endswith(TEMPORARY_SUFFIX):
                self.file_system.remove(self.folder / name)
        self.segments = [
            int(name.removesuffix(SEGMENT_SUFFIX))
            for name in names
            if name.endswith(SEGMENT_SUFFIX)
        ]
        if self.segments:
            self.base_index = self.segments[0] - 1
        for first in self.segments:
            self._read_segment(first, is_last=first == self.segments[-1])
        self.durable_index = self.last_index

    def _read_segment(self, first: int, *, is_last: bool) -> None:
        path = self._path(first)
        data = self.file_system.read(path)
        if first != self.last_index + 1:
            raise DamagedLogError(path, 0, f"record {self.last_index + 1} is missing")
        offset = 0
        while offset < len(data):
            record = Record.decode(data, offset)
            if record is None:
                self._check_torn_record(path, data, offset, is_last=is_last)
                break
            if record.index != self.last_index + 1:
                raise DamagedLogError(path, offset, f"record {self.last_index + 1} is missing")
            self.records.append(record)
            offset += record.size()
        if not is_last:
            return
        # After a killed process or a failed fsync, records may exist only in the page cache, and a
        # second fsync of the same file may not write them. A synced copy makes them durable.
        self.file_system.replace(path, data[:offset])
        self.descriptor = self.file_system.open(path)
        self.segment_size = offset

    def _check_torn_record(self, path: Path, data: bytes, offset: int, *, is_last: bool) -> None:
        following = data.find(MAGIC, offset + 1)
        while following >= 0:
            if Record.decode(data, following) is not None:
                raise DamagedLogError(path, offset, "valid records follow the damage")
            following = data.find(MAGIC, following + 1)
        if not is_last:
            raise DamagedLogError(path, offset, "a later segment follows")
        events.LOG_TAIL_CUT.log(path=str(path), offset=offset, bytes=len(data) - offset)

    def _write(self, batch: list[Record]) -> None:
        if self.descriptor is None or self.segment_size >= self.segment_bytes:
            self._start_segment(batch[0].index)
        assert self.descriptor is not None
        data = b"".join(record.encode() for record in batch)
        self.file_system.write(self.descriptor, data)
        self.segment_size += len(data)
        self.file_system.fsync(self.descriptor)

    def _start_segment(self, first: int) -> None:
        self._close_segment()
        self.descriptor = self.file_system.open(self._path(first))
        self.file_system.fsync_directory(self.folder)
        self.segments.append(first)
        self.segment_size = 0

    def _close_segment(self) -> None:
        if self.descriptor is not None:
            descriptor, self.descriptor = self.descriptor, None
            self.file_system.close(descriptor)

    def _remove_segment(self, first: int) -> None:
        # Makes each removal durable before the next one, so that a crash leaves no gap.
        self.file_system.remove(self._path(first))
        self.file_system.fsync_directory(self.folder)
        self.segments.remove(first)

    def _remove_all(self) -> None:
        self._close_segment()
        for first in reversed(list(self.segments)):
            self._remove_segment(first)

    def _truncate_suffix(self, first: int) -> None:
        self._close_segment()
        for segment in [start for start in reversed(self.segments) if start >= first]:
            self._remove_segment(segment)
        if not self.segments:
            return
        path = self._path(self.segments[-1])
        self.segment_size = self._offset_of(path, first)
        self.descriptor = self.file_system.open(path)
        self.file_system.truncate(self.descriptor, self.segment_size)
        self.file_system.fsync(self.descriptor)

    def _offset_of(self, path: Path, index: int) -> int:
        data = self.file_system.read(path)
        offset = 0
        while (record := Record.decode(data, offset)) is not None and record.index < index:
            offset += record.size()
        return offset

    def _drop_prefix(self, index: int) -> None:
        for first, following in zip(self.segments[:-1], self.segments[1:], strict=True):
            if following > index + 1:
                return
            self._remove_segment(first)
