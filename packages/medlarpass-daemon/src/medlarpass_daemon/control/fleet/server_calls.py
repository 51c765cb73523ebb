"""Interface for granting and releasing keys at servers."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from collections.abc import Callable

    from medlarpass.fleet import ServerHeartbeat
    from medlarpass.ranges import RangeAssignment


class ServerCalls(Protocol):
    """Calls to servers, implemented by the adapter of a platform.

    An aborted call must reset its connection, so that data still in transit is discarded.
    """

    async def grant(
        self,
        server: ServerHeartbeat,
        assignment: RangeAssignment,
        hold: float,
        handover: str,
        timeout: float,
        needs_proof: bool,
        is_in_force: Callable[[], bool],
    ) -> None:
        """Grant keys to a server, or renew a grant.

        A server may send a second copy of a response, late. A call that needs no proof may take one
        for its own response, since its lease has a margin and the next renewal follows.

        :param hold: seconds for which the grant is valid, counted from the arrival of the call
        :param handover: handover that the last owner returned on release; empty when unknown
        :param timeout: seconds until the call is aborted
        :param needs_proof: whether nothing but the response to this call may count as one
        :param is_in_force: checked right before the call is written
        :raises ServerNotReachedError: nothing was sent, or another server listens at the address
        :raises GrantOutdatedError: the grant was no longer in force; nothing was sent
        :raises ServerCallLostError: the grant may still take effect
        :raises HigherFenceError: the server has seen a higher fence
        """
        ...

    async def release(
        self,
        server: ServerHeartbeat,
        assignment: RangeAssignment,
        timeout: float,
        shares_connection: bool,
    ) -> str:
        """Release keys at a server, which responds once it has finished their requests.

        Nothing but the response to this call may count as one.

        :param shares_connection: whether an open connection may be used, which spares a busy
            server the acceptance of a new one
        :returns: handover that lets the next owner take over without a cold start
        :raises AnotherServerError: another server listens at the address; only without sharing
        :raises ServerCallError: the server may still run requests for the keys
        """
        ...

    async def close(self) -> None:
        """Close all connections."""
        ...
