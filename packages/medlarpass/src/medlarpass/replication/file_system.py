"""File operations used by the stores."""

from __future__ import annotations

import os

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path


class FileSystem:
    """File operations; tests replace them to simulate crashes, failures and lost data."""

    def make_directory(self, path: Path) -> None:
        """Create a folder and its parents."""
        path.mkdir(parents=True, exist_ok=True)

    def list_names(self, folder: Path) -> list[str]:
        """Return the sorted names in a folder, or an empty list if it does not exist."""
        return sorted(entry.name for entry in folder.iterdir()) if folder.is_dir() else []

    def read(self, path: Path) -> bytes:
        """Return the content of a file."""
        return path.read_bytes()

    def open(self, path: Path) -> int:
        """Open a file for appending, creating it if needed, and return its descriptor."""
        return os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o640)

    def write(self, descriptor: int, data: bytes) -> None:
        """Append all data to the file."""
        view = memoryview(data)
        while view:
            view = view[os.write(descriptor, view) :]

    def fsync(self, descriptor: int) -> None:
        """Make the content of a file durable."""
        os.fsync(descriptor)

    def close(self, descriptor: int) -> None:
        """Close a descriptor."""
        os.close(descriptor)

    def rename(self, source: Path, target: Path) -> None:
        """Rename a file or folder; replace an existing target file atomically."""
        source.rename(target)

    def truncate(self, descriptor: int, size: int) -> None:
        """Truncate a file to a size in bytes."""
        os.ftruncate(descriptor, size)

    def fsync_directory(self, folder: Path) -> None:
        """Make creations, renames and removals in a folder durable."""
        descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def remove(self, path: Path) -> None:
        """Remove a file."""
        path.unlink()

    def replace(self, path: Path, data: bytes) -> None:
        """Replace a file atomically and durably: temporary file, fsync, rename, folder fsync."""
        temporary = path.with_name(path.name + TEMPORARY_SUFFIX)
        descriptor = self.open(temporary)
        try:
            # Drops the content of a temporary file that a crash may have left.
            self.truncate(descriptor, 0)
            self.write(descriptor, data)
            self.fsync(descriptor)
        finally:
            self.close(descriptor)
        self.rename(temporary, path)
        self.fsync_directory(path.parent)


TEMPORARY_SUFFIX = ".tmp"
