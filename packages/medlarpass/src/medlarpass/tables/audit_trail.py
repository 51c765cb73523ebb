"""Audit trail of accepted and refused changes."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarpass.rpc import state_pb2


#: Records kept in the replicated state: about six days at 1,700 changes a day.
AUDIT_LIMIT = 10_000


class AuditTrail:
    """The newest audit records, numbered without gaps."""

    __slots__ = ("count", "records")

    def __init__(self) -> None:
        self.records: deque[state_pb2.AuditEntry] = deque(maxlen=AUDIT_LIMIT)
        self.count = 0

    def add(self, record: state_pb2.AuditEntry) -> None:
        """Number and append a record."""
        self.count += 1
        record.number = self.count
        self.records.append(record)

    def since(self, number: int, limit: int) -> list[state_pb2.AuditEntry]:
        """Return up to ``limit`` records after ``number``, oldest first."""
        newer = [record for record in self.records if record.number > number]
        return newer[:limit]
