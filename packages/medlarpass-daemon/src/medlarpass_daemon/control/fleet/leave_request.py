"""Requests of servers to leave."""

from __future__ import annotations


class LeaveRequest:
    """The first request of a server to leave in a term of the leader.

    :param position: term and feed revision that report the leave to entries
    :param asked_at: clock reading at the request, in seconds
    """

    __slots__ = ("asked_at", "position")

    def __init__(self, position: tuple[int, int], asked_at: float) -> None:
        self.position = position
        self.asked_at = asked_at
