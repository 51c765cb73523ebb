"""Outcomes of past changes, so that a resent change gets its first outcome."""

from __future__ import annotations

import copy
import hashlib

from medlarpass.rpc import control_pb2
from medlarpass.rpc import state_pb2
from medlarpass.tables.exceptions import ChangeIdReusedError

#: Changes kept: over a week at 1,700 changes a day.
HISTORY_LIMIT = 12_000


class ChangeHistory:
    """Outcomes by change id, oldest first."""

    __slots__ = ("outcomes",)

    def __init__(self) -> None:
        self.outcomes: dict[str, state_pb2.ChangeOutcome] = {}

    def find(self, change_id: str, digest: bytes) -> control_pb2.ChangeResult | None:
        """Return the first outcome of a change.

        :param change_id: id chosen by the author
        :param digest: digest of the contents
        :raises ChangeIdReusedError: when the id belongs to a change with other contents
        """
        known = self.outcomes.get(change_id)
        if known is None:
            return None
        if known.digest != digest:
            raise ChangeIdReusedError(f"change id {change_id} was used for another change")
        return known.result

    def add(
        self, change_id: str, digest: bytes, time_ms: int, result: control_pb2.ChangeResult
    ) -> None:
        """Remember the outcome of a change."""
        self.outcomes[change_id] = state_pb2.ChangeOutcome(
            change_id=change_id, time_ms=time_ms, digest=digest, result=result
        )
        while len(self.outcomes) > HISTORY_LIMIT:
            self.outcomes.pop(next(iter(self.outcomes)))


def digest_of(message: control_pb2.ApplyChange | control_pb2.SetDrain) -> bytes:
    """Return a digest of what a change does, without its author and source."""
    contents = copy.deepcopy(message)
    contents.author = ""
    contents.source = ""
    return hashlib.sha256(contents.SerializeToString(deterministic=True)).digest()
