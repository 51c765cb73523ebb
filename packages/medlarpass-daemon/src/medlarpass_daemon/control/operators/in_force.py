"""Configuration revision that a process has in force."""

from __future__ import annotations

from medlarpass import Value


class InForce(Value):
    """What a place last reported.

    :param place: name of the entry
    :param domain: its failure domain
    :param revision: revision in force there
    :param age_ms: milliseconds since the report
    """

    __slots__ = ("age_ms", "domain", "place", "revision")

    def __init__(self, place: str, domain: str, revision: int, age_ms: int) -> None:
        self.place = place
        self.domain = domain
        self.revision = revision
        self.age_ms = age_ms
