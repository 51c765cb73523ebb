"""Order claims for deployments whose callers send no idempotency keys."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.ledger import LedgerUnavailableError

if TYPE_CHECKING:
    from medlarpass.rpc import control_pb2


class NoClaims:
    """Refuses all claims; a dialect without idempotency keys never requests one."""

    __slots__ = ()

    async def claim(
        self, route: str, idempotency_key: str, digest: bytes, attempt: str, deadline: float
    ) -> control_pb2.ClaimResult:
        """Refuse the claim.

        :raises LedgerUnavailableError: always
        """
        raise LedgerUnavailableError("there is no order ledger in this deployment")

    async def complete(
        self, route: str, idempotency_key: str, attempt: str, answer: control_pb2.RecordedAnswer
    ) -> None:
        """Do nothing: no claim was accepted."""

    async def release(self, route: str, idempotency_key: str, attempt: str) -> None:
        """Do nothing: no claim was accepted."""
