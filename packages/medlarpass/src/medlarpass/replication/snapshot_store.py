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
# Magic, CRC32C of all following bytes, last index, last term, membership length; little endian.
HEADER = struct.Struct("<4sIQQI")
CHECKSUMMED_OFFSET_BYTES = 8


class Snapshot(Value):
    """State of the state machine after a record was applied.

    :param index: index of the last record that it contains
    :param term: term of that record
    :param membership: membership in force at that record
    :param data: serialised state of the state machine
    """

    __slots__ = ("data", "index", "membership", "term")

    def __init__(self, index: int, term: int, membership: Membership, data: bytes) -> None:
        self.index = index
        self.term = term
        self.membership = membership
        self.data = data

    def encode(self) -> bytes:
        """Return the on-disk format."""
        members = self.membership.encode()
        header = HEADER.pack(MAGIC, 0, self.index, self.term, len(members))
        body = header[CHECKSUMMED_OFFSET_BYTES:] + members + self.data
        crc: int = google_crc32c.value(body)
        return MAGIC + crc.to_bytes(4, "little") + body

    @classmethod
    def decode(cls, data: bytes) -> Snapshot | None:
        """Decode the on-disk format; return ``None`` if it is damaged."""
        if len(data) < HEADER.size:
            return None
        magic, crc, index, term, length = HEADER.unpack_from(data)
        if magic != MAGIC or google_crc32c.value(data[CHECKSUMMED_OFFSET_BYTES:]) != crc:
            return None
        data_start = HEADER.size + length
        return cls(
            index, term, Membership.decode(data[HEADER.size : data_start]), data[data_start:]
        )


class SnapshotStore:
    """Snapshot files; calls block and are thread-safe.

    :param folder: folder of the snapshots
    :param file_system: file operations

    :ivar index: last index of the newest snapshot, 0 if there is none
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
                raise self._record_failure("open snapshots", error) from error

    def load(self) -> Snapshot | None:
        """Read the newest snapshot from disk.

        :raises DamagedSnapshotError: the file is damaged
        :raises StorageFailedError: a file operation failed
        """
        with self.lock:
            try:
                return self._load_newest()
            except OSError as error:
                raise self._record_failure("read snapshot", error) from error

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
                raise self._record_failure("write snapshot", error) from error

    def _record_failure(self, operation: str, error: OSError) -> StorageFailedError:
        self.failure = StorageFailedError(operation, error)
        return self.failure

    def _raise_if_failed(self) -> None:
        if self.failure is not None:
            raise self.failure

    def _snapshot_names(self) -> list[str]:
        names = self.file_system.list_names(self.folder)
        return [name for name in names if name.endswith(SNAPSHOT_SUFFIX)]

    def _open(self) -> Snapshot | None:
        self._raise_if_failed()
        self.file_system.make_directory(self.folder)
        self.file_system.fsync_directory(self.folder.parent)
        for name in self.file_system.list_names(self.folder):
            if name.endswith(TEMPORARY_SUFFIX):
                self.file_system.remove(self.folder / name)
        self.file_system.fsync_directory(self.folder)
        snapshot = self._load_newest()
        self.index = 0 if snapshot is None else snapshot.index
        return snapshot

    def _load_newest(self) -> Snapshot | None:
        self._raise_if_failed()
        names = self._snapshot_names()
        for name in reversed(names):
            snapshot = Snapshot.decode(self.file_system.read(self.folder / name))
            if snapshot is not None:
                return snapshot
        if names:
            raise DamagedSnapshotError(self.folder / names[-1], 0, "the checksum does not match")
        return None

    def _save(self, snapshot: Snapshot) -> None:
        self._raise_if_failed()
        name = f"{snapshot.index:020d}{SNAPSHOT_SUFFIX}"
        self.file_system.replace(self.folder / name, snapshot.encode())
        self.index = snapshot.index
        for older in self._snapshot_names():
            if older < name:
                self.file_system.remove(self.folder / older)
        self.file_system.fsync_directory(self.folder)
