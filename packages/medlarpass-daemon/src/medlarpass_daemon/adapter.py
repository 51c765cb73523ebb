"""What an adapter for a platform provides.

An adapter holds names, formats and calls of a platform and decides nothing.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from medlarpass_daemon.control.fleet.fleet_operations import FleetOperations
    from medlarpass_daemon.control.fleet.server_calls import ServerCalls
    from medlarpass_daemon.entry.callers.dialect import Dialect
    from medlarpass_daemon.settings import DaemonSettings


class Listener(Protocol):
    """A listener of control that speaks the platform's formats."""

    async def start(self) -> None:
        """Listen and serve."""
        ...

    async def stop(self) -> None:
        """Stop listening and finish running calls."""
        ...


class Adapter(Protocol):
    """The parts of an adapter."""

    @property
    def dialect(self) -> Dialect:
        """Headers and answers between callers, entries and servers."""
        ...

    def control_listener(self, settings: DaemonSettings, operations: FleetOperations) -> Listener:
        """Return the listener of control for servers and operators."""
        ...

    def server_calls(self) -> ServerCalls:
        """Return the calls that tell servers which keys they hold."""
        ...
