"""Owners of the keys in one failure domain, as an entry knows them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.base import Value
from medlarpass.ownership.ballot import ballot_key
from medlarpass.ownership.drift import holder_term
from medlarpass.ownership.exceptions import NoOwnerInDomainError
from medlarpass.ownership.exceptions import ViewStaleError
from medlarpass.ownership.fence import Fence
from medlarpass.ownership.shard import Assignment
from medlarpass.ownership.shard import shard_of
from medlarpass.rpc import control_pb2
from medlarpass.rpc import domain_pb2 as pb

if TYPE_CHECKING:
    from medlarpass.clock import Clock

MILLISECONDS_PER_SECOND = 1000


class Owner(Value):
    """Server that owns a key.

    :param assignment: shard or isolated key that the key belongs to
    :param server: identity of the owning server
    :param incarnation: incarnation of the owning server
    :param fence: fence to send with the request
    """

    __slots__ = ("assignment", "fence", "incarnation", "server")

    def __init__(self, assignment: Assignment, server: str, incarnation: int, fence: Fence) -> None:
        self.assignment = assignment
        self.server = server
        self.incarnation = incarnation
        self.fence = fence


class OwnershipView:
    """Grants of a domain, and the time until which each server's session is known to be valid.

    :param clock: clock of this entry
    """

    __slots__ = ("ballot", "clock", "last_sent_at", "owners", "sessions", "version")

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.ballot = pb.Ballot()
        self.version = 0
        self.last_sent_at = float("-inf")
        self.owners: dict[Assignment, Owner] = {}
        self.sessions: dict[tuple[str, int], float] = {}

    def apply(self, response: pb.WatchDomainResponse, sent_at: float) -> bool:
        """Apply a response of the coordinator.

        :param response: response to ``WatchDomain``
        :param sent_at: time before the request was sent, in seconds; session terms start here
        :returns: whether the response was applied; one that is older than the view is ignored
        """
        if not response.coordinator or sent_at <= self.last_sent_at:
            return False
        received = (ballot_key(response.ballot), response.version)
        known = (ballot_key(self.ballot), self.version)
        if received < known or (received != known and not response.grants_included):
            return False
        self.last_sent_at = sent_at
        self.ballot = response.ballot
        self.version = response.version
        if response.grants_included:
            self.owners = {
                owner.assignment: owner for owner in map(_owner_from_grant, response.grants)
            }
        self.sessions = {
            (server.identity, server.incarnation): sent_at
            + holder_term(server.session_remaining_ms / MILLISECONDS_PER_SECOND)
            for server in response.servers
            if server.holds_session
        }
        return True

    def owner_of(self, pool: str, key: str, shard_count: int) -> Owner:
        """Return the owner of a key.

        :param pool: name of the pool
        :param key: key of the request
        :param shard_count: number of shards of the pool
        :raises NoOwnerInDomainError: the key has no owner in this domain
        :raises ViewStaleError: the owner's session has ended as far as this entry knows
        """
        shard = shard_of(pool, key, shard_count)
        owner = self.owners.get(Assignment(pool, shard, key))
        if owner is None:
            owner = self.owners.get(Assignment(pool, shard))
        if owner is None:
            raise NoOwnerInDomainError(f"shard {shard} of pool {pool} has no owner in this domain")
        if not self._has_session(owner):
            raise ViewStaleError(f"the session of {owner.server} is not known to be valid")
        return owner

    def is_current(self, owner: Owner, key: str) -> bool:
        """Return whether an owner still owned the key when its response arrived.

        :param owner: result of :meth:`owner_of` before the request was sent
        :param key: key of the request; it may have been isolated in between
        """
        assignment = owner.assignment
        if assignment.key is None:
            key_owner = self.owners.get(Assignment(assignment.pool, assignment.shard, key))
            if key_owner is not None and key_owner.server != owner.server:
                return False
        return self.owners.get(assignment) == owner and self._has_session(owner)

    def _has_session(self, owner: Owner) -> bool:
        valid_until = self.sessions.get((owner.server, owner.incarnation), float("-inf"))
        return self.clock.now() < valid_until


def _owner_from_grant(grant: control_pb2.GrantStatus) -> Owner:
    return Owner(
        Assignment(grant.pool, grant.shard, grant.key),
        grant.server,
        grant.incarnation,
        Fence.from_int(grant.fence),
    )
