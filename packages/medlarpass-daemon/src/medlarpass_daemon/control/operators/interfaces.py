"""Interface between the operators' API and the control replica."""

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
    """Access to the replicated log for the operators' API.

    Every method may raise a ``MedlarpassError``. Its ``outcome`` must be ``NOT_RUN`` only when the
    command can no longer take effect, and ``UNKNOWN`` otherwise. Every method returns within a
    bounded time, because a graceful shutdown waits for the requests in flight.
    """

    async def propose(self, command: control_pb2.Command) -> control_pb2.CommandResult:
        """Append a command to the log of the leader and return its result.

        The leader sets ``time_ms``.

        :raises ControlUnavailableError: when there is no leader or majority; the command is not run
        :raises UnknownResultError: when the command may or may not take effect
        """
        ...

    async def read_state(self, stale: bool = False) -> ControlState:
        """Return the state, which must not be modified.

        :param stale: read the local state instead of a linearizable one
        :raises ControlUnavailableError: when there is no majority for a linearizable read
        """
        ...

    def in_force(self) -> Sequence[InForce]:
        """Return the last reported configuration revision of each process."""
        ...

    async def domain_reports(self) -> Sequence[control_pb2.DomainReport]:
        """Return the last report that the leader received from each failure domain."""
        ...

    def replicas(self) -> Sequence[ReplicaStatus]:
        """Return the members of the replication group."""
        ...

    async def add_replica(self, name: str, domain: str, address: str) -> None:
        """Add a learner, which becomes a voter once it has caught up.

        Idempotent for equal arguments, because operators retry it.
        """
        ...

    async def remove_replica(self, identity: str) -> None:
        """Remove a replica; no effect when it is not a member."""
        ...

    async def replace_replica(self, identity: str, name: str, domain: str, address: str) -> None:
        """Add a replica and remove another one once the new one is a voter.

        Idempotent for equal arguments.
        """
        ...
