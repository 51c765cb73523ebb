"""Acceptor of the coordinator lease."""

from __future__ import annotations

import math

from typing import TYPE_CHECKING

from medlarpass.ownership.ballot import ballot_key
from medlarpass.ownership.ballot import entry_of_proposer
from medlarpass.ownership.drift import grantor_term
from medlarpass.ownership.grant_store import GrantStore
from medlarpass.rpc import domain_pb2 as pb

if TYPE_CHECKING:
    from medlarpass.clock import Clock

MILLISECONDS_PER_SECOND = 1000


class LeaseAcceptor:
    """Diskless acceptor of a majority lease.

    Implements PaxosLease (Trencseni, Gazso, Reinhardt 2012) with two differences. While a lease
    is active, a prepare of another proposer is refused without a promise, so that it cannot stop
    the holder's renewals. An accept needs a promise of exactly its ballot, because an acceptor
    loses its promises of higher ballots when it restarts.

    :param clock: clock of this entry
    :param term: lease term in seconds
    :param name: proposer name of this entry; see :func:`proposer_name`
    """

    __slots__ = (
        "clock",
        "holder",
        "lease_expires_at",
        "name",
        "promised",
        "startup_wait_until",
        "store",
        "term",
    )

    def __init__(self, clock: Clock, term: float, name: str = "") -> None:
        self.clock = clock
        self.name = name
        self.term = term
        # A lease that was accepted before a restart may still be valid.
        self.startup_wait_until = clock.now() + grantor_term(term)
        self.promised = pb.Ballot()
        self.holder = ""
        self.lease_expires_at = 0.0
        self.store = GrantStore()

    @property
    def is_in_startup_wait(self) -> bool:
        """Whether the acceptor still waits for one term after its start before it takes part."""
        return self.clock.now() < self.startup_wait_until

    @property
    def has_active_lease(self) -> bool:
        """Whether an accepted lease has not expired yet."""
        return self.holder != "" and self.clock.now() < self.lease_expires_at

    def holder_entry(self) -> str:
        """Return the entry whose accepted lease is active, or an empty string."""
        return entry_of_proposer(self.holder) if self.has_active_lease else ""

    def prepare(self, request: pb.PrepareRequest) -> pb.PrepareResponse:
        """Promise to accept no lower ballot.

        :param request: ballot of a proposer
        """
        if self.is_in_startup_wait:
            return pb.PrepareResponse(promised=False)
        held_by_other = self.has_active_lease and request.ballot.entry != self.holder
        if held_by_other or ballot_key(request.ballot) < ballot_key(self.promised):
            return self._prepare_response(promised=False)
        self.promised = request.ballot
        return self._prepare_response(promised=True)

    def accept(self, request: pb.AcceptRequest) -> pb.AcceptResponse:
        """Accept a lease for its term from now on, or end it when its holder has resigned.

        :param request: promised ballot and term; a term of 0 ends the lease
        """
        if self.is_in_startup_wait or ballot_key(request.ballot) != ballot_key(self.promised):
            return pb.AcceptResponse(accepted=False, highest=self.promised)
        if request.term_ms == 0:
            self.lease_expires_at = self.clock.now()
            return pb.AcceptResponse(accepted=True, highest=self.promised)
        self.holder = request.ballot.entry
        expires_at = self.clock.now() + grantor_term(request.term_ms / MILLISECONDS_PER_SECOND)
        self.lease_expires_at = max(self.lease_expires_at, expires_at)
        reading = pb.ClockReading(entry=self.name, seconds=self.clock.now())
        return pb.AcceptResponse(accepted=True, highest=self.promised, reading=reading)

    def replicate_grants(self, request: pb.ReplicateGrantsRequest) -> pb.ReplicateGrantsResponse:
        """Store the coordinator's grants.

        Only a record of the promised ballot is stored: a later coordinator reads this acceptor's
        record when it prepares, and would miss a record that an earlier one stores after that.

        :param request: all grants of the domain
        """
        record = request.record
        if self.is_in_startup_wait or ballot_key(record.ballot) != ballot_key(self.promised):
            return pb.ReplicateGrantsResponse(stored=False, highest=self.promised)
        return pb.ReplicateGrantsResponse(stored=self.store.store(record), highest=self.promised)

    def _prepare_response(self, promised: bool) -> pb.PrepareResponse:
        response = pb.PrepareResponse(
            promised=promised, highest=self.promised, has_history=self.store.has_history
        )
        if self.has_active_lease:
            remaining = self.lease_expires_at - self.clock.now()
            response.holder = entry_of_proposer(self.holder)
            response.remaining_ms = math.ceil(remaining * MILLISECONDS_PER_SECOND)
        if promised and self.store.record is not None:
            response.grants.CopyFrom(self.store.record)
        return response
