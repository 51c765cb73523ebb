"""Authenticated author of a request and its role."""

from __future__ import annotations

from enum import Enum

from medlarpass import Value


class Role(Enum):
    """Permission level of a token."""

    READ = "read"
    CHANGE = "change"


class Principal(Value):
    """Author of a request.

    :param name: name recorded in the audit trail
    :param role: permission level of the author
    """

    __slots__ = ("name", "role")

    def __init__(self, name: str, role: Role) -> None:
        self.name = name
        self.role = role


#: Author of every request when the settings explicitly select unauthenticated mode.
ANONYMOUS = Principal("anonymous", Role.CHANGE)
