"""Guards against a domain that stops serving, or serves too long, when its coordinator changes
while control cannot be reached."""

from __future__ import annotations

import pytest

from medlarpass import ManualClock
from medlarpass.ownership import Assignment
from medlarpass.ownership import Coordinator
from medlarpass.ownership import GrantTable
from medlarpass.ownership.exceptions import NotDelegatedError
from medlarpass.rpc import control_pb2
from medlarpass.rpc import domain_pb2

SESSION_TERM = 0.6
TERM = 10.0
SHARD = Assignment("stock", 0)
BALLOT = domain_pb2.Ballot(number=1, entry="entry-1#1")
NEXT_BALLOT = domain_pb2.Ballot(number=2, entry="entry-2#7")


def record_of_predecessor(readings: dict[str, float]) -> domain_pb2.GrantRecord:
    clock = ManualClock(1_000.0)
    table = GrantTable(clock, SESSION_TERM)
    table.adopt(None, BALLOT, needs_new_epochs=True)
    response = control_pb2.DomainReportResponse(confirmed=True, new_epochs=True)
    response.terms.add(pool="stock", term_ms=round(TERM * 1000))
    response.delegations.add(pool="stock", shard=0, epoch=3)
    table.apply_report(response, clock.now(), readings)
    clock.advance(2 * SESSION_TERM)
    table.grant(SHARD, "s1", 5)
    return table.record(BALLOT)


def successor(record: domain_pb2.GrantRecord, now: float) -> tuple[Coordinator, ManualClock]:
    clock = ManualClock(now)
    coordinator = Coordinator(clock, SESSION_TERM, lambda: True)
    coordinator.on_elected(record, NEXT_BALLOT, needs_new_epochs=False, entry="entry-2#7")
    grants = coordinator.grants
    grants.commit(grants.record(NEXT_BALLOT).version)
    return coordinator, clock


def heartbeat() -> domain_pb2.HeartbeatRequest:
    server = control_pb2.ServerStatus(identity="s1", incarnation=5, ip="127.0.0.1", port=1)
    return domain_pb2.HeartbeatRequest(identity="s1", incarnation=5, session="kept", server=server)


def renewed_term(coordinator: Coordinator) -> int:
    coordinator.confirm_releases(heartbeat())
    return coordinator.respond_to_heartbeat(heartbeat()).term_ms


CASES = [
    ("reading of this start", {"entry-2#7": 40.0}, 41.0, 600),
    ("shortly before the end", {"entry-2#7": 40.0}, 49.6, 300),
    ("reading of an earlier start", {"entry-2#6": 40.0}, 41.0, 0),
    ("reading of another entry", {"entry-1#1": 40.0}, 41.0, 0),
    ("reading from before a reboot", {"entry-2#7": 40.0}, 30.0, 0),
    ("no reading", {}, 41.0, 0),
]


@pytest.mark.parametrize(
    ("name", "readings", "now", "term_ms"), CASES, ids=[case[0] for case in CASES]
)
def test_sessions_go_on_for_the_rest_of_the_term(
    name: str, readings: dict[str, float], now: float, term_ms: int
) -> None:
    coordinator, _ = successor(record_of_predecessor(readings), now)
    assert renewed_term(coordinator) == pytest.approx(term_ms, abs=1)


def test_grants_end_with_the_delegation() -> None:
    coordinator, _ = successor(record_of_predecessor({"entry-2#7": 40.0}), 49.95)
    coordinator.confirm_releases(heartbeat())
    response = coordinator.respond_to_heartbeat(heartbeat())
    assert response.grants_included
    assert not response.grants


def test_successor_reassigns_without_control_until_the_term_ends() -> None:
    coordinator, clock = successor(record_of_predecessor({"entry-2#7": 40.0}), 41.0)
    clock.advance(2 * SESSION_TERM)
    coordinator.tick()
    grant = coordinator.grants.grant(SHARD, "s2", 1)
    assert grant.fence.epoch == 3
    clock.advance(TERM)
    coordinator.tick()
    with pytest.raises(NotDelegatedError):
        coordinator.grants.grant(SHARD, "s3", 1)


def test_terms_are_handed_on_through_several_successions() -> None:
    first_record = record_of_predecessor({"entry-2#7": 40.0, "entry-3#9": 70.0})
    coordinator, _ = successor(first_record, 41.0)
    second_record = coordinator.grants.record(NEXT_BALLOT)
    clock = ManualClock(72.0)
    third = Coordinator(clock, SESSION_TERM, lambda: True)
    ballot = domain_pb2.Ballot(number=3, entry="entry-3#9")
    third.on_elected(second_record, ballot, needs_new_epochs=False, entry="entry-3#9")
    third.grants.commit(third.grants.record(ballot).version)
    assert renewed_term(third) == 600
