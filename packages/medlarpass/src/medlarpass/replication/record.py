"""Log records and their form on disk."""

from __future__ import annotations

import struct

import google_crc32c

from medlarpass.base import Value
from medlarpass.rpc.replication_pb2 import EntryKind
from medlarpass.rpc.replication_pb2 import LogEntry

MAGIC = b"MLR\x01"
# Magic, CRC32C of everything behind it, payload length, term, index, kind; little endian.
HEADER = struct.Struct("<4sIIQQB")
CHECKED_FROM = 8


class Record(Value):
    """One entry of the log.

    :param index: position, starting at 1
    :param term: term of the leader that created it
    :param kind: ``EntryKind``
    :param payload: content
    """

    __slots__ = ("index", "kind", "payload", "term")

    def __init__(self, index: int, term: int, kind: EntryKind, payload: bytes) -> None:
        self.index = index
        self.term = term
        self.kind = kind
        self.payload = payload

    def encode(self) -> bytes:
        """Return the form on disk."""
        head = HEADER.pack(MAGIC, 0, len(self.payload), self.term, self.index, self.kind)
        crc = google_crc32c.extend(google_crc32c.value(head[CHECKED_FROM:]), self.payload)
        return b"".join(
            (MAGIC, crc.to_bytes(4, "little"), head[CHECKED_FROM:], self.payload),
        )

    @classmethod
    def decode(cls, data: bytes, offset: int) -> Record | None:
        """Read the record at an offset.

        :param data: content of a segment
        :param offset: where the record starts, in bytes
        :returns: the record, or ``None`` when it is incomplete or damaged
        """
        start = offset + HEADER.size
        if start > len(data):
            return None
        magic, crc, length, term, index, kind = HEADER.unpack_from(data, offset)
        if magic != MAGIC or start + length > len(data):
            return None
        if google_crc32c.value(data[offset + CHECKED_FROM : start + length]) != crc:
            return None
        return cls(index, term, kind, data[start : start + length])

    def size(self) -> int:
        """Return the size on disk, in bytes."""
        return HEADER.size + len(self.payload)

    def to_entry(self) -> LogEntry:
        """Return the protobuf form."""
        return LogEntry(index=self.index, term=self.term, kind=self.kind, payload=self.payload)

    @classmethod
    def from_entry(cls, entry: LogEntry) -> Record:
        """Read the protobuf form."""
        return cls(entry.index, entry.term, entry.kind, entry.payload)
