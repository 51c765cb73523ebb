"""Durable snapshots of the state machine."""

from __future__ import annotations

import struct
import threading

from typing import TYPE_CHECKING

import google_crc32c

from medlarpass.base import Value
from medlarpass.replication.exceptions import DamagedSnapshotError
from medlarpass.replication.exceptions import StorageFailedError
from medlarpass.replication.file_system import TEMPORARY_SUFFIX
from medlarpass.replication.file_system import FileSystem
from medlarpass.replication.membership import Membership

if TYPE_CHECKING:
    from pathlib import Path

SNAPSHOT_SUFFIX = ".snapshot"
MAGIC = b"MLS\x01"
# Magic, CRC32C of everything behind it, last index, last term, membership length.
HEADER = struct.Struct("<4sIQQI")
CHECKED_FROM = 8


class Snapshot(Value):
    """State after a record.

    :param index: index of the last record it contains
    :param term: term of that record
    :param membership: membership in force at that record
    :param data: content from the state machine
    """

    __slots__ = ("data", "index", "membership", "term")

    def __init__(self, index: int, term: int, membership: Membership, data: bytes) -> None:
        self.index = index
        self.term = term
        self.membership = membership
        self.data = data

    def encode(self) -> bytes:
        """Return the form on disk."""
        members = self.membership.encode()
        head = HEADER.pack(MAGIC, 0, self.index, self.term, len(members))
        body = head[CHECKED_FROM:] + members + self.data
        crc: int = google_crc32c.value(body)
        return MAGIC + crc.to_bytes(4, "little") + body

    @classmethod
    def decode(cls, data: bytes) -> Snapshot | None:
        """Read the form on disk; ``None`` when it is damaged."""
        if len(data) < HEADER.size:
            return None
        magic, crc, index, term, length = HEADER.unpack_from(data)
        if magic != MAGIC or google_crc32c.value(data[CHECKED_FROM:]) != crc:
            return None
        content = HEADER.size + length
        return cls(index, term, Membership.decode(data[HEADER.size : content]), data[content:])


class SnapshotStore:
    """Snapshot files; calls block, and may come from several threads.

    :param folder: folder of the snapshots
    :param file_system: file operations

    :ivar index: last index of the newest snapshot, 0 without one
    """

    __slots__ = ("failure", "file_system", "folder", "index", "lock")

    def __init__(self, folder: Path, file_system: FileSystem) -> None:
        self.folder = folder
        self.file_system = file_system
        self.index = 0
        self.failure: StorageFailedError | None = None
        self.lock = threading.Lock()

    def open(self) -> Snapshot | None:
        """Return the newest valid snapshot.

        :raises DamagedSnapshotError: there are snapshot files, but none is valid
        :raises StorageFailedError: a file operation failed
        """
        with self.lock:
            try:
                return self._open()
            except OSError as error:
                raise self._fail("open snapshots", error) from error

    def load(self) -> Snapshot | None:
        """Return the newest snapshot again.

        :raises DamagedSnapshotError: the file is damaged
        :raises StorageFailedError: a file operation failed
        """
        with self.lock:
            try:
                return self._newest()
            except OSError as error:
                raise self._fail("read snapshot", error) from error

    def save(self, snapshot: Snapshot) -> None:
        """Store a snapshot durably, then remove the older ones.

        :raises StorageFailedError: a file operation failed
        """
        with self.lock:
            if snapshot.index <= self.index:
                return
            try:
                self._save(snapshot)
            except OSError as error:
                raise self._fail("write snapshot", error) from error

    def _fail(self, operation: str, error: OSError) -> StorageFailedError:
        self.failure = StorageFailedError(operation, error)
        return self.failure

    def _check(self) -> None:
        if self.failure is not None:
            raise self.failure

    def _names(self) -> list[str]:
        names = self.file_system.list_names(self.folder)
        return [name for name in names if name.endswith(SNAPSHOT_SUFFIX)]

    def _open(self) -> Snapshot | None:
        self._check()
        self.file_system.make_directory(self.folder)
        self.file_system.fsync_directory(self.folder.parent)
        for name in self.file_system.list_names(self.folder):
            if name.endswith(TEMPORARY_SUFFIX):
                self.file_system.remove(self.folder / name)
        self.file_system.fsync_directory(self.folder)
        snapshot = self._newest()
        self.index = 0 if snapshot is None else snapshot.index
        return snapshot

    def _newest(self) -> Snapshot | None:
        self._check()
        names = self._names()
        for name in reversed(names):
            snapshot = Snapshot.decode(self.file_system.read(self.folder / name))
            if snapshot is not None:
                return snapshot
        if names:
            raise DamagedSnapshotError(self.folder / names[-1], 0, "checksum differs")
        return None

    def _save(self, snapshot: Snapshot) -> None:
        self._check()
        name = f"{snapshot.index:020d}{SNAPSHOT_SUFFIX}"
        self.file_system.replace(self.folder / name, snapshot.encode())
        self.index = snapshot.index
        for older in self._names():
            if older < name:
                self.file_system.remove(self.folder / older)
        self.file_system.fsync_directory(self.folder)
