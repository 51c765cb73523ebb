"""Outcomes of past changes, which make retries of a change idempotent."""

from __future__ import annotations

import copy
import hashlib

from medlarpass.rpc import control_pb2
from medlarpass.rpc import state_pb2
from medlarpass.tables.exceptions import ChangeIdReusedError

#: Outcomes kept in the replicated state; covers over a week at 1,700 changes a day.
MAX_OUTCOME_COUNT = 12_000


class ChangeHistory:
    """Outcomes of changes by change id, in insertion order."""

    __slots__ = ("outcomes",)

    def __init__(self) -> None:
        self.outcomes: dict[str, state_pb2.ChangeOutcome] = {}

    def find(self, change_id: str, digest: bytes) -> control_pb2.ChangeResult | None:
        """Return the stored result of a change, None for a new change.

        :param change_id: id chosen by the author
        :param digest: digest of the contents of the change
        :raises ChangeIdReusedError: when a change with other contents used the id
        """
        outcome = self.outcomes.get(change_id)
        if outcome is None:
            return None
        if outcome.digest != digest:
            raise ChangeIdReusedError(f"change id {change_id} was used for another change")
        return outcome.result

    def add(
        self, change_id: str, digest: bytes, time_ms: int, result: control_pb2.ChangeResult
    ) -> None:
        """Store the outcome of a change and drop the oldest ones beyond the limit."""
        self.outcomes[change_id] = state_pb2.ChangeOutcome(
            change_id=change_id, time_ms=time_ms, digest=digest, result=result
        )
        while len(self.outcomes) > MAX_OUTCOME_COUNT:
            self.outcomes.pop(next(iter(self.outcomes)))


def change_digest(
    message: control_pb2.ApplyChange | control_pb2.SetDrain | control_pb2.SetEvacuation,
) -> bytes:
    """Return a digest of the contents of a change, without its author and source."""
    contents = copy.deepcopy(message)
    contents.author = ""
    contents.source = ""
    return hashlib.sha256(contents.SerializeToString(deterministic=True)).digest()
