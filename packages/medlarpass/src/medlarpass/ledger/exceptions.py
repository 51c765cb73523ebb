"""Errors of the order ledger."""

from __future__ import annotations

from medlarpass.exceptions import MedlarpassError
from medlarpass.outcome import Outcome


class LedgerUnavailableError(MedlarpassError):
    """The claim of an order could not be confirmed, so this request did not send the order.

    An earlier request with the same key may have run it; only the ledger could tell.
    """

    code = "ledger_unavailable"
    http_status = 503
    outcome = Outcome.UNKNOWN


class OrderInProgressError(MedlarpassError):
    """Another attempt holds the claim and its outcome is not recorded yet."""

    code = "order_in_progress"
    http_status = 409
    outcome = Outcome.UNKNOWN


class IdempotencyKeyConflictError(MedlarpassError):
    """The idempotency key belongs to an order with another body."""

    code = "idempotency_key_conflict"
    http_status = 422
    outcome = Outcome.NOT_RUN


class AnswerNotStoredError(MedlarpassError):
    """The order ran, but its response was too large to be stored."""

    code = "answer_not_stored"
    http_status = 409
    outcome = Outcome.RUN
