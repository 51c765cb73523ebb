"""gRPC service for entries and other replicas."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING
from typing import Any

from medlarpass import MedlarpassError
from medlarpass.replication import Member
from medlarpass.replication import NotLeaderError
from medlarpass.rpc import control_pb2
from medlarpass.rpc import control_pb2_grpc
from medlarpass_daemon.exceptions import ControlUnavailableError
from medlarpass_daemon.exceptions import UnknownResultError

if TYPE_CHECKING:
    from medlarpass_daemon.control.configuration_reports import ConfigurationReports
    from medlarpass_daemon.control.delegator import Delegator
    from medlarpass_daemon.control.replica_log import ReplicaLog

#: Maximum duration of a long poll, regardless of the requested wait.
MAX_WAIT_SECONDS = 30.0


class ControlService(control_pb2_grpc.ControlServicer):
    """Serves commands, configurations and domain reports from the local replica.

    :param log: the replicated log
    :param delegator: decides which domain holds which shard
    :param configuration_reports: reports of the entries
    """

    def __init__(
        self, log: ReplicaLog, delegator: Delegator, configuration_reports: ConfigurationReports
    ) -> None:
        self.log = log
        self.delegator = delegator
        self.configuration_reports = configuration_reports
        self.state_changed = asyncio.Event()
        log.state.observers.append(self._on_state_changed)

    async def Propose(
        self, request: control_pb2.ProposeRequest, context: Any
    ) -> control_pb2.ProposeResponse:
        """Append a command if this replica is the leader."""
        try:
            result = await self.log.propose(request.command)
        except ControlUnavailableError:
            return control_pb2.ProposeResponse(not_leader=self._not_leader())
        except UnknownResultError as error:
            return control_pb2.ProposeResponse(
                unknown=control_pb2.Failure(code=error.code, message=error.message)
            )
        return control_pb2.ProposeResponse(result=result)

    async def WatchConfiguration(
        self, request: control_pb2.WatchConfigurationRequest, context: Any
    ) -> control_pb2.WatchConfigurationResponse:
        """Respond once there is a newer configuration or the wait times out."""
        self.configuration_reports.record(request.place, request.domain, request.in_force_revision)
        wait = min(request.wait_ms / 1000, MAX_WAIT_SECONDS)
        await self._wait_for_newer_revision(request.known_revision, wait)
        tables = self.log.state.tables
        response = control_pb2.WatchConfigurationResponse(
            revision=tables.revision,
            control_addresses=[member.address for member in self.log.replica.membership.members],
        )
        if tables.revision > request.known_revision:
            response.configuration.CopyFrom(tables.configuration())
        return response

    async def ReportDomain(
        self, request: control_pb2.DomainReport, context: Any
    ) -> control_pb2.DomainReportResponse:
        """Renew the delegations of a domain."""
        response = await self.delegator.report(request)
        response.leader_address = self.log.leader_address()
        return response

    async def Status(
        self, request: control_pb2.StatusRequest, context: Any
    ) -> control_pb2.StatusResponse:
        """Return the status of this replica."""
        replica = self.log.replica
        return control_pb2.StatusResponse(
            replica=replica.identity,
            role="leader" if replica.is_leader else "follower",
            term=replica.term,
            commit_index=replica.commit_index,
            last_index=replica.last_index,
            leader=self.log.leader_address(),
            revision=self.log.state.tables.revision,
            members=[_member_status(member) for member in replica.membership.members],
            in_force=self.configuration_reports.in_force(),
            domains=self.delegator.reports(),
        )

    async def ReadIndex(
        self, request: control_pb2.ReadIndexRequest, context: Any
    ) -> control_pb2.ReadIndexResponse:
        """Return an index for a linearizable read, which covers all commands accepted before."""
        try:
            index = await self.log.replica.read_index()
        except NotLeaderError:
            return control_pb2.ReadIndexResponse(confirmed=False)
        return control_pb2.ReadIndexResponse(confirmed=True, index=index)

    async def ChangeMembership(
        self, request: control_pb2.MembershipChange, context: Any
    ) -> control_pb2.MembershipResponse:
        """Add, replace or remove a replica; an added one is a learner until it has caught up."""
        try:
            await self._change_membership(request)
        except NotLeaderError:
            return control_pb2.MembershipResponse(not_leader=self._not_leader())
        except MedlarpassError as error:
            return control_pb2.MembershipResponse(
                failure=control_pb2.Failure(code=error.code, message=error.message)
            )
        return control_pb2.MembershipResponse(done=True)

    async def _change_membership(self, request: control_pb2.MembershipChange) -> None:
        replica = self.log.replica
        if request.HasField("add"):
            await replica.add_replica(_to_learner(request.add))
        elif request.HasField("replace"):
            await replica.replace_replica(request.replace.old, _to_learner(request.replace.new))
        else:
            await replica.remove_replica(request.remove)

    async def _wait_for_newer_revision(self, revision: int, wait: float) -> None:
        try:
            async with asyncio.timeout(wait):
                while self.log.state.tables.revision <= revision:
                    await self.state_changed.wait()
        except TimeoutError:
            return

    def _on_state_changed(self) -> None:
        self.state_changed.set()
        self.state_changed = asyncio.Event()

    def _not_leader(self) -> control_pb2.NotLeader:
        return control_pb2.NotLeader(leader_address=self.log.leader_address())


def _member_status(member: Member) -> control_pb2.ReplicaStatus:
    return control_pb2.ReplicaStatus(
        replica=member.replica, address=member.address, domain=member.domain, voter=member.voter
    )


def _to_learner(status: control_pb2.ReplicaStatus) -> Member:
    return Member(status.replica, status.address, status.domain, voter=False)
