"""Pools of backend servers."""

from __future__ import annotations

import json

from typing import Any

from medlarpass.base import Value
from medlarpass.tables.schema import POOL_SCHEMA
from medlarpass.tables.schema import parse_json
from medlarpass.tables.schema import validate_document


class Pool(Value):
    """A pool of the configuration tables.

    :param name: unique name
    :param document: validated document, with defaults filled in
    """

    __slots__ = ("delegation_term", "favours", "moves_per_minute", "name", "owned", "shards")

    def __init__(self, name: str, document: dict[str, Any]) -> None:
        self.name = name
        #: Whether each key of the pool is owned by a single server.
        self.owned: bool = document["owned"]
        self.shards: int = document["shards"]
        #: Seconds for which a disconnected failure domain keeps its shards.
        self.delegation_term: float = document["delegation_term_ms"] / 1000
        self.moves_per_minute: int = document["moves_per_minute"]
        self.favours: str = document["favours"]

    @classmethod
    def from_document(cls, name: str, document: Any) -> Pool:
        """Build a pool from parsed JSON or YAML.

        :raises InvalidDocumentError: naming the key and what was expected
        """
        return cls(name, validate_document(POOL_SCHEMA, name, document))

    @classmethod
    def from_json(cls, name: str, text: str) -> Pool:
        """Build a pool from JSON text.

        :raises InvalidDocumentError: naming the key and what was expected
        """
        return cls.from_document(name, parse_json(name, text))

    def to_document(self) -> dict[str, Any]:
        """Return the document with all defaults."""
        return {
            "owned": self.owned,
            "shards": self.shards,
            "delegation_term_ms": round(self.delegation_term * 1000),
            "moves_per_minute": self.moves_per_minute,
            "favours": self.favours,
        }

    def to_json(self) -> str:
        """Return the canonical JSON text."""
        return json.dumps(self.to_document(), sort_keys=True)
