"""Acceptor of the coordinator lease."""

from __future__ import annotations

import math

from typing import TYPE_CHECKING

from medlarpass.ownership.ballot import ballot_key
from medlarpass.ownership.ballot import entry_of
from medlarpass.ownership.drift import granted_term
from medlarpass.ownership.grant_store import GrantStore
from medlarpass.rpc import domain_pb2 as pb

if TYPE_CHECKING:
    from medlarpass.clock import Clock

MILLISECONDS = 1000


class LeaseAcceptor:
    """Diskless acceptor of a majority lease.

    Source: PaxosLease (Trencseni, Gazso, Reinhardt 2012). It differs in two points. While a lease
    is honoured, a prepare of another proposer is refused without a promise, so that it cannot stop
    the holder's renewals. An accept needs a promise of exactly its ballot, because an acceptor that
    has restarted has forgotten which higher ballots it promised.

    :param clock: clock of this entry
    :param term: lease term in seconds
    :param name: name of this start of the entry; see :func:`proposer_name`
    """

    __slots__ = (
        "clock",
        "holder",
        "honoured_until",
        "name",
        "promised",
        "silent_until",
        "store",
        "term",
    )

    def __init__(self, clock: Clock, term: float, name: str = "") -> None:
        self.clock = clock
        self.name = name
        self.term = term
        # A lease that was accepted before a restart may still be valid.
        self.silent_until = clock.now() + granted_term(term)
        self.promised = pb.Ballot()
        self.holder = ""
        self.honoured_until = 0.0
        self.store = GrantStore()

    @property
    def is_silent(self) -> bool:
        """Whether the acceptor is still in its first term after the start."""
        return self.clock.now() < self.silent_until

    @property
    def honours_lease(self) -> bool:
        """Whether an accepted lease has not ended yet."""
        return self.holder != "" and self.clock.now() < self.honoured_until

    def holder_entry(self) -> str:
        """Return the entry whose lease this acceptor honours, or an empty string."""
        return entry_of(self.holder) if self.honours_lease else ""

    def prepare(self, request: pb.PrepareRequest) -> pb.PrepareResponse:
        """Promise to accept no lower ballot.

        :param request: ballot of a proposer
        """
        if self.is_silent:
            return pb.PrepareResponse(promised=False)
        foreign = self.honours_lease and request.ballot.entry != self.holder
        if foreign or ballot_key(request.ballot) < ballot_key(self.promised):
            return self._answer(promised=False)
        self.promised = request.ballot
        return self._answer(promised=True)

    def accept(self, request: pb.AcceptRequest) -> pb.AcceptResponse:
        """Honour a lease from now on for its term, or end it when its holder has resigned.

        :param request: promised ballot and term; a term of 0 ends the lease
        """
        if self.is_silent or ballot_key(request.ballot) != ballot_key(self.promised):
            return pb.AcceptResponse(accepted=False, highest=self.promised)
        if request.term_ms == 0:
            self.honoured_until = self.clock.now()
            return pb.AcceptResponse(accepted=True, highest=self.promised)
        self.holder = request.ballot.entry
        until = self.clock.now() + granted_term(request.term_ms / MILLISECONDS)
        self.honoured_until = max(self.honoured_until, until)
        reading = pb.ClockReading(entry=self.name, seconds=self.clock.now())
        return pb.AcceptResponse(accepted=True, highest=self.promised, reading=reading)

    def replicate_grants(self, request: pb.ReplicateGrantsRequest) -> pb.ReplicateGrantsResponse:
        """Store the coordinator's grants.

        Only the promised ballot may store: a later coordinator has read this acceptor's record when
        it prepared, and would not see what an earlier one stores after that.

        :param request: all grants of the domain
        """
        record = request.record
        if self.is_silent or ballot_key(record.ballot) != ballot_key(self.promised):
            return pb.ReplicateGrantsResponse(stored=False, highest=self.promised)
        return pb.ReplicateGrantsResponse(stored=self.store.store(record), highest=self.promised)

    def _answer(self, promised: bool) -> pb.PrepareResponse:
        response = pb.PrepareResponse(
            promised=promised, highest=self.promised, has_history=self.store.has_history
        )
        if self.honours_lease:
            remaining = self.honoured_until - self.clock.now()
            response.holder = entry_of(self.holder)
            response.remaining_ms = math.ceil(remaining * MILLISECONDS)
        if promised and self.store.record is not None:
            response.grants.CopyFrom(self.store.record)
        return response
