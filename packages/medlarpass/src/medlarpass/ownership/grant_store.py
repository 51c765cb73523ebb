"""Grant record that each entry stores for the coordinator of its domain."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.ownership.ballot import record_key

if TYPE_CHECKING:
    from medlarpass.rpc import domain_pb2 as pb


class GrantStore:
    """Keeps the newest grant record that this entry has received since its start."""

    __slots__ = ("record",)

    def __init__(self) -> None:
        self.record: pb.GrantRecord | None = None

    @property
    def has_history(self) -> bool:
        """Whether a record was stored since the start."""
        return self.record is not None

    def store(self, record: pb.GrantRecord) -> bool:
        """Keep a record unless a newer one is stored; the same record may be stored again.

        :param record: all grants of the domain
        :returns: whether the record is now the stored one
        """
        if self.record is not None and record_key(record) < record_key(self.record):
            return False
        self.record = record
        return True
