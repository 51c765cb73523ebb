"""Claims of orders by idempotency key."""

from __future__ import annotations

from typing import TypeAlias

from medlarpass.rpc import control_pb2
from medlarpass.rpc import state_pb2

ClaimKey: TypeAlias = tuple[str, str]

#: Larger response bodies are not stored.
MAX_STORED_BODY_BYTES = 16 * 1024
#: Time for which a claim and its outcome are kept.
CLAIM_RETENTION_MS = 24 * 3600 * 1000

IN_PROGRESS = state_pb2.CLAIM_STATE_IN_PROGRESS
RECORDED = state_pb2.CLAIM_STATE_RECORDED
RELEASED = state_pb2.CLAIM_STATE_RELEASED


class OrderLedger:
    """Claims of orders; every replica applies the same messages in the same order.

    Another attempt never takes over a claim in progress after a timeout, because the entry that
    holds it may be suspended just before it sends the order. A claim ends with an outcome, a
    release or the end of its retention.
    """

    __slots__ = ("claims",)

    def __init__(self) -> None:
        #: Ordered by age, oldest first, so that only the first ones need to be checked for expiry.
        self.claims: dict[ClaimKey, state_pb2.ClaimRecord] = {}

    def claim(self, request: control_pb2.ClaimOrder, time_ms: int) -> control_pb2.ClaimResult:
        """Claim an order for one attempt.

        :param request: key, digest of the body and the attempt
        :param time_ms: Unix time set by the leader, in milliseconds
        :returns: claimed, recorded, in progress or conflict; a repeated claim of the same attempt
            gets the same result as the first one
        """
        self._remove_expired(time_ms)
        key = (request.route, request.idempotency_key)
        record = self.claims.get(key)
        if record is None:
            return self._record_claim(key, request, time_ms)
        if record.state == RELEASED:
            # The caller of a released attempt got the outcome "not run", so a delayed claim of
            # that attempt must not succeed.
            if record.attempt == request.attempt:
                return control_pb2.ClaimResult(status=control_pb2.CLAIM_STATUS_IN_PROGRESS)
            return self._record_claim(key, request, time_ms)
        if record.body_digest != request.body_digest:
            return control_pb2.ClaimResult(status=control_pb2.CLAIM_STATUS_CONFLICT)
        if record.state == RECORDED:
            return control_pb2.ClaimResult(
                status=control_pb2.CLAIM_STATUS_RECORDED, answer=record.answer
            )
        if record.attempt == request.attempt:
            return control_pb2.ClaimResult(status=control_pb2.CLAIM_STATUS_CLAIMED)
        return control_pb2.ClaimResult(status=control_pb2.CLAIM_STATUS_IN_PROGRESS)

    def complete(self, request: control_pb2.CompleteOrder, time_ms: int) -> control_pb2.ClaimResult:
        """Store the outcome of the attempt that holds the claim.

        :returns: recorded, or in progress if the attempt does not hold the claim
        """
        self._remove_expired(time_ms)
        record = self.claims.get((request.route, request.idempotency_key))
        if record is None or record.attempt != request.attempt or record.state == RELEASED:
            return control_pb2.ClaimResult(status=control_pb2.CLAIM_STATUS_IN_PROGRESS)
        if record.state == IN_PROGRESS:
            record.state = RECORDED
            record.answer.CopyFrom(_without_oversized_body(request.answer))
        return control_pb2.ClaimResult(
            status=control_pb2.CLAIM_STATUS_RECORDED, answer=record.answer
        )

    def release(self, request: control_pb2.ReleaseOrder, time_ms: int) -> control_pb2.ClaimResult:
        """Release the claim of an attempt that certainly did not run the order.

        A release that arrives before its claim is stored, so that the claim has no effect.
        """
        self._remove_expired(time_ms)
        key = (request.route, request.idempotency_key)
        record = self.claims.get(key)
        if record is None:
            self.claims[key] = state_pb2.ClaimRecord(
                route=request.route,
                idempotency_key=request.idempotency_key,
                attempt=request.attempt,
                time_ms=time_ms,
                state=RELEASED,
            )
        elif record.attempt == request.attempt and record.state == IN_PROGRESS:
            record.state = RELEASED
        return control_pb2.ClaimResult(status=control_pb2.CLAIM_STATUS_UNSPECIFIED)

    def snapshot(self) -> state_pb2.LedgerSnapshot:
        """Return the complete state."""
        return state_pb2.LedgerSnapshot(claims=self.claims.values())

    @classmethod
    def from_snapshot(cls, snapshot: state_pb2.LedgerSnapshot) -> OrderLedger:
        """Return the ledger of a snapshot."""
        ledger = cls()
        ledger.claims = {
            (record.route, record.idempotency_key): record for record in snapshot.claims
        }
        return ledger

    def _record_claim(
        self, key: ClaimKey, request: control_pb2.ClaimOrder, time_ms: int
    ) -> control_pb2.ClaimResult:
        self.claims.pop(key, None)
        self.claims[key] = state_pb2.ClaimRecord(
            route=request.route,
            idempotency_key=request.idempotency_key,
            body_digest=request.body_digest,
            attempt=request.attempt,
            entry=request.entry,
            time_ms=time_ms,
            state=IN_PROGRESS,
        )
        return control_pb2.ClaimResult(status=control_pb2.CLAIM_STATUS_CLAIMED)

    def _remove_expired(self, time_ms: int) -> None:
        while self.claims:
            key = next(iter(self.claims))
            if self.claims[key].time_ms + CLAIM_RETENTION_MS > time_ms:
                return
            del self.claims[key]


def _without_oversized_body(answer: control_pb2.RecordedAnswer) -> control_pb2.RecordedAnswer:
    stored = control_pb2.RecordedAnswer()
    stored.CopyFrom(answer)
    if len(stored.body) > MAX_STORED_BODY_BYTES:
        stored.body = b""
        stored.body_omitted = True
    return stored
