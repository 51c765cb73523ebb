"""Audit trail of accepted and refused changes."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarpass.rpc import state_pb2


#: Records kept in the replicated state; covers about six days at 1,700 changes a day.
MAX_AUDIT_RECORD_COUNT = 10_000


class AuditTrail:
    """The most recent audit records, numbered consecutively."""

    __slots__ = ("count", "records")

    def __init__(self) -> None:
        self.records: deque[state_pb2.AuditEntry] = deque(maxlen=MAX_AUDIT_RECORD_COUNT)
        self.count = 0

    def add(self, record: state_pb2.AuditEntry) -> None:
        """Append a record with the next number."""
        self.count += 1
        record.number = self.count
        self.records.append(record)

    def since(self, number: int, limit: int) -> list[state_pb2.AuditEntry]:
        """Return up to ``limit`` records after ``number``, oldest first."""
        newer_records = [record for record in self.records if record.number > number]
        return newer_records[:limit]
