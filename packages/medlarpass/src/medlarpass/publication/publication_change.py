"""What one version of a publication changes in another."""

from __future__ import annotations

import json

from typing import Any

#: Parts of a document that travel whole with each change; routes are by far the most of it.
WHOLE_PARTS = ("version", "key_header", "pools", "limits")


class PublicationChange:
    """Routes that are new, different or gone, and everything else whole.

    :param document: the change as it travels: the parts of a publication's document with the new
        and different routes only, and ``gone``, the names of routes that are dropped
    """

    __slots__ = ("document",)

    def __init__(self, document: dict[str, Any]) -> None:
        self.document = document

    @classmethod
    def between(cls, before: dict[str, Any], after: dict[str, Any]) -> PublicationChange:
        """Compare the documents of two publications."""
        known = {route["name"]: route for route in before["routes"]}
        named = {route["name"] for route in after["routes"]}
        document = {part: after[part] for part in WHOLE_PARTS}
        document["routes"] = [
            route for route in after["routes"] if known.get(route["name"]) != route
        ]
        document["gone"] = [name for name in known if name not in named]
        return cls(document)

    @classmethod
    def from_json(cls, text: bytes) -> PublicationChange:
        """Read the text that :meth:`to_json` returned."""
        return cls(json.loads(text))

    def to_json(self) -> bytes:
        """Return the change as JSON text."""
        return json.dumps(self.document, separators=(",", ":")).encode()

    def applied_to(self, before: dict[str, Any]) -> dict[str, Any]:
        """Return the document of the newer publication; routes that stay are the same objects."""
        routes = {route["name"]: route for route in before["routes"]}
        for name in self.document["gone"]:
            routes.pop(name, None)
        routes.update((route["name"], route) for route in self.document["routes"])
        after = {part: self.document[part] for part in WHOLE_PARTS}
        after["routes"] = list(routes.values())
        return after
