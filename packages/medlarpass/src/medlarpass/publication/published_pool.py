"""A pool of a publication."""

from __future__ import annotations

from typing import Any

from medlarpass.tables import Pool
from medlarpass.tables.schema import POOL_SCHEMA


class PublishedPool(Pool):
    """A pool with integer keys, which servers own in ranges.

    :param name: unique name
    :param document: ``owned``, ``connections``
    """

    __slots__ = ("connections",)

    def __init__(self, name: str, document: dict[str, Any]) -> None:
        super().__init__(name, POOL_SCHEMA({"owned": document["owned"]}))
        #: Maximum connections of a server from all entries together.
        self.connections: int = document["connections"]
