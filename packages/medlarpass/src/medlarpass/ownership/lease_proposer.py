"""Proposer of the coordinator lease."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING
from typing import Protocol
from typing import TypeVar

from medlarpass.ownership.ballot import ballot_key
from medlarpass.ownership.ballot import entry_of
from medlarpass.ownership.ballot import proposer_name
from medlarpass.ownership.ballot import record_key
from medlarpass.ownership.drift import held_term
from medlarpass.ownership.events import BALLOT_RAISED
from medlarpass.ownership.events import HISTORY_LOST
from medlarpass.ownership.events import LEASE_ACQUIRED
from medlarpass.ownership.events import LEASE_LOST
from medlarpass.rpc import domain_pb2 as pb

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Mapping

    from medlarpass.clock import Clock

MILLISECONDS = 1000
# An answer that takes longer than a fifth of the term is of no use to a lease that is renewed four
# times a term.
CALL_TIMEOUT_SHARE = 0.2

Response = TypeVar("Response")


class AcceptorClient(Protocol):
    """Calls to the acceptor of one entry; a call that fails raises ``OSError`` or
    ``TimeoutError``."""

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

    The caller runs one call at a time of :meth:`acquire` and :meth:`renew`.

    :param entry: name of this entry
    :param incarnation: Unix time of this entry's start in milliseconds. Ballots start from it, so
        that a restarted entry, which has forgotten its ballots, uses higher ones.
    :param acceptors: clients of all acceptors of the domain by entry, this entry's own included
    :param clock: clock of this entry
    :param term: lease term in seconds
    """

    __slots__ = (
        "acceptors",
        "acquired_at",
        "adopted",
        "ballot",
        "clock",
        "highest_number",
        "incarnation",
        "name",
        "needs_new_epochs",
        "readings",
        "seen_holder",
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
        self.adopted: pb.GrantRecord | None = None
        self.needs_new_epochs = False
        #: Last known clock reading of each acceptor, in seconds, by its start.
        self.readings: dict[str, float] = {}
        self.seen_holder = ""

    @property
    def majority(self) -> int:
        """Number of acceptors that form a majority."""
        return len(self.acceptors) // 2 + 1

    def is_holder(self) -> bool:
        """Tell whether this entry holds the lease at this moment, by its own clock."""
        return self.clock.now() < self.valid_until

    @property
    def holder(self) -> str:
        """The entry that holds the lease as far as this entry knows, or an empty string."""
        return entry_of(self.name) if self.is_holder() else self.seen_holder

    def epochs_renewed(self) -> None:
        """Note that control has given every shard of the domain a new epoch."""
        self.needs_new_epochs = False

    async def resign(self) -> None:
        """Stop being the holder and tell the acceptors, so that a successor need not wait."""
        if not self.is_holder():
            return
        self.valid_until = 0.0
        request = pb.AcceptRequest(ballot=self.ballot, term_ms=0)
        await self._ask_all({name: each.accept(request) for name, each in self._items()})

    async def acquire(self) -> bool:
        """Try once to become the holder.

        :returns: whether this entry now holds the lease
        """
        if self.is_holder():
            return True
        ballot = self._next_ballot()
        answers = await self._ask_all(
            {name: each.prepare(pb.PrepareRequest(ballot=ballot)) for name, each in self._items()}
        )
        self._note_refusals(answers)
        promises = {name: each for name, each in answers.items() if each.promised}
        if len(promises) < self.majority:
            return False
        asked_at = self.clock.now()
        if await self._accepted(ballot, promises) < self.majority:
            return False
        valid_until = asked_at + held_term(self.term)
        if self.clock.now() >= valid_until:
            return False
        self.ballot = ballot
        self.valid_until = valid_until
        self.acquired_at = self.clock.now()
        self._adopt(promises)
        LEASE_ACQUIRED.log(ballot=ballot.number, needs_new_epochs=self.needs_new_epochs)
        return True

    async def renew(self) -> bool:
        """Extend the lease once.

        A lease that lapsed is never extended: another entry may have been coordinator since, so
        this entry has to read the grants again with :meth:`acquire`.

        :returns: whether this entry still holds the lease
        """
        if not self.is_holder():
            return False
        asked_at = self.clock.now()
        request = pb.AcceptRequest(ballot=self.ballot, term_ms=self._term_ms())
        answers = await self._ask_all({name: each.accept(request) for name, each in self._items()})
        accepted = {name for name, each in answers.items() if each.accepted}
        self._note_readings(answers)
        forgetful = [
            name
            for name, each in answers.items()
            if not each.accepted and ballot_key(each.highest) < ballot_key(self.ballot)
        ]
        overtaken = [
            each.highest.number
            for each in answers.values()
            if ballot_key(each.highest) > ballot_key(self.ballot)
        ]
        if len(accepted) >= self.majority and self.is_holder():
            self.valid_until = max(self.valid_until, asked_at + held_term(self.term))
        if not self.is_holder():
            LEASE_LOST.log(ballot=self.ballot.number)
            return False
        if overtaken:
            self.highest_number = max(self.highest_number, *overtaken)
            await self._raise_ballot()
        elif forgetful:
            await self._rejoin(forgetful)
        return self.is_holder()

    async def replicate(self, record: pb.GrantRecord) -> bool:
        """Store a grant record with the acceptors.

        :param record: all grants of the domain, under the present ballot
        :returns: whether a majority stored it while this entry held the lease
        """
        if not self.is_holder():
            return False
        request = pb.ReplicateGrantsRequest(record=record)
        answers = await self._ask_all(
            {name: each.replicate_grants(request) for name, each in self._items()}
        )
        stored = sum(each.stored for each in answers.values())
        return stored >= self.majority and self.is_holder()

    def _items(self) -> list[tuple[str, AcceptorClient]]:
        return list(self.acceptors.items())

    def _term_ms(self) -> int:
        return round(self.term * MILLISECONDS)

    def _next_ballot(self) -> pb.Ballot:
        elapsed = int((self.clock.now() - self.started_at) * MILLISECONDS)
        self.highest_number = max(self.highest_number + 1, self.incarnation + elapsed)
        return pb.Ballot(number=self.highest_number, entry=self.name)

    async def _ask_all(self, calls: Mapping[str, Awaitable[Response]]) -> dict[str, Response]:
        # All answers are awaited up to the timeout, not only a majority: a restarted voter without
        # history would otherwise often hide a slower one that has it.
        timeout = self.term * CALL_TIMEOUT_SHARE
        tasks = {name: asyncio.ensure_future(call) for name, call in calls.items()}
        try:
            await asyncio.wait(tasks.values(), timeout=timeout)
        finally:
            for task in tasks.values():
                task.cancel()
        answers: dict[str, Response] = {}
        for name, task in tasks.items():
            if not task.done() or task.cancelled():
                continue
            error = task.exception()
            if error is None:
                answers[name] = task.result()
            elif not isinstance(error, (OSError, TimeoutError)):
                raise error
        return answers

    def _note_refusals(self, answers: Mapping[str, pb.PrepareResponse]) -> None:
        self.seen_holder = ""
        for each in answers.values():
            self.highest_number = max(self.highest_number, each.highest.number)
            if each.holder:
                self.seen_holder = each.holder

    async def _accepted(self, ballot: pb.Ballot, names: Mapping[str, object]) -> int:
        request = pb.AcceptRequest(ballot=ballot, term_ms=self._term_ms())
        answers = await self._ask_all(
            {name: self.acceptors[name].accept(request) for name in names}
        )
        self._note_readings(answers)
        return sum(each.accepted for each in answers.values())

    def _note_readings(self, answers: Mapping[str, pb.AcceptResponse]) -> None:
        for each in answers.values():
            if each.HasField("reading"):
                self.readings[each.reading.entry] = each.reading.seconds

    def _adopt(self, promises: Mapping[str, pb.PrepareResponse]) -> None:
        records = [each.grants for each in promises.values() if each.has_history]
        self.needs_new_epochs = len(records) < self.majority
        if self.needs_new_epochs:
            # A record of a minority may be older than one that a restarted majority has forgotten.
            HISTORY_LOST.log(voters=len(promises), with_history=len(records))
            self.adopted = None
            return
        self.adopted = max(records, key=record_key)

    async def _rejoin(self, names: list[str]) -> None:
        request = pb.PrepareRequest(ballot=self.ballot)
        await self._ask_all({name: self.acceptors[name].prepare(request) for name in names})

    async def _raise_ballot(self) -> None:
        ballot = self._next_ballot()
        BALLOT_RAISED.log(ballot=ballot.number)
        request = pb.PrepareRequest(ballot=ballot)
        answers = await self._ask_all({name: each.prepare(request) for name, each in self._items()})
        promises = {name: each for name, each in answers.items() if each.promised}
        if len(promises) < self.majority or not self.is_holder():
            return
        asked_at = self.clock.now()
        if await self._accepted(ballot, promises) >= self.majority and self.is_holder():
            self.ballot = ballot
            self.valid_until = max(self.valid_until, asked_at + held_term(self.term))
