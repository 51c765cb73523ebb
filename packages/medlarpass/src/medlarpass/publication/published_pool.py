"""A pool of a publication."""

from __future__ import annotations

from typing import Any

from medlarpass.tables import Pool
from medlarpass.tables.schema import POOL_SCHEMA


class PublishedPool(Pool):
    """A pool with integer keys, which servers own in ranges.

    :param name: unique name
    :param document: ``owned``, ``connections``, and optionally ``warmup_seconds`` and
        ``warmup_rate``
    """

    __slots__ = ("connections", "warmup_rate", "warmup_seconds")

    def __init__(self, name: str, document: dict[str, Any]) -> None:
        super().__init__(name, POOL_SCHEMA({"owned": document["owned"]}))
        #: Maximum connections of a server from all entries together.
        self.connections: int = document["connections"]
        #: Seconds for which a server is cold after its start; None if that is not published.
        self.warmup_seconds: float | None = document.get("warmup_seconds")
        #: Requests per second that a cold server can handle; None for no limit.
        self.warmup_rate: float | None = document.get("warmup_rate")
