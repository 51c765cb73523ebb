"""Waits for a turn at the owner of a key, or refuses at once when the wait would be too long."""

from __future__ import annotations

import asyncio
import math

from typing import TYPE_CHECKING

from medlarpass_daemon.entry.callers.exceptions import OwnerBusyError
from medlarpass_daemon.entry.callers.exceptions import ServerRefusedError
from medlarpass_daemon.entry.callers.server_permit import OWNERSHIP_REFUSALS

if TYPE_CHECKING:
    from medlarpass import MedlarpassError
    from medlarpass_daemon.entry.callers.caller_request import CallerRequest
    from medlarpass_daemon.entry.callers.interfaces import Target
    from medlarpass_daemon.entry.callers.owner_turns import OwnerTurns
    from medlarpass_daemon.entry.callers.server_selector import ServerSelector

#: Refusals that say nothing about the load of a server.
REFUSALS_WITHOUT_LOAD = OWNERSHIP_REFUSALS | {"draining"}


class OwnerQueue:
    """Decides whether a request waits for its owner.

    :param turns: turns at the owners
    :param selector: knows the mean response times of the servers
    """

    __slots__ = ("selector", "turns")

    def __init__(self, turns: OwnerTurns, selector: ServerSelector) -> None:
        self.turns = turns
        self.selector = selector

    def is_load_refusal(self, request: CallerRequest, error: MedlarpassError) -> bool:
        """Return whether the owner of a request's key refused it because of its load."""
        return (
            request.owned_key is not None
            and request.target is not None
            and isinstance(error, ServerRefusedError)
            and error.refusal not in REFUSALS_WITHOUT_LOAD
        )

    def record_refusal(self, target: Target) -> None:
        """Record that an owner refused a request because of its load."""
        self.turns.record_refusal(target, self.selector.mean_latency(target.identity))

    def can_wait(self, request: CallerRequest, owner: Target) -> bool:
        """Return whether a request that waits for its turn is answered in time.

        That is within its target latency, counted from its arrival, and before its deadline.
        """
        wait = self.turns.expected_wait(owner)
        if wait <= 0:
            return True
        target = request.route.target_latency
        elapsed = request.clock.now() - request.started_at
        limit = min(math.inf if target is None else target - elapsed, request.remaining)
        return wait + (self.selector.mean_latency(owner.identity) or 0.0) <= limit

    async def wait_for_turn(self, request: CallerRequest, owner: Target) -> None:
        """Wait until a request may be sent to its owner.

        :raises OwnerBusyError: the request would wait too long
        """
        if not self.can_wait(request, owner):
            raise self.busy_error(owner)
        wait = self.turns.take(owner)
        if wait > 0:
            await asyncio.sleep(wait)

    def busy_error(self, owner: Target) -> OwnerBusyError:
        """Return the error of a request that can't wait for its owner."""
        return OwnerBusyError(
            f"{owner.identity} refuses requests because of its load",
            self.turns.expected_wait(owner),
        )
