"""Servers that the control log knows."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from medlarpass.rpc import control_pb2

#: Servers that are remembered; far more than there are, since silent ones are not removed.
MOST_RECORDS = 4096


class ServerRecords:
    """Aggregate of the newest life of each server, as last recorded.

    The records only bridge the time until a new leader has heard all servers. A record of a server
    that is gone does no harm: nothing answers there, or another server refuses what is not meant
    for it.
    """

    __slots__ = ("by_identity",)

    def __init__(self) -> None:
        #: In the order of their recording.
        self.by_identity: dict[str, control_pb2.RecordServer] = {}

    def record(self, body: control_pb2.RecordServer) -> None:
        """Remember a life of a server, unless a later one is known."""
        known = self.by_identity.get(body.identity)
        if known is not None and known.life > body.life:
            return
        address = (body.ip, body.port)
        for other in [each for each in self.all() if (each.ip, each.port) == address]:
            del self.by_identity[other.identity]
        self.by_identity.pop(body.identity, None)
        self.by_identity[body.identity] = body
        while len(self.by_identity) > MOST_RECORDS:
            del self.by_identity[next(iter(self.by_identity))]

    def remove(self, identity: str, life: int) -> None:
        """Forget a server whose life gets no new work."""
        known = self.by_identity.get(identity)
        if known is not None and known.life <= life:
            del self.by_identity[identity]

    def has(self, identity: str, life: int) -> bool:
        """Return whether a life is recorded."""
        known = self.by_identity.get(identity)
        return known is not None and known.life == life

    def all(self) -> Iterable[control_pb2.RecordServer]:
        """Return all records, the oldest first."""
        return self.by_identity.values()

    @classmethod
    def from_snapshot(cls, records: Iterable[control_pb2.RecordServer]) -> ServerRecords:
        """Return the records of a snapshot."""
        table = cls()
        for record in records:
            table.record(record)
        return table
