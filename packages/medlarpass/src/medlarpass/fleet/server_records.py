"""Records of backend servers in the control log."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from medlarpass.rpc import control_pb2

#: Records that are kept; far more than there are servers, since unreachable ones are not removed.
MAX_RECORD_COUNT = 4096


class ServerRecords:
    """The newest recorded incarnation of each server.

    The records only bridge the time until a new leader has received heartbeats of all servers. An
    outdated record does no harm: either nothing responds at its address, or another server rejects
    the requests that are not meant for it.
    """

    __slots__ = ("by_identity",)

    def __init__(self) -> None:
        #: In the order in which they were recorded.
        self.by_identity: dict[str, control_pb2.RecordServer] = {}

    def record(self, body: control_pb2.RecordServer) -> None:
        """Record an incarnation of a server, unless a newer one is known."""
        known = self.by_identity.get(body.identity)
        if known is not None and known.life > body.life:
            return
        address = (body.ip, body.port)
        for other in [record for record in self.all() if (record.ip, record.port) == address]:
            del self.by_identity[other.identity]
        self.by_identity.pop(body.identity, None)
        self.by_identity[body.identity] = body
        while len(self.by_identity) > MAX_RECORD_COUNT:
            del self.by_identity[next(iter(self.by_identity))]

    def remove(self, identity: str, incarnation: int) -> None:
        """Remove a retired incarnation of a server."""
        known = self.by_identity.get(identity)
        if known is not None and known.life <= incarnation:
            del self.by_identity[identity]

    def has(self, identity: str, incarnation: int) -> bool:
        """Return whether an incarnation is recorded."""
        known = self.by_identity.get(identity)
        return known is not None and known.life == incarnation

    def all(self) -> Iterable[control_pb2.RecordServer]:
        """Return all records, oldest first."""
        return self.by_identity.values()

    @classmethod
    def from_snapshot(cls, records: Iterable[control_pb2.RecordServer]) -> ServerRecords:
        """Restore the records from a snapshot."""
        table = cls()
        for record in records:
            table.record(record)
        return table
