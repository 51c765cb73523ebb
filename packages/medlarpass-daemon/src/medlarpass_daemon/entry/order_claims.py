"""Claims of orders in the control log."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass import MedlarpassError
from medlarpass.ledger import LedgerUnavailableError
from medlarpass.rpc import control_pb2

if TYPE_CHECKING:
    from medlarpass import Clock
    from medlarpass_daemon.entry.control_client import ControlClient

#: Timeout for recording a response or a release, after which the caller of this class retries.
RECORD_TIMEOUT_SECONDS = 5.0


class OrderClaims:
    """Claims, outcomes and releases of this entry's orders.

    :param name: name of this entry
    :param client: sends commands to the control leader
    :param clock: clock of this process
    """

    __slots__ = ("client", "clock", "name")

    def __init__(self, name: str, client: ControlClient, clock: Clock) -> None:
        self.name = name
        self.client = client
        self.clock = clock

    async def claim(
        self, route: str, idempotency_key: str, digest: bytes, attempt: str, deadline: float
    ) -> control_pb2.ClaimResult:
        """Claim an order for one attempt.

        :param digest: digest of method, path, query and body
        :param deadline: clock reading after which the claim is no longer needed
        :raises LedgerUnavailableError: the claim could not be confirmed
        """
        command = control_pb2.ClaimOrder(
            route=route,
            idempotency_key=idempotency_key,
            body_digest=digest,
            attempt=attempt,
            entry=self.name,
        )
        return await self._propose(control_pb2.Command(claim_order=command), deadline)

    async def complete(
        self, route: str, idempotency_key: str, attempt: str, answer: control_pb2.RecordedAnswer
    ) -> None:
        """Record the response to an order.

        :raises LedgerUnavailableError: the record could not be confirmed
        """
        command = control_pb2.CompleteOrder(
            route=route, idempotency_key=idempotency_key, attempt=attempt, answer=answer
        )
        deadline = self.clock.now() + RECORD_TIMEOUT_SECONDS
        await self._propose(control_pb2.Command(complete_order=command), deadline)

    async def release(self, route: str, idempotency_key: str, attempt: str) -> None:
        """Release a claim whose order was not run.

        :raises LedgerUnavailableError: the release could not be confirmed
        """
        command = control_pb2.ReleaseOrder(
            route=route, idempotency_key=idempotency_key, attempt=attempt
        )
        deadline = self.clock.now() + RECORD_TIMEOUT_SECONDS
        await self._propose(control_pb2.Command(release_order=command), deadline)

    async def _propose(
        self, command: control_pb2.Command, deadline: float
    ) -> control_pb2.ClaimResult:
        try:
            result = await self.client.propose(command, deadline)
        except MedlarpassError as error:
            raise LedgerUnavailableError(f"the order ledger did not respond: {error}") from error
        return result.claim
