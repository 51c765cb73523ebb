"""Publications as they travel between processes."""

from __future__ import annotations

import json
import zlib

from typing import Any

from medlarpass.publication import PublicationChange
from medlarpass.rpc import fleet_pb2
from medlarpass_daemon.exceptions import PublicationGapError

#: Level of zlib; higher levels take longer and save little on JSON.
PACKING = 6
#: Bytes of a part. On a link of 2 Mbit/s that is full otherwise, a part still arrives in less time
#: than a watcher waits for the next message.
PART_BYTES = 12_000


def packed(version: int, text: bytes, base: int = 0) -> list[fleet_pb2.PackedPublication]:
    """Return a text in parts.

    :param version: version of the publication
    :param text: JSON of the publication, or of its change
    :param base: version that the change applies to; 0 for a whole publication
    """
    document = zlib.compress(text, PACKING)
    pieces = [document[at : at + PART_BYTES] for at in range(0, len(document), PART_BYTES)]
    return [
        fleet_pb2.PackedPublication(
            version=version, base=base, document=piece, part=part, parts=len(pieces)
        )
        for part, piece in enumerate(pieces)
    ]


class PublicationParts:
    """Puts the parts that one stream brings together again."""

    __slots__ = ("base", "pieces", "version")

    def __init__(self) -> None:
        self.version = 0
        self.base = 0
        self.pieces: list[bytes] = []

    def take(
        self, part: fleet_pb2.PackedPublication, held: dict[str, Any] | None
    ) -> dict[str, Any] | None:
        """Take the next part and return the document once it is complete.

        :param held: document that this process has, if any
        :raises PublicationGapError: a part is missing, can't be read, or applies to another version
        """
        if not part.part:
            self.version, self.base, self.pieces = part.version, part.base, []
            self._check_base(held)
        expected = (self.version, self.base, len(self.pieces))
        if (part.version, part.base, part.part) != expected:
            raise PublicationGapError(f"a part of version {part.version} is missing")
        self.pieces.append(part.document)
        if len(self.pieces) < part.parts:
            return None
        try:
            return self._document(held)
        except (zlib.error, ValueError, KeyError, TypeError) as error:
            raise PublicationGapError(f"version {part.version} can't be read: {error!r}") from error

    def _check_base(self, held: dict[str, Any] | None) -> None:
        if self.base and (held is None or held["version"] != self.base):
            raise PublicationGapError(f"version {self.version} changes {self.base}, not held here")

    def _document(self, held: dict[str, Any] | None) -> dict[str, Any]:
        text = zlib.decompress(b"".join(self.pieces))
        self.pieces = []
        if held is None or not self.base:
            document: dict[str, Any] = json.loads(text)
            return document
        self._check_base(held)
        return PublicationChange.from_json(text).applied_to(held)
