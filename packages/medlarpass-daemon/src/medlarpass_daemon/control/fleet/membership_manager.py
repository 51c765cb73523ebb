"""Adds and removes control replicas without an operator."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING

import grpc

from medlarpass import MedlarpassError
from medlarpass.replication import Member
from medlarpass.rpc import fleet_pb2
from medlarpass.rpc import fleet_pb2_grpc
from medlarpass_daemon.control.fleet import events

if TYPE_CHECKING:
    from medlarpass import Clock
    from medlarpass.replication import Replica
    from medlarpass_daemon.rpc_channels import RpcChannels
    from medlarpass_daemon.seeds import Seeds
    from medlarpass_daemon.settings import ControlSettings

#: Interval at which the membership is checked.
CHECK_INTERVAL_SECONDS = 0.5
#: Timeout of a call to another replica.
CALL_TIMEOUT_SECONDS = 1.0
#: Time without a response after which a surplus voter is removed; a planned restart takes less.
DROP_AFTER_SECONDS = 6.0


class MembershipManager:
    """Makes this replica join, and removes surplus replicas while it leads.

    :param replica: replica of this process
    :param control: settings of the role; the minimum number of voters stays even if they are
        unreachable
    :param domain: failure domain of this process
    :param address: address at which other replicas reach this one
    :param seeds: addresses to contact first
    :param channels: gRPC channels
    :param clock: source of time
    """

    __slots__ = (
        "address",
        "channels",
        "clock",
        "control",
        "domain",
        "is_member",
        "replica",
        "seeds",
    )

    def __init__(
        self,
        replica: Replica,
        control: ControlSettings,
        domain: str,
        address: str,
        seeds: Seeds,
        channels: RpcChannels,
        clock: Clock,
    ) -> None:
        self.replica = replica
        self.control = control
        self.domain = domain
        self.address = address
        self.seeds = seeds
        self.channels = channels
        self.clock = clock
        self.is_member = True

    async def run(self) -> None:
        """Check the membership periodically until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            if self.replica.is_leader:
                await self._remove_surplus_voter()
            elif not self._is_active_member():
                await self._request_membership()

    async def join(self, request: fleet_pb2.JoinRequest) -> bool:
        """Make a replica a member if this one leads.

        A new identity at the address of a member means that the member has lost its disk; it is
        replaced.

        :returns: whether the replica is a member now
        """
        members = self.replica.membership.members
        if any(member.replica == request.replica for member in members):
            return True
        if not self.replica.is_leader:
            return False
        new = Member(request.replica, request.address, request.domain, voter=False)
        known = next((member for member in members if member.address == request.address), None)
        try:
            if known is None:
                await self.replica.add_replica(new)
            else:
                await self.replica.replace_replica(known.replica, new)
        except MedlarpassError as error:
            events.MEMBERSHIP_CHANGE_FAILED.log(replica=request.replica, code=error.code)
            return False
        events.REPLICA_ADDED.log(
            replica=request.replica,
            address=request.address,
            replaces=known.replica if known is not None else None,
        )
        return True

    def _is_active_member(self) -> bool:
        """Return whether a leader is known and this replica is in its membership."""
        if self.replica.leader is None:
            return False
        return self.replica.membership.find(self.replica.identity) is not None

    async def _request_membership(self) -> None:
        if self.is_member:
            self.is_member = False
            events.REPLICA_JOINING.log(replica=self.replica.identity, address=self.address)
        known = [member.address for member in self.replica.membership.members]
        for address in dict.fromkeys([*known, *self.seeds.addresses]):
            if address != self.address and await self._request_join(address):
                self.is_member = True
                events.REPLICA_JOINED.log(replica=self.replica.identity, through=address)
                return

    async def _request_join(self, address: str) -> bool:
        request = fleet_pb2.JoinRequest(
            replica=self.replica.identity, address=self.address, domain=self.domain
        )
        stub = fleet_pb2_grpc.FleetStub(self.channels.to(address))
        try:
            response: fleet_pb2.JoinResponse = await stub.Join(
                request, timeout=CALL_TIMEOUT_SECONDS
            )
        except grpc.aio.AioRpcError:
            # The next replica is tried, and all of them again after an interval.
            return False
        return response.is_member

    async def _remove_surplus_voter(self) -> None:
        leadership = self.replica.state.leadership
        voters = self.replica.membership.voters
        if leadership is None or len(voters) <= self.control.min_voters:
            return
        oldest = self.clock.now() - DROP_AFTER_SECONDS
        unreachable = [
            name
            for name, peer in leadership.peers.items()
            if name in voters and max(peer.acked_at, leadership.elected_at) < oldest
        ]
        if not unreachable:
            return
        try:
            await self.replica.remove_replica(unreachable[0])
        except MedlarpassError as error:
            events.MEMBERSHIP_CHANGE_FAILED.log(replica=unreachable[0], code=error.code)
            return
        events.REPLICA_DROPPED.log(replica=unreachable[0])
