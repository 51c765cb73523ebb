"""Part of a request that holds its key."""

from __future__ import annotations

from medlarpass.base import Value


class KeySource(Value):
    """Location of the key in a request.

    :param place: ``path``, ``header`` or ``query``
    :param name: name of the path segment, header or query parameter
    """

    __slots__ = ("name", "place")

    def __init__(self, place: str, name: str) -> None:
        self.place = place
        self.name = name
