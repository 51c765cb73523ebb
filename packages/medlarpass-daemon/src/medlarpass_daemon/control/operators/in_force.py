"""Configuration revision that a process has in force."""

from __future__ import annotations

from medlarpass import Value


class InForce(Value):
    """Last configuration report of an entry process.

    :param place: name of the process
    :param domain: failure domain of the process
    :param revision: configuration revision that it has in force
    :param age_ms: milliseconds since the report
    """

    __slots__ = ("age_ms", "domain", "place", "revision")

    def __init__(self, place: str, domain: str, revision: int, age_ms: int) -> None:
        self.place = place
        self.domain = domain
        self.revision = revision
        self.age_ms = age_ms
