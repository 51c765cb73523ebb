"""Implementation of operators' calls on a control replica."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING

import grpc

from medlarpass.replication import NotLeaderError
from medlarpass.rpc import control_pb2
from medlarpass.rpc import control_pb2_grpc
from medlarpass_daemon.control.exceptions import MembershipRefusedError
from medlarpass_daemon.control.exceptions import ReplicaNotReachedError
from medlarpass_daemon.control.operators import InForce
from medlarpass_daemon.control.operators import ReplicaStatus
from medlarpass_daemon.exceptions import ControlUnavailableError
from medlarpass_daemon.exceptions import UnknownResultError

if TYPE_CHECKING:
    from collections.abc import Sequence

    from medlarpass import Clock
    from medlarpass.control import ControlState
    from medlarpass_daemon.control.replica_log import ReplicaLog
    from medlarpass_daemon.control.status_poller import StatusPoller
    from medlarpass_daemon.rpc_channels import RpcChannels

CALL_TIMEOUT_SECONDS = 5.0
#: Time for which an operator's call waits for the election of a leader.
LEADER_TIMEOUT_SECONDS = 3.0
RETRY_INTERVAL_SECONDS = 0.05
#: Time for which a new replica may take to catch up and become a voter.
PROMOTION_TIMEOUT_SECONDS = 120.0
PROMOTION_POLL_INTERVAL_SECONDS = 0.2


class OperatorsBackend:
    """Forwards operators' calls to the leader.

    :param log: the replicated log
    :param poller: last status of each replica
    :param channels: gRPC channels
    :param clock: clock of this process
    """

    __slots__ = ("channels", "clock", "log", "poller")

    def __init__(
        self, log: ReplicaLog, poller: StatusPoller, channels: RpcChannels, clock: Clock
    ) -> None:
        self.clock = clock
        self.log = log
        self.poller = poller
        self.channels = channels

    async def propose(self, command: control_pb2.Command) -> control_pb2.CommandResult:
        """Append a command on the leader.

        :raises ControlUnavailableError: the command was not appended
        :raises UnknownResultError: the command may take effect later
        """
        deadline = self.clock.now() + LEADER_TIMEOUT_SECONDS
        while self.clock.now() < deadline:
            result = await self._try_propose(command)
            if result is not None:
                return result
            await asyncio.sleep(RETRY_INTERVAL_SECONDS)
        raise ControlUnavailableError("no control leader accepted the command in time")

    async def read_state(self, stale: bool = False) -> ControlState:
        """Return the state for a read.

        :param stale: return the local state without a linearizable read
        :raises ControlUnavailableError: no majority confirmed a linearizable read
        """
        if stale:
            return self.log.state
        deadline = self.clock.now() + LEADER_TIMEOUT_SECONDS
        while self.clock.now() < deadline:
            index = await self._try_read_index()
            if index is not None:
                await self.log.replica.wait_applied(index)
                return self.log.state
            await asyncio.sleep(RETRY_INTERVAL_SECONDS)
        raise ControlUnavailableError("no majority confirmed the read in time")

    def in_force(self) -> Sequence[InForce]:
        """Return the revisions in force, each as last reported to any of the replicas."""
        newest: dict[str, control_pb2.InForce] = {}
        for status in self.poller.statuses.values():
            for report in status.in_force:
                known = newest.get(report.place)
                if known is None or report.age_ms < known.age_ms:
                    newest[report.place] = report
        return [
            InForce(report.place, report.domain, report.revision, report.age_ms)
            for _, report in sorted(newest.items())
        ]

    async def domain_reports(self) -> Sequence[control_pb2.DomainReport]:
        """Return the last report that each failure domain sent to the leader."""
        for status in self.poller.statuses.values():
            if status.role == "leader":
                return list(status.domains)
        return []

    def replicas(self) -> Sequence[ReplicaStatus]:
        """Return the members of the control log."""
        return [
            ReplicaStatus(
                identity=member.replica,
                name=member.replica,
                domain=member.domain,
                address=member.address,
                voter=member.voter,
                status=self.poller.statuses.get(member.address),
            )
            for member in self.log.replica.membership.members
        ]

    async def add_replica(self, name: str, domain: str, address: str) -> None:
        """Add a learner, which becomes a voter once it has caught up.

        :raises ReplicaNotReachedError: no replica responds at the address
        :raises MembershipRefusedError: the change is invalid or another one is in progress
        """
        identity = await self._fetch_identity(address)
        if self.log.replica.membership.find(identity) is not None:
            return
        member = control_pb2.ReplicaStatus(replica=identity, domain=domain, address=address)
        await self._change_membership(control_pb2.MembershipChange(add=member))

    async def remove_replica(self, identity: str) -> None:
        """Remove a replica; has no effect if it is not a member.

        :raises MembershipRefusedError: the change is invalid or another one is in progress
        """
        if self.log.replica.membership.find(identity) is None:
            return
        await self._change_membership(control_pb2.MembershipChange(remove=identity))

    async def replace_replica(self, identity: str, name: str, domain: str, address: str) -> None:
        """Replace a lost replica by a new one.

        A replica that lost its disk keeps its address. Two members cannot have the same address,
        so the old identity is removed in the change that adds the new one. With another address,
        the new replica becomes a voter before the old one is removed, so that the number of
        voters never decreases.

        :raises ReplicaNotReachedError: no replica responds at the address
        :raises MembershipRefusedError: the change is invalid or another one is in progress
        """
        new = await self._fetch_identity(address)
        old = self.log.replica.membership.find(identity)
        if old is not None and old.address == address:
            member = control_pb2.ReplicaStatus(replica=new, domain=domain, address=address)
            replacement = control_pb2.ReplicaReplacement(old=identity, new=member)
            await self._change_membership(control_pb2.MembershipChange(replace=replacement))
            return
        await self.add_replica(name, domain, address)
        await self._wait_for_voter(new)
        await self.remove_replica(identity)

    async def _try_propose(self, command: control_pb2.Command) -> control_pb2.CommandResult | None:
        if self.log.replica.is_leader:
            return await self.log.propose(command)
        address = self.log.leader_address()
        if not address:
            return None
        stub = control_pb2_grpc.ControlStub(self.channels.to(address))
        try:
            response: control_pb2.ProposeResponse = await stub.Propose(
                control_pb2.ProposeRequest(command=command), timeout=CALL_TIMEOUT_SECONDS
            )
        except grpc.aio.AioRpcError as error:
            raise UnknownResultError(
                f"no response from the control leader: {error.code().name}"
            ) from error
        if response.HasField("unknown"):
            raise UnknownResultError(response.unknown.message)
        return response.result if response.HasField("result") else None

    async def _try_read_index(self) -> int | None:
        if self.log.replica.is_leader:
            try:
                return await self.log.replica.read_index()
            except NotLeaderError:
                return None
        address = self.log.leader_address()
        if not address:
            return None
        stub = control_pb2_grpc.ControlStub(self.channels.to(address))
        try:
            response: control_pb2.ReadIndexResponse = await stub.ReadIndex(
                control_pb2.ReadIndexRequest(), timeout=CALL_TIMEOUT_SECONDS
            )
        except grpc.aio.AioRpcError:
            return None
        return response.index if response.confirmed else None

    async def _fetch_identity(self, address: str) -> str:
        status = await self.poller.request_status(address)
        if status is None:
            raise ReplicaNotReachedError(f"no control replica responds at {address}")
        return status.replica

    async def _change_membership(self, change: control_pb2.MembershipChange) -> None:
        address = self.log.leader_address()
        if not address:
            raise ControlUnavailableError("there is currently no control leader")
        stub = control_pb2_grpc.ControlStub(self.channels.to(address))
        try:
            response: control_pb2.MembershipResponse = await stub.ChangeMembership(
                change, timeout=CALL_TIMEOUT_SECONDS
            )
        except grpc.aio.AioRpcError as error:
            raise UnknownResultError(
                f"no response from the control leader: {error.code().name}"
            ) from error
        if response.HasField("failure"):
            raise MembershipRefusedError(response.failure.message)
        if response.HasField("not_leader"):
            raise ControlUnavailableError(
                "the replica that was called is no longer the control leader"
            )

    async def _wait_for_voter(self, identity: str) -> None:
        deadline = self.clock.now() + PROMOTION_TIMEOUT_SECONDS
        while self.clock.now() < deadline:
            if identity in self.log.replica.membership.voters:
                return
            await asyncio.sleep(PROMOTION_POLL_INTERVAL_SECONDS)
        raise MembershipRefusedError(f"replica {identity} did not catch up in time")
