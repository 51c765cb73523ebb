"""Latest publications, for watchers that know an earlier one."""

from __future__ import annotations

import json

from collections import deque
from typing import TYPE_CHECKING
from typing import Any

from medlarpass.publication import PublicationChange
from medlarpass.publication import with_known_routes
from medlarpass_daemon.publication_parts import packed

if TYPE_CHECKING:
    from medlarpass.rpc import fleet_pb2

#: Earlier publications that are kept; a watcher that is further behind gets all routes. Routes that
#: stay are shared, so each costs the memory of its changes.
MOST_EARLIER = 16


class PublicationLog:
    """Tells each watcher what changes for it, in parts that are packed once for all."""

    __slots__ = ("document", "earlier", "packed")

    def __init__(self) -> None:
        self.document: dict[str, Any] | None = None
        self.earlier: deque[dict[str, Any]] = deque(maxlen=MOST_EARLIER)
        #: Parts by the version that a watcher has.
        self.packed: dict[int, list[fleet_pb2.PackedPublication]] = {}

    @property
    def version(self) -> int:
        """Version in force; 0 before the first."""
        return self.document["version"] if self.document is not None else 0

    def take(self, document: dict[str, Any]) -> bool:
        """Take a publication and return whether it is newer; an older one never replaces it."""
        if document["version"] <= self.version:
            return False
        if self.document is not None:
            document = with_known_routes(document, self.document)
            self.earlier.append(self.document)
        self.document = document
        self.packed.clear()
        return True

    def parts_since(self, version: int) -> list[fleet_pb2.PackedPublication]:
        """Return what a watcher with this version needs; nothing when it has the newest one."""
        if self.document is None or version >= self.version:
            return []
        parts = self.packed.get(version)
        if parts is None:
            parts = self.packed[version] = self._pack(version, self.document)
        return parts

    def _pack(self, version: int, document: dict[str, Any]) -> list[fleet_pb2.PackedPublication]:
        for known in self.earlier:
            if known["version"] == version:
                change = PublicationChange.between(known, document)
                return packed(self.version, change.to_json(), version)
        return packed(self.version, json.dumps(document, separators=(",", ":")).encode())
