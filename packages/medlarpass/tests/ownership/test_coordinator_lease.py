"""Guards against two coordinators of one domain, and against grants that an election loses."""

from __future__ import annotations

import asyncio

import pytest

from medlarpass import ManualClock
from medlarpass.ownership import GrantStore
from medlarpass.ownership import LeaseAcceptor
from medlarpass.ownership import LeaseProposer
from medlarpass.rpc import domain_pb2 as pb

TERM = 0.4
NAMES = ("e0", "e1", "e2")


class AcceptorLink:
    """Calls an acceptor unless it is disconnected; an accept takes ``SimulatedDomain.delay``."""

    def __init__(self, domain: SimulatedDomain, name: str) -> None:
        self.domain, self.name = domain, name

    def _acceptor(self) -> LeaseAcceptor:
        if self.name in self.domain.disconnected:
            raise ConnectionError("acceptor is disconnected")
        return self.domain.acceptors[self.name]

    async def prepare(self, request: pb.PrepareRequest) -> pb.PrepareResponse:
        return self._acceptor().prepare(request)

    async def accept(self, request: pb.AcceptRequest) -> pb.AcceptResponse:
        response = self._acceptor().accept(request)
        self.domain.clock.advance(self.domain.delay)
        return response

    async def replicate_grants(
        self, request: pb.ReplicateGrantsRequest
    ) -> pb.ReplicateGrantsResponse:
        return self._acceptor().replicate_grants(request)


class SimulatedDomain:
    def __init__(self) -> None:
        self.clock = ManualClock(100.0)
        self.disconnected: set[str] = set()
        self.delay = 0.0
        self.acceptors = {name: LeaseAcceptor(self.clock, TERM) for name in NAMES}
        self.last_incarnation = 0

    def proposer(self, name: str) -> LeaseProposer:
        self.last_incarnation += 1000
        links = {acceptor: AcceptorLink(self, acceptor) for acceptor in NAMES}
        return LeaseProposer(name, self.last_incarnation, links, self.clock, TERM)

    def restart(self, *names: str) -> None:
        for name in names:
            self.acceptors[name] = LeaseAcceptor(self.clock, TERM)


@pytest.fixture
def domain() -> SimulatedDomain:
    result = SimulatedDomain()
    result.clock.advance(0.41)
    return result


def grant_record(proposer: LeaseProposer, version: int) -> pb.GrantRecord:
    return pb.GrantRecord(ballot=proposer.ballot, version=version)


async def renew_for(domain: SimulatedDomain, proposer: LeaseProposer, seconds: float) -> None:
    for _ in range(round(seconds / 0.1)):
        domain.clock.advance(0.1)
        assert await proposer.renew()


async def test_nobody_is_elected_while_acceptors_wait_after_their_start() -> None:
    domain = SimulatedDomain()
    domain.clock.advance(0.40)
    assert not await domain.proposer("e0").acquire()
    domain.clock.advance(0.01)
    assert await domain.proposer("e0").acquire()


async def test_a_second_proposer_waits_for_the_whole_term(domain: SimulatedDomain) -> None:
    first, second = domain.proposer("e0"), domain.proposer("e1")
    assert await first.acquire()
    assert not await second.acquire()
    assert second.holder == "e0"
    domain.clock.advance(0.397)
    assert not first.is_holder()
    assert not await second.acquire()
    domain.clock.advance(0.008)
    assert await second.acquire()
    assert (second.holder, second.acquired_at) == ("e1", domain.clock.now())


async def test_the_lease_term_starts_before_the_request(domain: SimulatedDomain) -> None:
    proposer = domain.proposer("e0")
    domain.delay = 0.1
    assert await proposer.acquire()
    domain.clock.advance(0.097)
    assert not proposer.is_holder()


async def test_responses_later_than_the_term_give_no_lease(domain: SimulatedDomain) -> None:
    proposer = domain.proposer("e0")
    domain.delay = 0.2
    assert not await proposer.acquire()


async def test_another_proposer_cannot_stop_renewals(domain: SimulatedDomain) -> None:
    first, second = domain.proposer("e0"), domain.proposer("e1")
    assert await first.acquire()
    for _ in range(10):
        domain.clock.advance(0.1)
        assert not await second.acquire()
        assert await first.renew()


async def test_an_expired_lease_is_not_renewed(domain: SimulatedDomain) -> None:
    """Another entry may have been coordinator in between, so the grants must be read again."""
    proposer = domain.proposer("e0")
    assert await proposer.acquire()
    domain.clock.advance(0.5)
    assert not await proposer.renew()
    assert not proposer.is_holder()


async def test_one_acceptor_of_three_may_be_lost(domain: SimulatedDomain) -> None:
    proposer = domain.proposer("e0")
    domain.disconnected = {"e2"}
    assert await proposer.acquire()
    await renew_for(domain, proposer, 1.0)
    domain.disconnected = {"e1", "e2"}
    domain.clock.advance(0.1)
    await proposer.renew()
    domain.clock.advance(0.3)
    assert not proposer.is_holder()


async def test_a_restarted_acceptor_joins_the_current_ballot(domain: SimulatedDomain) -> None:
    """Otherwise the holder would depend on the two others until the next election."""
    proposer = domain.proposer("e0")
    assert await proposer.acquire()
    domain.restart("e2")
    await renew_for(domain, proposer, 0.7)
    domain.disconnected = {"e1"}
    await renew_for(domain, proposer, 0.7)


async def test_a_restart_of_a_majority_does_not_elect_a_second_holder(
    domain: SimulatedDomain,
) -> None:
    first, second = domain.proposer("e0"), domain.proposer("e1")
    assert await first.acquire()
    domain.restart("e1", "e2")
    assert not await second.acquire()
    domain.clock.advance(0.397)
    assert not first.is_holder()


async def test_a_promise_of_a_higher_ballot_makes_the_holder_raise_its_own(
    domain: SimulatedDomain,
) -> None:
    proposer = domain.proposer("e0")
    assert await proposer.acquire()
    domain.restart("e2")
    await renew_for(domain, proposer, 0.3)
    domain.clock.advance(0.105)
    domain.acceptors["e2"].prepare(pb.PrepareRequest(ballot=pb.Ballot(number=10**9, entry="e1#1")))
    before = proposer.ballot.number
    assert await proposer.renew()
    assert proposer.ballot.number > max(before, 10**9)
    domain.disconnected = {"e1"}
    await renew_for(domain, proposer, 0.5)


async def test_a_new_coordinator_adopts_the_newest_stored_grants(domain: SimulatedDomain) -> None:
    first, second = domain.proposer("e0"), domain.proposer("e1")
    assert await first.acquire()
    assert first.needs_new_epochs
    assert await first.replicate(grant_record(first, 1))
    # The first voter does not store the second record.
    domain.disconnected = {"e0"}
    assert await first.replicate(grant_record(first, 2))
    domain.disconnected = set()
    domain.clock.advance(0.41)
    assert await second.acquire()
    assert second.adopted_record is not None
    assert second.adopted_record.version == 2
    assert not second.needs_new_epochs


async def test_grants_stored_by_a_minority_do_not_count_as_stored(domain: SimulatedDomain) -> None:
    proposer = domain.proposer("e0")
    assert await proposer.acquire()
    domain.disconnected = {"e1", "e2"}
    assert not await proposer.replicate(grant_record(proposer, 1))


async def test_two_restarted_acceptors_of_three_lose_the_history(domain: SimulatedDomain) -> None:
    """The third may lack grants that only the other two had stored."""
    first, second = domain.proposer("e0"), domain.proposer("e1")
    assert await first.acquire()
    assert await first.replicate(grant_record(first, 1))
    domain.disconnected = {"e0"}
    assert await first.replicate(grant_record(first, 2))
    domain.disconnected = set()
    domain.restart("e1", "e2")
    domain.clock.advance(0.41)
    assert await second.acquire()
    assert second.needs_new_epochs
    assert second.adopted_record is None
    second.clear_needs_new_epochs()
    assert not second.needs_new_epochs


async def test_one_restarted_acceptor_of_three_loses_nothing(domain: SimulatedDomain) -> None:
    first, second = domain.proposer("e0"), domain.proposer("e1")
    assert await first.acquire()
    assert await first.replicate(grant_record(first, 7))
    domain.restart("e0")
    domain.clock.advance(0.41)
    assert await second.acquire()
    assert second.adopted_record is not None
    assert second.adopted_record.version == 7


async def test_an_old_coordinator_cannot_store_grants(domain: SimulatedDomain) -> None:
    first, second = domain.proposer("e0"), domain.proposer("e1")
    assert await first.acquire()
    late = pb.ReplicateGrantsRequest(record=grant_record(first, 9))
    domain.clock.advance(0.41)
    assert await second.acquire()
    assert not await first.replicate(late.record)
    assert not any(acceptor.replicate_grants(late).stored for acceptor in domain.acceptors.values())


async def test_an_acceptor_needs_a_promise_of_the_exact_ballot(domain: SimulatedDomain) -> None:
    """A restarted acceptor has lost higher promises, so a late accept must not count."""
    acceptor = domain.acceptors["e0"]
    late = pb.AcceptRequest(ballot=pb.Ballot(number=5, entry="e1#1"), term_ms=400)
    assert not acceptor.accept(late).accepted
    acceptor.prepare(pb.PrepareRequest(ballot=late.ballot))
    assert acceptor.accept(late).accepted


async def test_a_restarted_entry_uses_higher_ballots(domain: SimulatedDomain) -> None:
    first = domain.proposer("e0")
    assert await first.acquire()
    domain.clock.advance(0.41)
    second = domain.proposer("e0")
    assert await second.acquire()
    assert second.ballot.number > first.ballot.number


async def test_a_hanging_acceptor_does_not_stop_the_others(domain: SimulatedDomain) -> None:
    proposer = domain.proposer("e0")

    async def hang(request: pb.PrepareRequest) -> pb.PrepareResponse:
        await asyncio.Event().wait()
        raise AssertionError("unreachable")

    proposer.acceptors["e2"].prepare = hang  # type: ignore[method-assign]
    assert await proposer.acquire()


@pytest.mark.parametrize(
    ("number", "entry", "version", "stored"),
    [
        (5, "b", 4, False),
        (5, "a", 9, False),
        (4, "b", 9, False),
        (5, "b", 5, True),
        (5, "b", 6, True),
        (5, "c", 1, True),
        (6, "a", 1, True),
    ],
)
def test_a_store_refuses_older_records(number: int, entry: str, version: int, stored: bool) -> None:
    store = GrantStore()
    assert not store.has_history
    current = pb.GrantRecord(ballot=pb.Ballot(number=5, entry="b"), version=5)
    store.store(current)
    offered = pb.GrantRecord(ballot=pb.Ballot(number=number, entry=entry), version=version)
    assert store.store(offered) is stored
    assert store.record == (offered if stored else current)
