"""Routes map requests to pools."""

from __future__ import annotations

import json

from typing import Any
from typing import ClassVar

from medlarpass.base import Value
from medlarpass.tables.exceptions import InvalidDocumentError
from medlarpass.tables.key_source import KeySource
from medlarpass.tables.request_class import RequestClass
from medlarpass.tables.schema import ROUTE_SCHEMA
from medlarpass.tables.schema import parse_json
from medlarpass.tables.schema import validate_document

#: Maximum number of servers that a request is sent to, unless its route sets another.
DEFAULT_MAX_ATTEMPT_COUNT = 3


class Route(Value):
    """A route of the configuration tables.

    :param name: unique name
    :param document: validated document, with defaults filled in
    """

    __slots__ = (
        "body_bytes",
        "concurrency",
        "deadline",
        "host",
        "key",
        "methods",
        "name",
        "path",
        "pool",
        "queue",
        "request_class",
    )
    #: Maximum number of servers that one request is sent to.
    max_attempts: int = DEFAULT_MAX_ATTEMPT_COUNT
    #: Priority among the routes of a pool; 0 is the highest.
    priority: int = 0
    #: Target latency in seconds, None when the route has none.
    target_latency: float | None = None
    #: Whether requests to pools without key ownership may lack the key.
    is_key_optional: ClassVar[bool] = False

    def __init__(self, name: str, document: dict[str, Any]) -> None:
        key = document.get("key")
        limits = document["limits"]
        self.name = name
        self.host: str = document["host"]
        self.path: str = document["path"]
        self.methods: tuple[str, ...] = tuple(document["methods"])
        self.request_class = RequestClass(document["class"])
        self.key = KeySource(key["from"], key["name"]) if key else None
        self.pool: str = document["pool"]
        #: Maximum duration of a request in seconds.
        self.deadline: float = document["deadline_ms"] / 1000
        self.concurrency: int = limits["concurrency"]
        self.queue: int = limits["queue"]
        self.body_bytes: int = limits["body_bytes"]

    @property
    def pool_names(self) -> tuple[str, ...]:
        """Names of the pools that requests of this route may be sent to."""
        return (self.pool,)

    @classmethod
    def from_document(cls, name: str, document: Any) -> Route:
        """Build a route from parsed JSON or YAML.

        :raises InvalidDocumentError: naming the key and what was expected
        """
        route = cls(name, validate_document(ROUTE_SCHEMA, name, document))
        route.check_key()
        return route

    @classmethod
    def from_json(cls, name: str, text: str) -> Route:
        """Build a route from JSON text.

        :raises InvalidDocumentError: naming the key and what was expected
        """
        return cls.from_document(name, parse_json(name, text))

    def check_key(self) -> None:
        """Check that the key matches the request class and the path.

        :raises InvalidDocumentError: when an enquiry has no key or the path lacks the key's segment
        """
        if self.key is None:
            if self.request_class is RequestClass.ENQUIRY:
                raise InvalidDocumentError(f"{self.name}: key: expected for an enquiry")
            return
        if self.key.location == "path" and f"{{{self.key.name}}}" not in self.path.split("/"):
            raise InvalidDocumentError(
                f"{self.name}: key.name: expected a segment of path {self.path}"
            )

    def to_document(self) -> dict[str, Any]:
        """Return the document with all defaults."""
        document: dict[str, Any] = {
            "host": self.host,
            "path": self.path,
            "methods": list(self.methods),
            "class": self.request_class.value,
            "pool": self.pool,
            "deadline_ms": round(self.deadline * 1000),
            "limits": {
                "concurrency": self.concurrency,
                "queue": self.queue,
                "body_bytes": self.body_bytes,
            },
        }
        if self.key:
            document["key"] = {"from": self.key.location, "name": self.key.name}
        return document

    def to_json(self) -> str:
        """Return the canonical JSON text."""
        return json.dumps(self.to_document(), sort_keys=True)
