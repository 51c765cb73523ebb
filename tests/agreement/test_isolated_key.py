"""Guards against an isolated key that its own owner refuses for good.

Found by seed 1 of ``test_random_faults.py``.
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
APART = Assignment(POOL, SHARD, KEY)
WHOLE = Assignment(POOL, SHARD)
SESSION_TERM = 0.6
TERM_MS = 60_000
SERVER = "stock-a2-1"
INCARNATION = 1


@pytest.mark.parametrize(
    "order", [(WHOLE, APART), (APART, WHOLE)], ids=["shard-first", "key-first"]
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
    # The second answer is given after the server has reported what it released.
    for _ in range(2):
        pending = holder.begin_heartbeat()
        for assignment, fence in pending.released:
            table.confirm_release(assignment, fence, SERVER, INCARNATION)
        holder.apply(pending, answer(table))
    assert holder.check(POOL, SHARD, "other", table.grants[WHOLE].fence) is None
    assert holder.check(POOL, SHARD, KEY, table.grants[APART].fence) is None


def delegated_table(clock: ManualClock) -> GrantTable:
    """Return a table that may grant the shard."""
    table = GrantTable(clock, SESSION_TERM)
    table.adopt(None, domain_pb2.Ballot(number=1), needs_new_epochs=True)
    response = control_pb2.DomainReportResponse(
        confirmed=True,
        new_epochs=True,
        delegations=[control_pb2.ShardDelegation(pool=POOL, shard=SHARD, epoch=5)],
        terms=[control_pb2.PoolTerm(pool=POOL, term_ms=TERM_MS)],
    )
    table.apply_report(response, clock.now())
    clock.advance(2 * SESSION_TERM)
    return table


def answer(table: GrantTable) -> domain_pb2.HeartbeatResponse:
    """Return the coordinator's answer to a heartbeat of the server."""
    return domain_pb2.HeartbeatResponse(
        coordinator=True,
        term_ms=TERM_MS,
        version=table.committed.version,
        grants_included=True,
        grants=table.grants_of(SERVER, INCARNATION),
        release=table.releases_for(SERVER, INCARNATION),
    )
