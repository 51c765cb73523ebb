"""Part of a request that holds its key."""

from __future__ import annotations

from medlarpass.base import Value


class KeySource(Value):
    """Location of the key in a request.

    :param location: ``path``, ``header`` or ``query``
    :param name: name of the path segment, header or query parameter
    """

    __slots__ = ("location", "name")

    def __init__(self, location: str, name: str) -> None:
        self.location = location
        self.name = name
