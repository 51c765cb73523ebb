"""Durable records of orders that have an idempotency key."""

from __future__ import annotations

from medlarpass.ledger.exceptions import AnswerNotStoredError
from medlarpass.ledger.exceptions import IdempotencyKeyConflictError
from medlarpass.ledger.exceptions import LedgerUnavailableError
from medlarpass.ledger.exceptions import OrderInProgressError
from medlarpass.ledger.order_ledger import MAX_STORED_BODY_BYTES
from medlarpass.ledger.order_ledger import OrderLedger

__all__ = [
    "MAX_STORED_BODY_BYTES",
    "AnswerNotStoredError",
    "IdempotencyKeyConflictError",
    "LedgerUnavailableError",
    "OrderInProgressError",
    "OrderLedger",
]
