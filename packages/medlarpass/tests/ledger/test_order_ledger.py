"""Guards against running an order with an idempotency key twice."""

from __future__ import annotations

import pytest

from medlarpass.ledger import MAX_STORED_BODY_BYTES
from medlarpass.ledger import OrderLedger
from medlarpass.ledger.order_ledger import CLAIM_RETENTION_MS
from medlarpass.rpc import control_pb2

claim_status_name = control_pb2.ClaimStatus.Name


def claim(attempt: str, body: bytes = b"b") -> control_pb2.ClaimOrder:
    return control_pb2.ClaimOrder(
        route="r", idempotency_key="k", body_digest=body, attempt=attempt, entry="e"
    )


def complete(attempt: str, body: bytes = b"answer") -> control_pb2.CompleteOrder:
    answer = control_pb2.RecordedAnswer(status=201, body=body)
    return control_pb2.CompleteOrder(route="r", idempotency_key="k", attempt=attempt, answer=answer)


def release(attempt: str) -> control_pb2.ReleaseOrder:
    return control_pb2.ReleaseOrder(route="r", idempotency_key="k", attempt=attempt)


CASES = [
    ("first claim", [], "1", "CLAIMED"),
    ("same attempt repeats its claim", [claim("1")], "1", "CLAIMED"),
    ("other attempt while the first is suspended", [claim("1")], "2", "IN_PROGRESS"),
    ("repeat after the outcome", [claim("1"), complete("1")], "2", "RECORDED"),
    ("claim known not run can be taken again", [claim("1"), release("1")], "2", "CLAIMED"),
    ("suspended attempt resumes after its release", [claim("1"), release("1")], "1", "IN_PROGRESS"),
    ("release arrives before its claim", [release("1")], "1", "IN_PROGRESS"),
    ("release of another attempt", [claim("1"), release("2")], "2", "IN_PROGRESS"),
    ("release after the outcome", [claim("1"), complete("1"), release("1")], "2", "RECORDED"),
    ("outcome of another attempt", [claim("1"), complete("2")], "3", "IN_PROGRESS"),
    ("outcome after the release", [claim("1"), release("1"), complete("1")], "2", "CLAIMED"),
    ("other body", [claim("1", b"other")], "2", "CONFLICT"),
    ("other body by the same attempt", [claim("1", b"other")], "1", "CONFLICT"),
]


def apply(ledger: OrderLedger, message: object, time_ms: int) -> control_pb2.ClaimResult:
    if isinstance(message, control_pb2.ClaimOrder):
        return ledger.claim(message, time_ms)
    if isinstance(message, control_pb2.CompleteOrder):
        return ledger.complete(message, time_ms)
    assert isinstance(message, control_pb2.ReleaseOrder)
    return ledger.release(message, time_ms)


@pytest.mark.parametrize("restored", [False, True], ids=["live", "from snapshot"])
@pytest.mark.parametrize(("name", "before", "attempt", "status"), CASES, ids=[c[0] for c in CASES])
def test_claim(name: str, before: list[object], attempt: str, status: str, restored: bool) -> None:
    ledger = OrderLedger()
    for message in before:
        apply(ledger, message, 1)
    if restored:
        ledger = OrderLedger.from_snapshot(ledger.snapshot())
    assert claim_status_name(ledger.claim(claim(attempt), 2).status) == f"CLAIM_STATUS_{status}"


def test_large_answer_is_not_stored() -> None:
    ledger = OrderLedger()
    ledger.claim(claim("1"), 1)
    ledger.complete(complete("1", b"x" * (MAX_STORED_BODY_BYTES + 1)), 1)
    answer = ledger.claim(claim("2"), 2).answer
    assert answer.body_omitted
    assert not answer.body


def test_claims_end_with_their_retention() -> None:
    ledger = OrderLedger()
    ledger.claim(claim("1"), 0)
    assert (
        ledger.claim(claim("2"), CLAIM_RETENTION_MS - 1).status
        == control_pb2.CLAIM_STATUS_IN_PROGRESS
    )
    assert ledger.claim(claim("2"), CLAIM_RETENTION_MS).status == control_pb2.CLAIM_STATUS_CLAIMED
