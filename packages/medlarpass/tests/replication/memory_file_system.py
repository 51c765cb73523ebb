"""In-memory file system that can crash, fail and lose data at any operation."""

from __future__ import annotations

import errno
import threading

from enum import Enum
from typing import TYPE_CHECKING

from medlarpass.replication.file_system import FileSystem

if TYPE_CHECKING:
    from pathlib import Path


class CrashMode(Enum):
    """What remains after a crash of data that were not synced."""

    # Only the process was killed: unsynced data stay in the page cache until a power loss.
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
    """File system that tracks the visible and the durable state separately.

    :ivar stop_after: number of modifying operations after which every further one fails
    :ivar capacity: size of the disk, in bytes; unlimited if ``None``
    :ivar fsync_fails: whether fsync fails without making the data durable
    :ivar fsync_gate: event that fsync waits for
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
        """Return the file system that the next process finds after a crash."""
        with self.lock:
            if self.stop_after is None:
                self.stop_after = self.operations
            crashed = MemoryFileSystem()
            for path, inode in (
                self.durable_names if mode is CrashMode.LOST else self.names
            ).items():
                copy = Inode()
                copy.content = self._content_after_crash(inode, mode)
                copy.durable = inode.durable if mode is CrashMode.KILLED else copy.content
                crashed.names[path] = copy
            crashed.durable_names = dict(crashed.names)
            if mode is CrashMode.KILLED:
                crashed.durable_names = {
                    path: crashed.names.get(path, inode)
                    for path, inode in self.durable_names.items()
                }
            return crashed

    @staticmethod
    def _content_after_crash(inode: Inode, mode: CrashMode) -> bytes:
        if mode in (CrashMode.KEPT, CrashMode.KILLED):
            return inode.content
        if mode is CrashMode.LOST or not inode.content.startswith(inode.durable):
            return inode.durable
        unsynced = len(inode.content) - len(inode.durable)
        return inode.content[: len(inode.durable) + unsynced // 2]

    def _check_operation(self) -> None:
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
            self._check_operation()
            self.next_descriptor += 1
            self.descriptors[self.next_descriptor] = self.names.setdefault(path, Inode())
            return self.next_descriptor

    def write(self, descriptor: int, data: bytes) -> None:
        with self.lock:
            self._check_operation()
            inode = self.descriptors[descriptor]
            used = sum(len(inode.content) for inode in self.names.values())
            free = len(data) if self.capacity is None else max(0, self.capacity - used)
            inode.content += data[:free]
            if free < len(data):
                raise OSError(errno.ENOSPC, "no space left on device")

    def fsync(self, descriptor: int) -> None:
        self.fsync_gate.wait(60)
        with self.lock:
            self._check_operation()
            if self.fsync_fails:
                raise OSError(errno.EIO, "input/output error")
            self.descriptors[descriptor].durable = self.descriptors[descriptor].content

    def close(self, descriptor: int) -> None:
        del self.descriptors[descriptor]

    def rename(self, source: Path, target: Path) -> None:
        with self.lock:
            self._check_operation()
            for path in list(self.names):
                if path == source or source in path.parents:
                    self.names[target / path.relative_to(source)] = self.names.pop(path)

    def truncate(self, descriptor: int, size: int) -> None:
        with self.lock:
            self._check_operation()
            self.descriptors[descriptor].content = self.descriptors[descriptor].content[:size]

    def fsync_directory(self, folder: Path) -> None:
        with self.lock:
            self._check_operation()
            for names in (self.durable_names, self.names):
                for path in list(names):
                    if path.parent == folder and path not in self.names:
                        del self.durable_names[path]
                    elif path.parent == folder:
                        self.durable_names[path] = self.names[path]

    def remove(self, path: Path) -> None:
        with self.lock:
            self._check_operation()
            del self.names[path]
