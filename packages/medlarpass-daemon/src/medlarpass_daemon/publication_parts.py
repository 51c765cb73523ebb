"""Compresses publications, splits them into parts and reassembles them."""

from __future__ import annotations

import json
import zlib

from typing import Any

from medlarpass.publication import PublicationChange
from medlarpass.rpc import fleet_pb2
from medlarpass_daemon.exceptions import PublicationGapError

#: zlib compression level; higher levels take longer and save little on JSON.
COMPRESSION_LEVEL = 6
#: On a saturated link of 2 Mbit/s, a part of this size still arrives before a watcher times out
#: waiting for the next message.
MAX_PART_BYTES = 12_000


def pack_publication(version: int, text: bytes, base: int = 0) -> list[fleet_pb2.PackedPublication]:
    """Compress a publication or a change of one and split it into parts.

    :param version: version of the publication
    :param text: JSON of the publication or of the change
    :param base: version that the change applies to; 0 for a complete publication
    """
    document = zlib.compress(text, COMPRESSION_LEVEL)
    chunks = [
        document[offset : offset + MAX_PART_BYTES]
        for offset in range(0, len(document), MAX_PART_BYTES)
    ]
    return [
        fleet_pb2.PackedPublication(
            version=version, base=base, document=chunk, part=part, parts=len(chunks)
        )
        for part, chunk in enumerate(chunks)
    ]


class PublicationAssembler:
    """Reassembles the parts of publications received on one stream."""

    __slots__ = ("base", "chunks", "version")

    def __init__(self) -> None:
        self.version = 0
        self.base = 0
        self.chunks: list[bytes] = []

    def add_part(
        self, part: fleet_pb2.PackedPublication, current: dict[str, Any] | None
    ) -> dict[str, Any] | None:
        """Add the next part and return the document once it is complete.

        :param current: document that this process has, if any
        :raises PublicationGapError: a part is missing or invalid, or applies to another version
        """
        if not part.part:
            self.version, self.base, self.chunks = part.version, part.base, []
            self._check_base(current)
        expected = (self.version, self.base, len(self.chunks))
        if (part.version, part.base, part.part) != expected:
            raise PublicationGapError(f"a part of version {part.version} is missing")
        self.chunks.append(part.document)
        if len(self.chunks) < part.parts:
            return None
        try:
            return self._decode(current)
        except (zlib.error, ValueError, KeyError, TypeError) as error:
            raise PublicationGapError(f"version {part.version} is invalid: {error!r}") from error

    def _check_base(self, current: dict[str, Any] | None) -> None:
        if self.base and (current is None or current["version"] != self.base):
            raise PublicationGapError(
                f"version {self.version} changes version {self.base}, which is not the current one"
            )

    def _decode(self, current: dict[str, Any] | None) -> dict[str, Any]:
        text = zlib.decompress(b"".join(self.chunks))
        self.chunks = []
        if current is None or not self.base:
            document: dict[str, Any] = json.loads(text)
            return document
        self._check_base(current)
        return PublicationChange.from_json(text).applied_to(current)
