"""Difference between two versions of a publication."""

from __future__ import annotations

import json

from typing import Any

#: Keys of a document that every change contains; the routes make up by far the most of it.
UNCONDITIONAL_KEYS = ("version", "key_header", "pools", "limits")


class PublicationChange:
    """Added, changed and removed routes, with all other values in full.

    :param document: serialised change: a publication's document with only the added and changed
        routes, and with ``gone``, the names of the removed routes
    """

    __slots__ = ("document",)

    def __init__(self, document: dict[str, Any]) -> None:
        self.document = document

    @classmethod
    def between(cls, previous: dict[str, Any], current: dict[str, Any]) -> PublicationChange:
        """Compare the documents of two publications."""
        previous_routes = {route["name"]: route for route in previous["routes"]}
        current_names = {route["name"] for route in current["routes"]}
        document = {key: current[key] for key in UNCONDITIONAL_KEYS}
        document["routes"] = [
            route for route in current["routes"] if previous_routes.get(route["name"]) != route
        ]
        document["gone"] = [name for name in previous_routes if name not in current_names]
        return cls(document)

    @classmethod
    def from_json(cls, text: bytes) -> PublicationChange:
        """Parse the text that :meth:`to_json` returned."""
        return cls(json.loads(text))

    def to_json(self) -> bytes:
        """Return the change as JSON text."""
        return json.dumps(self.document, separators=(",", ":")).encode()

    def applied_to(self, previous: dict[str, Any]) -> dict[str, Any]:
        """Return the document of the newer publication, which shares the unchanged routes."""
        routes = {route["name"]: route for route in previous["routes"]}
        for name in self.document["gone"]:
            routes.pop(name, None)
        routes.update((route["name"], route) for route in self.document["routes"])
        current = {key: self.document[key] for key in UNCONDITIONAL_KEYS}
        current["routes"] = list(routes.values())
        return current
