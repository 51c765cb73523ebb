"""Commands that start or end an evacuation."""

from __future__ import annotations


class EvacuationRequest:
    """The first of the equal commands for a failure domain in a term of the leader.

    :param evacuated: whether the domain is to be evacuated
    :param term: term of the leader
    :param asked_at: clock reading at the command, in seconds
    """

    __slots__ = ("asked_at", "evacuated", "term")

    def __init__(self, evacuated: bool, term: int, asked_at: float) -> None:
        self.evacuated = evacuated
        self.term = term
        self.asked_at = asked_at
