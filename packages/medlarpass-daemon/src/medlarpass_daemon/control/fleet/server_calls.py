"""How control tells servers which keys they hold."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from medlarpass.fleet import ServerNotice
    from medlarpass.ranges import RangeAssignment


class ServerCalls(Protocol):
    """Calls to servers; the adapter of a platform implements them.

    A call that is given up resets its connection, so that what was held up on the way is lost.
    """

    async def grant(
        self,
        server: ServerNotice,
        assignment: RangeAssignment,
        hold: float,
        handover: str,
        timeout: float,
    ) -> None:
        """Let a server run requests for keys, or renew that.

        :param hold: seconds from the arrival of the call
        :param handover: what the last holder returned with its release; empty when unknown
        :param timeout: seconds until the call is given up
        :raises ServerNotReachedError: nothing was sent
        :raises ServerCallLostError: the grant may take effect
        :raises HigherFenceError: the server refused the fence
        """
        ...

    async def release(
        self, server: ServerNotice, assignment: RangeAssignment, timeout: float
    ) -> str:
        """Take keys from a server; it answers when the work on them has ended.

        :returns: what the next holder needs to take over without a cold start
        :raises ServerCallError: the server may still run requests for the keys
        """
        ...

    async def close(self) -> None:
        """Close all connections."""
        ...
