"""Access to the replicated log for the services of a control replica."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.replication import NotLeaderError
from medlarpass.replication import ProposalUnknownError
from medlarpass.rpc import control_pb2
from medlarpass_daemon.exceptions import ControlUnavailableError
from medlarpass_daemon.exceptions import UnknownResultError

if TYPE_CHECKING:
    from medlarpass.control import ControlState
    from medlarpass.replication import Replica
    from medlarpass_daemon.control.wall_clock import WallClock


class ReplicaLog:
    """Proposes commands with a timestamp to the local replica.

    :param replica: replica of this process
    :param state: state machine of the replica
    :param wall_clock: clock for the timestamps of commands
    """

    __slots__ = ("replica", "state", "wall_clock")

    def __init__(self, replica: Replica, state: ControlState, wall_clock: WallClock) -> None:
        self.replica = replica
        self.state = state
        self.wall_clock = wall_clock

    async def propose(self, command: control_pb2.Command) -> control_pb2.CommandResult:
        """Propose a command to the local replica.

        :raises ControlUnavailableError: this replica is not the leader
        :raises UnknownResultError: leadership was lost before the command was committed
        """
        command.time_ms = self.wall_clock.now_ms()
        try:
            result = await self.replica.propose(command.SerializeToString())
        except NotLeaderError as error:
            raise ControlUnavailableError(error.message) from error
        except ProposalUnknownError as error:
            raise UnknownResultError(error.message) from error
        return control_pb2.CommandResult.FromString(result)

    def leader_address(self) -> str:
        """Return the address of the leader, or an empty string if unknown."""
        leader = self.replica.leader
        return leader.address if leader else ""
