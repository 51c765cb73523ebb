"""gRPC service that entries and other replicas call."""

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
    from medlarpass_daemon.control.delegator import Delegator
    from medlarpass_daemon.control.place_reports import PlaceReports
    from medlarpass_daemon.control.replica_log import ReplicaLog

#: Longest time a poll is held open, in seconds, whatever the caller asks for.
MAX_WAIT = 30.0


class ControlService(control_pb2_grpc.ControlServicer):
    """Serves commands, configurations and domain reports from the local replica.

    :param log: the replicated log
    :param delegator: decides which domain holds which shard
    :param places: reports of the entries
    """

    def __init__(self, log: ReplicaLog, delegator: Delegator, places: PlaceReports) -> None:
        self.log = log
        self.delegator = delegator
        self.places = places
        self.changed = asyncio.Event()
        log.state.observers.append(self._state_changed)

    async def Propose(
        self, request: control_pb2.ProposeRequest, context: Any
    ) -> control_pb2.ProposeResponse:
        """Append a command if this replica leads."""
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
        """Answer when there is a newer configuration or the wait is over."""
        self.places.note(request.place, request.domain, request.in_force_revision)
        wait = min(request.wait_ms / 1000, MAX_WAIT)
        await self._newer_than(request.known_revision, wait)
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
        """Describe this replica."""
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
            in_force=self.places.in_force(),
            domains=self.delegator.reports(),
        )

    async def ReadIndex(
        self, request: control_pb2.ReadIndexRequest, context: Any
    ) -> control_pb2.ReadIndexResponse:
        """Return an index that covers all commands accepted before the call."""
        try:
            index = await self.log.replica.read_index()
        except NotLeaderError:
            return control_pb2.ReadIndexResponse(confirmed=False)
        return control_pb2.ReadIndexResponse(confirmed=True, index=index)

    async def ChangeMembership(
        self, request: control_pb2.MembershipChange, context: Any
    ) -> control_pb2.MembershipResponse:
        """Add a learner, which is promoted once it has caught up, or remove a replica."""
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
            await replica.add_replica(_learner(request.add))
        elif request.HasField("replace"):
            await replica.replace_replica(request.replace.old, _learner(request.replace.new))
        else:
            await replica.remove_replica(request.remove)

    async def _newer_than(self, revision: int, wait: float) -> None:
        try:
            async with asyncio.timeout(wait):
                while self.log.state.tables.revision <= revision:
                    await self.changed.wait()
        except TimeoutError:
            return

    def _state_changed(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def _not_leader(self) -> control_pb2.NotLeader:
        return control_pb2.NotLeader(leader_address=self.log.leader_address())


def _member_status(member: Member) -> control_pb2.ReplicaStatus:
    return control_pb2.ReplicaStatus(
        replica=member.replica, address=member.address, domain=member.domain, voter=member.voter
    )


def _learner(status: control_pb2.ReplicaStatus) -> Member:
    return Member(status.replica, status.address, status.domain, voter=False)
