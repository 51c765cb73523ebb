"""A server that a request may be routed to."""

from __future__ import annotations

from medlarpass.base import Value


class Candidate(Value):
    """A server as the balancer sees it.

    :param identity: identity of the server
    :param slots: number of requests that the server runs concurrently
    :param weight: 0 to 1; below 1 during slow start, 0 while the server is ejected
    :param reported_in_flight: in-flight requests that the server itself reports, if known
    """

    __slots__ = ("identity", "reported_in_flight", "slots", "weight")

    def __init__(
        self, identity: str, slots: int, weight: float = 1.0, reported_in_flight: int | None = None
    ) -> None:
        self.identity = identity
        self.slots = slots
        self.weight = weight
        self.reported_in_flight = reported_in_flight
