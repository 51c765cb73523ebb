"""Guards against an isolated key that its own owner refuses permanently.

Seed 1 of ``test_random_faults.py`` found this fault.
"""

from __future__ import annotations

import pytest

from medlarpass import ManualClock
from medlarpass.ownership import Assignment
from medlarpass.ownership import GrantHolder
from medlarpass.ownership.grant_table import GrantTable
from medlarpass.rpc import control_pb2
from medlarpass.rpc import domain_pb2

POOL = "stock"
SHARD = 7
KEY = "roll-0"
KEY_ASSIGNMENT = Assignment(POOL, SHARD, KEY)
SHARD_ASSIGNMENT = Assignment(POOL, SHARD)
SESSION_TERM_SECONDS = 0.6
TERM_MS = 60_000
SERVER = "stock-a2-1"
INCARNATION = 1


@pytest.mark.parametrize(
    "order",
    [(SHARD_ASSIGNMENT, KEY_ASSIGNMENT), (KEY_ASSIGNMENT, SHARD_ASSIGNMENT)],
    ids=["shard-first", "key-first"],
)
def test_the_owner_of_a_shard_and_its_isolated_key_serves_both(
    order: tuple[Assignment, Assignment],
) -> None:
    clock = ManualClock()
    table = delegated_table(clock)
    table.isolate(POOL, SHARD, KEY)
    for assignment in order:
        table.grant(assignment, SERVER, INCARNATION)
    table.commit(table.record(domain_pb2.Ballot(number=1)).version)
    holder = GrantHolder(clock)
    holder.apply_announcement(holder.begin_heartbeat(), "session", TERM_MS)
    # Before the second response the server reports which grants it has released.
    for _ in range(2):
        pending = holder.begin_heartbeat()
        for assignment, fence in pending.released:
            table.confirm_release(assignment, fence, SERVER, INCARNATION)
        holder.apply(pending, response(table))
    assert holder.check(POOL, SHARD, "other", table.grants[SHARD_ASSIGNMENT].fence) is None
    assert holder.check(POOL, SHARD, KEY, table.grants[KEY_ASSIGNMENT].fence) is None


def delegated_table(clock: ManualClock) -> GrantTable:
    """Return a table to which the shard is delegated."""
    table = GrantTable(clock, SESSION_TERM_SECONDS)
    table.adopt(None, domain_pb2.Ballot(number=1), needs_new_epochs=True)
    response = control_pb2.DomainReportResponse(
        confirmed=True,
        new_epochs=True,
        delegations=[control_pb2.ShardDelegation(pool=POOL, shard=SHARD, epoch=5)],
        terms=[control_pb2.PoolTerm(pool=POOL, term_ms=TERM_MS)],
    )
    table.apply_report(response, clock.now())
    clock.advance(2 * SESSION_TERM_SECONDS)
    return table


def response(table: GrantTable) -> domain_pb2.HeartbeatResponse:
    """Return the coordinator's response to a heartbeat of the server."""
    return domain_pb2.HeartbeatResponse(
        coordinator=True,
        term_ms=TERM_MS,
        version=table.committed.version,
        grants_included=True,
        grants=table.grants_of(SERVER, INCARNATION),
        release=table.releases_for(SERVER, INCARNATION),
    )
