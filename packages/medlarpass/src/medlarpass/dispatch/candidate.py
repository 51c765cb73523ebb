"""A server that a request may be sent to."""

from __future__ import annotations

from medlarpass.base import Value


class Candidate(Value):
    """A server as the balancer sees it.

    :param identity: identity of the server
    :param slots: requests the server runs at once
    :param weight: 0 to 1; below 1 after an ejection or a start
    :param told_in_flight: in-flight requests that the server reports itself, if any
    """

    __slots__ = ("identity", "slots", "told_in_flight", "weight")

    def __init__(
        self, identity: str, slots: int, weight: float = 1.0, told_in_flight: int | None = None
    ) -> None:
        self.identity = identity
        self.slots = slots
        self.weight = weight
        self.told_in_flight = told_in_flight
