"""Embeds exclusive key ownership in a program, without the daemons.

Three acceptors elect a coordinator, the coordinator grants a shard to a server, and the server
checks each request against its grant. In a real program these three parts run in different
processes that communicate over a network.
"""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING

from medlarpass import BootClock
from medlarpass.ownership import Assignment
from medlarpass.ownership import Coordinator
from medlarpass.ownership import Fence
from medlarpass.ownership import GrantHolder
from medlarpass.ownership import LeaseAcceptor
from medlarpass.ownership import LeaseProposer
from medlarpass.ownership import shard_of
from medlarpass.rpc import control_pb2
from medlarpass.rpc import domain_pb2

if TYPE_CHECKING:
    from medlarpass import Clock

LEASE_TERM_SECONDS = 0.1
SESSION_TERM_SECONDS = 0.2
SHARD_COUNT = 8
POOL = "stock"
KEY = "roll-42"
#: Must exceed the granted lease term, during which an acceptor doesn't vote after its start.
ACCEPTOR_START_SECONDS = 0.15


class DirectClient:
    """Calls an acceptor in the same process.

    :param acceptor: acceptor to call
    """

    def __init__(self, acceptor: LeaseAcceptor) -> None:
        self.acceptor = acceptor

    async def prepare(self, request: domain_pb2.PrepareRequest) -> domain_pb2.PrepareResponse:
        """Call ``Prepare``."""
        return self.acceptor.prepare(request)

    async def accept(self, request: domain_pb2.AcceptRequest) -> domain_pb2.AcceptResponse:
        """Call ``Accept``."""
        return self.acceptor.accept(request)

    async def replicate_grants(
        self, request: domain_pb2.ReplicateGrantsRequest
    ) -> domain_pb2.ReplicateGrantsResponse:
        """Call ``ReplicateGrants``."""
        return self.acceptor.replicate_grants(request)


def delegate_all_shards(coordinator: Coordinator, clock: Clock) -> None:
    """Delegate all shards of the pool to this domain, in place of the control log."""
    response = control_pb2.DomainReportResponse(confirmed=True, new_epochs=True)
    response.terms.add(pool=POOL, term_ms=10_000)
    for shard in range(SHARD_COUNT):
        response.delegations.add(pool=POOL, shard=shard, epoch=1)
    coordinator.grants.apply_report(response, clock.now())


async def commit_grants(coordinator: Coordinator, proposer: LeaseProposer) -> None:
    """Store the grants on a majority of acceptors and make them visible."""
    record = coordinator.grants.record(proposer.ballot)
    if await proposer.replicate(record):
        coordinator.grants.commit(record.version)


async def main() -> None:
    """Elect a coordinator, grant a shard and check a request."""
    clock = BootClock()
    names = ("entry-1", "entry-2", "entry-3")
    acceptors = {name: DirectClient(LeaseAcceptor(clock, LEASE_TERM_SECONDS)) for name in names}
    proposer = LeaseProposer("entry-1", 1, acceptors, clock, LEASE_TERM_SECONDS)
    await asyncio.sleep(ACCEPTOR_START_SECONDS)
    print("coordinator lease:", await proposer.acquire())

    coordinator = Coordinator(clock, SESSION_TERM_SECONDS, proposer.is_holder)
    coordinator.on_elected(proposer.adopted_record, proposer.ballot, proposer.needs_new_epochs)
    delegate_all_shards(coordinator, clock)
    await commit_grants(coordinator, proposer)
    # After an election an unknown server may hold a shard until its session term has passed.
    for _ in range(5):
        await asyncio.sleep(SESSION_TERM_SECONDS / 4)
        await proposer.renew()

    holder = GrantHolder(clock)
    server = control_pb2.ServerStatus(identity="s1", incarnation=1, ip="127.0.0.1", port=9000)
    pending = holder.begin_heartbeat()
    announcement = coordinator.announce(server)
    assert announcement is not None
    holder.apply_announcement(pending, announcement[0].session_id, announcement[1])
    shard = shard_of(POOL, KEY, SHARD_COUNT)
    grant = coordinator.grants.grant(Assignment(POOL, shard), "s1", 1)
    await commit_grants(coordinator, proposer)

    pending = holder.begin_heartbeat()
    heartbeat = domain_pb2.HeartbeatRequest(
        identity="s1",
        incarnation=1,
        session=pending.session_id,
        seen=pending.known_version,
        server=server,
    )
    coordinator.confirm_releases(heartbeat)
    holder.apply(pending, coordinator.respond_to_heartbeat(heartbeat))
    print("request with the grant's fence:", holder.check(POOL, shard, KEY, grant.fence))
    print("request with an older fence:", holder.check(POOL, shard, KEY, Fence(0, 1)))
    await asyncio.sleep(SESSION_TERM_SECONDS)
    print("request after the session:", holder.check(POOL, shard, KEY, grant.fence))


if __name__ == "__main__":
    asyncio.run(main())
