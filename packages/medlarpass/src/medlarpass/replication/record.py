"""Log records and their on-disk format."""

from __future__ import annotations

import struct

import google_crc32c

from medlarpass.base import Value
from medlarpass.rpc.replication_pb2 import EntryKind
from medlarpass.rpc.replication_pb2 import LogEntry

MAGIC = b"MLR\x01"
# Magic, CRC32C of all following bytes, payload length, term, index, kind; little endian.
HEADER = struct.Struct("<4sIIQQB")
CHECKSUMMED_OFFSET_BYTES = 8


class Record(Value):
    """One entry of the log.

    :param index: position, starting at 1
    :param term: term of the leader that created it
    :param kind: ``EntryKind``
    :param payload: serialised content
    """

    __slots__ = ("index", "kind", "payload", "term")

    def __init__(self, index: int, term: int, kind: EntryKind, payload: bytes) -> None:
        self.index = index
        self.term = term
        self.kind = kind
        self.payload = payload

    def encode(self) -> bytes:
        """Return the on-disk format."""
        header = HEADER.pack(MAGIC, 0, len(self.payload), self.term, self.index, self.kind)
        crc = google_crc32c.extend(
            google_crc32c.value(header[CHECKSUMMED_OFFSET_BYTES:]), self.payload
        )
        return b"".join(
            (MAGIC, crc.to_bytes(4, "little"), header[CHECKSUMMED_OFFSET_BYTES:], self.payload),
        )

    @classmethod
    def decode(cls, data: bytes, offset: int) -> Record | None:
        """Decode the record at an offset.

        :param data: content of a segment
        :param offset: where the record starts, in bytes
        :returns: the record, or ``None`` if it is incomplete or damaged
        """
        start = offset + HEADER.size
        if start > len(data):
            return None
        magic, crc, length, term, index, kind = HEADER.unpack_from(data, offset)
        if magic != MAGIC or start + length > len(data):
            return None
        if google_crc32c.value(data[offset + CHECKSUMMED_OFFSET_BYTES : start + length]) != crc:
            return None
        return cls(index, term, kind, data[start : start + length])

    def size(self) -> int:
        """Return the size on disk, in bytes."""
        return HEADER.size + len(self.payload)

    def to_entry(self) -> LogEntry:
        """Return the protobuf message."""
        return LogEntry(index=self.index, term=self.term, kind=self.kind, payload=self.payload)

    @classmethod
    def from_entry(cls, entry: LogEntry) -> Record:
        """Build a record from its protobuf message."""
        return cls(entry.index, entry.term, entry.kind, entry.payload)
