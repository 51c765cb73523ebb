"""Settings of a process listed by name and address."""

from __future__ import annotations

from typing import Any

from medlarpass import Value


class MemberSettings(Value):
    """A peer entry or a control replica.

    :param document: validated section with ``name``, ``domain`` and ``address``
    """

    __slots__ = ("address", "domain", "name")

    def __init__(self, document: dict[str, Any]) -> None:
        self.name: str = document["name"]
        self.domain: str = document["domain"]
        #: ``IP:PORT`` of the gRPC listener.
        self.address: str = document["address"]
