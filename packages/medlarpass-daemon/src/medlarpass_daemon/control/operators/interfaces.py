"""What the operators' interface needs from the control replica."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

    from medlarpass.control import ControlState
    from medlarpass.rpc import control_pb2
    from medlarpass_daemon.control.operators.in_force import InForce
    from medlarpass_daemon.control.operators.replica_status import ReplicaStatus


class ControlBackend(Protocol):
    """Replicated log behind the operators' interface.

    Every call may raise a ``MedlarpassError``. Its ``outcome`` must be ``NOT_RUN`` only when the
    command can't take effect any more, and ``UNKNOWN`` otherwise. Every call ends within a bounded
    time, because a planned stop waits for the calls in flight.
    """

    async def propose(self, command: control_pb2.Command) -> control_pb2.CommandResult:
        """Append a command, on the leader, and return its result.

        The leader stamps ``time_ms``.

        :raises ControlUnavailableError: when there is no leader or majority; not run
        :raises UnknownResultError: when the command may or may not take effect
        """
        ...

    async def read_state(self, stale: bool = False) -> ControlState:
        """Return the state for reading only.

        :param stale: allow the local state instead of a linearizable read
        :raises ControlUnavailableError: when a linearizable read has no majority
        """
        ...

    def in_force(self) -> Sequence[InForce]:
        """Return the revisions in force as last reported."""
        ...

    async def domain_reports(self) -> Sequence[control_pb2.DomainReport]:
        """Return the last report of each failure domain to the leader."""
        ...

    def replicas(self) -> Sequence[ReplicaStatus]:
        """Return the members of the control log."""
        ...

    async def add_replica(self, name: str, domain: str, address: str) -> None:
        """Add a learner that is promoted once it has caught up.

        A repeat with the same arguments has no further effect, because operators resend it.
        """
        ...

    async def remove_replica(self, identity: str) -> None:
        """Remove a replica; without effect when it is no member."""
        ...

    async def replace_replica(self, identity: str, name: str, domain: str, address: str) -> None:
        """Add a replica and remove another one once the new one votes.

        A repeat with the same arguments has no further effect.
        """
        ...
