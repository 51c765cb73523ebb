"""Latest publications, for watchers that have an earlier one."""

from __future__ import annotations

import json

from collections import deque
from typing import TYPE_CHECKING
from typing import Any

from medlarpass.publication import PublicationChange
from medlarpass.publication import reuse_known_routes
from medlarpass_daemon.publication_parts import pack_publication

if TYPE_CHECKING:
    from medlarpass.rpc import fleet_pb2

#: Earlier publications that are kept; a watcher with an older one gets all routes. Unchanged routes
#: are shared, so that each publication only needs memory for its changes.
MAX_EARLIER_PUBLICATION_COUNT = 16


class PublicationLog:
    """Provides the changes since the version of a watcher, in parts compressed once for all."""

    __slots__ = ("document", "earlier", "packed_parts")

    def __init__(self) -> None:
        self.document: dict[str, Any] | None = None
        self.earlier: deque[dict[str, Any]] = deque(maxlen=MAX_EARLIER_PUBLICATION_COUNT)
        #: Compressed parts by the version that the watcher has.
        self.packed_parts: dict[int, list[fleet_pb2.PackedPublication]] = {}

    @property
    def version(self) -> int:
        """Version in force; 0 before the first."""
        return self.document["version"] if self.document is not None else 0

    def add(self, document: dict[str, Any]) -> bool:
        """Add a publication, unless it is older, and return whether it is newer."""
        if document["version"] <= self.version:
            return False
        if self.document is not None:
            document = reuse_known_routes(document, self.document)
            self.earlier.append(self.document)
        self.document = document
        self.packed_parts.clear()
        return True

    def parts_since(self, version: int) -> list[fleet_pb2.PackedPublication]:
        """Return the parts for a watcher with this version; none if it has the newest one."""
        if self.document is None or version >= self.version:
            return []
        parts = self.packed_parts.get(version)
        if parts is None:
            parts = self.packed_parts[version] = self._pack_since(version, self.document)
        return parts

    def _pack_since(
        self, version: int, document: dict[str, Any]
    ) -> list[fleet_pb2.PackedPublication]:
        for known in self.earlier:
            if known["version"] == version:
                change = PublicationChange.between(known, document)
                return pack_publication(self.version, change.to_json(), version)
        return pack_publication(self.version, json.dumps(document, separators=(",", ":")).encode())
