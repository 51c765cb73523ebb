"""Who makes a call and what they may do."""

from __future__ import annotations

from enum import Enum

from medlarpass import Value


class Role(Enum):
    """Right of a token."""

    READ = "read"
    CHANGE = "change"


class Principal(Value):
    """Author of a call.

    :param name: name for the audit trail
    :param role: what the author may do
    """

    __slots__ = ("name", "role")

    def __init__(self, name: str, role: Role) -> None:
        self.name = name
        self.role = role


#: Author of every call when the settings chose unauthenticated use by name.
ANONYMOUS = Principal("anonymous", Role.CHANGE)
