"""Interface of a platform adapter.

An adapter translates names, formats and calls of a platform. It contains no routing or ownership
logic.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from medlarpass_daemon.control.fleet.fleet_operations import FleetOperations
    from medlarpass_daemon.control.fleet.server_calls import ServerCalls
    from medlarpass_daemon.entry.callers.dialect import Dialect
    from medlarpass_daemon.request_bounds import ProcessBounds
    from medlarpass_daemon.settings import DaemonSettings


class Listener(Protocol):
    """Listener of control that uses the formats of the platform."""

    async def start(self) -> None:
        """Start listening."""
        ...

    async def stop(self) -> None:
        """Stop listening and finish running calls."""
        ...


class Adapter(Protocol):
    """Adapter of a platform."""

    @property
    def dialect(self) -> Dialect:
        """Headers and error responses used between callers, entries and servers."""
        ...

    def control_listener(
        self, settings: DaemonSettings, operations: FleetOperations, bounds: ProcessBounds
    ) -> Listener:
        """Return the listener of control for servers and operators."""
        ...

    def server_calls(self) -> ServerCalls:
        """Return the client that grants and releases keys at servers."""
        ...
