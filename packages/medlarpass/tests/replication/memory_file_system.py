"""File system in memory that can stop, fail and lose data at any operation."""

from __future__ import annotations

import errno
import threading

from enum import Enum
from typing import TYPE_CHECKING

from medlarpass.replication.file_system import FileSystem

if TYPE_CHECKING:
    from pathlib import Path


class CrashMode(Enum):
    """What is left of data that were not synced when the process ended."""

    # The process was killed: its data are in the page cache and a power loss may follow.
    KILLED = "killed"
    KEPT = "kept"
    TORN = "torn"
    LOST = "lost"


class Inode:
    __slots__ = ("content", "durable")

    def __init__(self) -> None:
        self.content = b""
        self.durable = b""


class MemoryFileSystem(FileSystem):
    """Keeps the visible and the durable state apart.

    :ivar stop_after: number of changing operations after which each one fails
    :ivar capacity: bytes until the disk is full
    :ivar fsync_fails: whether fsync reports an error and leaves the data not durable
    :ivar fsync_gate: fsync waits until it is set
    """

    def __init__(self) -> None:
        self.names: dict[Path, Inode] = {}
        self.durable_names: dict[Path, Inode] = {}
        self.descriptors: dict[int, Inode] = {}
        self.next_descriptor = 3
        self.operations = 0
        self.stop_after: int | None = None
        self.capacity: int | None = None
        self.fsync_fails = False
        self.fsync_gate = threading.Event()
        self.fsync_gate.set()
        self.lock = threading.Lock()

    def crash(self, mode: CrashMode) -> MemoryFileSystem:
        """Return what the next process finds."""
        with self.lock:
            if self.stop_after is None:
                self.stop_after = self.operations
            found = MemoryFileSystem()
            for path, inode in (
                self.durable_names if mode is CrashMode.LOST else self.names
            ).items():
                copy = Inode()
                copy.content = self._survivor(inode, mode)
                copy.durable = inode.durable if mode is CrashMode.KILLED else copy.content
                found.names[path] = copy
            found.durable_names = dict(found.names)
            if mode is CrashMode.KILLED:
                found.durable_names = {
                    path: found.names.get(path, inode) for path, inode in self.durable_names.items()
                }
            return found

    @staticmethod
    def _survivor(inode: Inode, mode: CrashMode) -> bytes:
        if mode in (CrashMode.KEPT, CrashMode.KILLED):
            return inode.content
        if mode is CrashMode.LOST or not inode.content.startswith(inode.durable):
            return inode.durable
        unsynced = len(inode.content) - len(inode.durable)
        return inode.content[: len(inode.durable) + unsynced // 2]

    def _count(self) -> None:
        if self.stop_after is not None and self.operations >= self.stop_after:
            raise OSError(errno.EIO, "the process has been stopped")
        self.operations += 1

    def make_directory(self, path: Path) -> None:
        return

    def list_names(self, folder: Path) -> list[str]:
        depth = len(folder.parts)
        return sorted({path.parts[depth] for path in self.names if folder in path.parents})

    def read(self, path: Path) -> bytes:
        return self.names[path].content

    def open(self, path: Path) -> int:
        with self.lock:
            self._count()
            self.next_descriptor += 1
            self.descriptors[self.next_descriptor] = self.names.setdefault(path, Inode())
            return self.next_descriptor

    def write(self, descriptor: int, data: bytes) -> None:
        with self.lock:
            self._count()
            inode = self.descriptors[descriptor]
            used = sum(len(found.content) for found in self.names.values())
            free = len(data) if self.capacity is None else max(0, self.capacity - used)
            inode.content += data[:free]
            if free < len(data):
                raise OSError(errno.ENOSPC, "no space left on device")

    def fsync(self, descriptor: int) -> None:
        self.fsync_gate.wait(60)
        with self.lock:
            self._count()
            if self.fsync_fails:
                raise OSError(errno.EIO, "input/output error")
            self.descriptors[descriptor].durable = self.descriptors[descriptor].content

    def close(self, descriptor: int) -> None:
        del self.descriptors[descriptor]

    def rename(self, source: Path, target: Path) -> None:
        with self.lock:
            self._count()
            for path in list(self.names):
                if path == source or source in path.parents:
                    self.names[target / path.relative_to(source)] = self.names.pop(path)

    def truncate(self, descriptor: int, size: int) -> None:
        with self.lock:
            self._count()
            self.descriptors[descriptor].content = self.descriptors[descriptor].content[:size]

    def fsync_directory(self, folder: Path) -> None:
        with self.lock:
            self._count()
            for names in (self.durable_names, self.names):
                for path in list(names):
                    if path.parent == folder and path not in self.names:
                        del self.durable_names[path]
                    elif path.parent == folder:
                        self.durable_names[path] = self.names[path]

    def remove(self, path: Path) -> None:
        with self.lock:
            self._count()
            del self.names[path]
