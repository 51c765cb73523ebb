"""Proposer of the coordinator lease."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING
from typing import Protocol
from typing import TypeVar

from medlarpass.ownership.ballot import ballot_key
from medlarpass.ownership.ballot import entry_of_proposer
from medlarpass.ownership.ballot import proposer_name
from medlarpass.ownership.ballot import record_key
from medlarpass.ownership.drift import holder_term
from medlarpass.ownership.events import BALLOT_RAISED
from medlarpass.ownership.events import HISTORY_LOST
from medlarpass.ownership.events import LEASE_ACQUIRED
from medlarpass.ownership.events import LEASE_LOST
from medlarpass.rpc import domain_pb2 as pb

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Mapping

    from medlarpass.clock import Clock

MILLISECONDS_PER_SECOND = 1000
# The lease is renewed four times per term, so a response that takes longer than a fifth of the term
# comes too late to be useful.
CALL_TIMEOUT_RATIO = 0.2

Response = TypeVar("Response")


class AcceptorClient(Protocol):
    """Client of one entry's acceptor; a failed call raises ``OSError`` or ``TimeoutError``."""

    async def prepare(self, request: pb.PrepareRequest) -> pb.PrepareResponse:
        """Call ``Prepare``."""
        ...

    async def accept(self, request: pb.AcceptRequest) -> pb.AcceptResponse:
        """Call ``Accept``."""
        ...

    async def replicate_grants(
        self, request: pb.ReplicateGrantsRequest
    ) -> pb.ReplicateGrantsResponse:
        """Call ``ReplicateGrants``."""
        ...


class LeaseProposer:
    """Acquires and renews the coordinator lease, and stores grants with a majority.

    :meth:`acquire` and :meth:`renew` must not run concurrently.

    :param entry: name of this entry
    :param incarnation: Unix time of this entry's start in milliseconds. Ballots start from it, so
        that a restarted entry, which no longer knows its earlier ballots, uses higher ones.
    :param acceptors: clients of all acceptors of the domain by entry, this entry's own included
    :param clock: clock of this entry
    :param term: lease term in seconds
    """

    __slots__ = (
        "acceptors",
        "acquired_at",
        "adopted_record",
        "ballot",
        "clock",
        "clock_readings",
        "highest_number",
        "incarnation",
        "name",
        "needs_new_epochs",
        "reported_holder",
        "started_at",
        "term",
        "valid_until",
    )

    def __init__(
        self,
        entry: str,
        incarnation: int,
        acceptors: Mapping[str, AcceptorClient],
        clock: Clock,
        term: float,
    ) -> None:
        self.name = proposer_name(entry, incarnation)
        self.incarnation = incarnation
        self.acceptors = acceptors
        self.clock = clock
        self.term = term
        self.started_at = clock.now()
        self.highest_number = 0
        self.ballot = pb.Ballot()
        self.valid_until = 0.0
        self.acquired_at = 0.0
        self.adopted_record: pb.GrantRecord | None = None
        self.needs_new_epochs = False
        #: Last known clock reading of each acceptor in seconds, by its proposer name.
        self.clock_readings: dict[str, float] = {}
        self.reported_holder = ""

    @property
    def majority(self) -> int:
        """Number of acceptors that form a majority."""
        return len(self.acceptors) // 2 + 1

    def is_holder(self) -> bool:
        """Return whether this entry currently holds the lease, by its own clock."""
        return self.clock.now() < self.valid_until

    @property
    def holder(self) -> str:
        """The entry that holds the lease as far as this entry knows, or an empty string."""
        return entry_of_proposer(self.name) if self.is_holder() else self.reported_holder

    def clear_needs_new_epochs(self) -> None:
        """Record that control has given every shard of the domain a new epoch."""
        self.needs_new_epochs = False

    async def resign(self) -> None:
        """Give up the lease and notify the acceptors, so that a successor need not wait."""
        if not self.is_holder():
            return
        self.valid_until = 0.0
        request = pb.AcceptRequest(ballot=self.ballot, term_ms=0)
        await self._call_all(
            {name: acceptor.accept(request) for name, acceptor in self._acceptor_items()}
        )

    async def acquire(self) -> bool:
        """Try once to become the holder.

        :returns: whether this entry now holds the lease
        """
        if self.is_holder():
            return True
        ballot = self._next_ballot()
        responses = await self._call_all(
            {
                name: acceptor.prepare(pb.PrepareRequest(ballot=ballot))
                for name, acceptor in self._acceptor_items()
            }
        )
        self._record_refusals(responses)
        promises = {name: response for name, response in responses.items() if response.promised}
        if len(promises) < self.majority:
            return False
        sent_at = self.clock.now()
        if await self._count_accepts(ballot, promises) < self.majority:
            return False
        valid_until = sent_at + holder_term(self.term)
        if self.clock.now() >= valid_until:
            return False
        self.ballot = ballot
        self.valid_until = valid_until
        self.acquired_at = self.clock.now()
        self._adopt_record(promises)
        LEASE_ACQUIRED.log(ballot=ballot.number, needs_new_epochs=self.needs_new_epochs)
        return True

    async def renew(self) -> bool:
        """Extend the lease once.

        An expired lease is never extended: another entry may have been coordinator since, so this
        entry has to read the grants again with :meth:`acquire`.

        :returns: whether this entry still holds the lease
        """
        if not self.is_holder():
            return False
        sent_at = self.clock.now()
        request = pb.AcceptRequest(ballot=self.ballot, term_ms=self._term_ms())
        responses = await self._call_all(
            {name: acceptor.accept(request) for name, acceptor in self._acceptor_items()}
        )
        accepted = {name for name, response in responses.items() if response.accepted}
        self._record_readings(responses)
        without_promise = [
            name
            for name, response in responses.items()
            if not response.accepted and ballot_key(response.highest) < ballot_key(self.ballot)
        ]
        higher_numbers = [
            response.highest.number
            for response in responses.values()
            if ballot_key(response.highest) > ballot_key(self.ballot)
        ]
        if len(accepted) >= self.majority and self.is_holder():
            self.valid_until = max(self.valid_until, sent_at + holder_term(self.term))
        if not self.is_holder():
            LEASE_LOST.log(ballot=self.ballot.number)
            return False
        if higher_numbers:
            self.highest_number = max(self.highest_number, *higher_numbers)
            await self._raise_ballot()
        elif without_promise:
            await self._renew_promises(without_promise)
        return self.is_holder()

    async def replicate(self, record: pb.GrantRecord) -> bool:
        """Store a grant record with the acceptors.

        :param record: all grants of the domain, with the current ballot
        :returns: whether a majority stored it while this entry held the lease
        """
        if not self.is_holder():
            return False
        request = pb.ReplicateGrantsRequest(record=record)
        responses = await self._call_all(
            {name: acceptor.replicate_grants(request) for name, acceptor in self._acceptor_items()}
        )
        stored = sum(response.stored for response in responses.values())
        return stored >= self.majority and self.is_holder()

    def _acceptor_items(self) -> list[tuple[str, AcceptorClient]]:
        return list(self.acceptors.items())

    def _term_ms(self) -> int:
        return round(self.term * MILLISECONDS_PER_SECOND)

    def _next_ballot(self) -> pb.Ballot:
        elapsed = int((self.clock.now() - self.started_at) * MILLISECONDS_PER_SECOND)
        self.highest_number = max(self.highest_number + 1, self.incarnation + elapsed)
        return pb.Ballot(number=self.highest_number, entry=self.name)

    async def _call_all(self, calls: Mapping[str, Awaitable[Response]]) -> dict[str, Response]:
        # Waits for all responses up to the timeout, not only for a majority: otherwise a restarted
        # voter without history would often be counted instead of a slower one that has it.
        timeout = self.term * CALL_TIMEOUT_RATIO
        tasks = {name: asyncio.ensure_future(call) for name, call in calls.items()}
        try:
            await asyncio.wait(tasks.values(), timeout=timeout)
        finally:
            for task in tasks.values():
                task.cancel()
        responses: dict[str, Response] = {}
        for name, task in tasks.items():
            if not task.done() or task.cancelled():
                continue
            error = task.exception()
            if error is None:
                responses[name] = task.result()
            elif not isinstance(error, (OSError, TimeoutError)):
                raise error
        return responses

    def _record_refusals(self, responses: Mapping[str, pb.PrepareResponse]) -> None:
        self.reported_holder = ""
        for response in responses.values():
            self.highest_number = max(self.highest_number, response.highest.number)
            if response.holder:
                self.reported_holder = response.holder

    async def _count_accepts(self, ballot: pb.Ballot, names: Mapping[str, object]) -> int:
        request = pb.AcceptRequest(ballot=ballot, term_ms=self._term_ms())
        responses = await self._call_all(
            {name: self.acceptors[name].accept(request) for name in names}
        )
        self._record_readings(responses)
        return sum(response.accepted for response in responses.values())

    def _record_readings(self, responses: Mapping[str, pb.AcceptResponse]) -> None:
        for response in responses.values():
            if response.HasField("reading"):
                self.clock_readings[response.reading.entry] = response.reading.seconds

    def _adopt_record(self, promises: Mapping[str, pb.PrepareResponse]) -> None:
        records = [response.grants for response in promises.values() if response.has_history]
        self.needs_new_epochs = len(records) < self.majority
        if self.needs_new_epochs:
            # A record of a minority may be older than one that a restarted majority has lost.
            HISTORY_LOST.log(voters=len(promises), with_history=len(records))
            self.adopted_record = None
            return
        self.adopted_record = max(records, key=record_key)

    async def _renew_promises(self, names: list[str]) -> None:
        request = pb.PrepareRequest(ballot=self.ballot)
        await self._call_all({name: self.acceptors[name].prepare(request) for name in names})

    async def _raise_ballot(self) -> None:
        ballot = self._next_ballot()
        BALLOT_RAISED.log(ballot=ballot.number)
        request = pb.PrepareRequest(ballot=ballot)
        responses = await self._call_all(
            {name: acceptor.prepare(request) for name, acceptor in self._acceptor_items()}
        )
        promises = {name: response for name, response in responses.items() if response.promised}
        if len(promises) < self.majority or not self.is_holder():
            return
        sent_at = self.clock.now()
        if await self._count_accepts(ballot, promises) >= self.majority and self.is_holder():
            self.ballot = ballot
            self.valid_until = max(self.valid_until, sent_at + holder_term(self.term))
