"""Guards against a shard that is delegated to two domains, and against unnecessary moves."""

from __future__ import annotations

import pytest

from medlarpass import ManualClock
from medlarpass.ownership import DelegationPlanner
from medlarpass.ownership import DelegationRenewals
from medlarpass.ownership import DelegationTable
from medlarpass.ownership.exceptions import SnapshotFormatError
from medlarpass.rpc import control_pb2 as pb

TERM = 2.0


def assign(domain: str, *shards: int) -> pb.AssignShards:
    items = [pb.ShardAssignment(pool="stock", shard=shard, domain=domain) for shard in shards]
    return pb.AssignShards(assignments=items)


def free(domain: str, shard: int, epoch: int) -> pb.FreeShards:
    return pb.FreeShards(
        domain=domain, shards=[pb.ShardEpoch(pool="stock", shard=shard, epoch=epoch)]
    )


def move(domain: str, shard: int) -> pb.PlanShardMoves:
    item = pb.ShardAssignment(pool="stock", shard=shard, domain=domain)
    return pb.PlanShardMoves(moves=[item])


def held(table: DelegationTable, domain: str) -> list[tuple[int, int, bool]]:
    return [
        (delegation.shard, delegation.epoch, delegation.release)
        for delegation in table.held_by(domain)
    ]


CASES = [
    ("assigned while held", [assign("a", 0), assign("b", 0)], [(0, 1, False)]),
    ("assigned twice", [assign("a", 0), assign("a", 0)], [(0, 1, False)]),
    ("freed by another domain", [assign("a", 0), free("b", 0, 1)], [(0, 1, False)]),
    (
        "late release of an older epoch",
        [assign("a", 0), free("a", 0, 1), assign("a", 0), free("a", 0, 1)],
        [(0, 2, False)],
    ),
    (
        "release from before the epochs were renewed",
        [assign("a", 0), pb.RenewEpochs(domain="a"), free("a", 0, 1)],
        [(0, 2, False)],
    ),
    ("move of a free shard", [assign("a", 0), free("a", 0, 1), move("b", 0)], []),
    ("move to the holder", [assign("a", 0), move("a", 0)], [(0, 1, False)]),
    ("move keeps the holder until release", [assign("a", 0), move("b", 0)], [(0, 1, True)]),
]


@pytest.mark.parametrize(("name", "commands", "expected"), CASES, ids=[case[0] for case in CASES])
def test_only_a_release_of_the_current_epoch_ends_a_delegation(name, commands, expected) -> None:
    table = DelegationTable()
    for command in commands:
        table.apply(command)
    assert held(table, "a") == expected
    assert held(table, "b") == []


def test_every_delegation_has_a_higher_epoch() -> None:
    table = DelegationTable()
    for expected in range(1, 5):
        assert table.apply(assign("ab"[expected % 2], 0)).changed == 1
        assert held(table, "ab"[expected % 2]) == [(0, expected, False)]
        table.apply(free("ab"[expected % 2], 0, expected))


def test_a_snapshot_keeps_epochs_of_free_shards_and_targets() -> None:
    table = DelegationTable()
    for command in (assign("a", 0, 1), free("a", 0, 1), move("b", 1)):
        table.apply(command)
    restored = DelegationTable.from_bytes(table.to_bytes())
    assert restored.delegations == table.delegations
    assert restored.to_bytes() == table.to_bytes()


@pytest.mark.parametrize(
    "snapshot", [b"", b"{}", b'{"format":2,"delegations":[]}', b'{"format":1,"delegations":[[1]]}']
)
def test_a_damaged_snapshot_is_refused(snapshot: bytes) -> None:
    with pytest.raises(SnapshotFormatError):
        DelegationTable.from_bytes(snapshot)


def test_another_command_is_refused() -> None:
    with pytest.raises(TypeError):
        DelegationTable().apply(pb.SetDrain())


def test_a_shard_is_taken_back_only_after_term_and_margin() -> None:
    clock, table = ManualClock(), DelegationTable()
    table.apply(assign("a", 0))
    renewals = DelegationRenewals(clock)
    clock.advance(1.0)
    renewals.renew("a")
    clock.advance(2.01)
    assert renewals.start_freeing(table, {"stock": TERM}) == []
    clock.advance(0.02)
    (command,) = renewals.start_freeing(table, {"stock": TERM})
    assert command == free("a", 0, 1)


def test_a_new_leader_assumes_a_renewal_at_its_election() -> None:
    clock, table = ManualClock(100.0), DelegationTable()
    table.apply(assign("a", 0))
    renewals = DelegationRenewals(clock)
    clock.advance(TERM)
    assert renewals.start_freeing(table, {"stock": TERM}) == []


def test_a_report_is_not_confirmed_while_its_shards_are_taken_back() -> None:
    clock, table = ManualClock(), DelegationTable()
    table.apply(assign("a", 0))
    renewals = DelegationRenewals(clock)
    clock.advance(3.0)
    (command,) = renewals.start_freeing(table, {"stock": TERM})
    assert not renewals.may_confirm("a")
    assert renewals.may_confirm("b")
    table.apply(command)
    renewals.finish_freeing(command)
    assert renewals.may_confirm("a")


def apply_plans(table: DelegationTable, slots: dict[str, int], shards: int) -> int:
    """Apply the planner's decisions until it has none left, and return the number of moves."""
    planner, moved = DelegationPlanner(max_concurrent_moves=1000), 0
    for _ in range(10):
        assignments, moves = planner.plan(table, "stock", shards, slots)
        if not assignments.assignments and not moves.moves:
            break
        table.apply(assignments)
        table.apply(moves)
        for (_, shard), delegation in list(table.delegations.items()):
            if delegation.target is not None and delegation.domain is not None:
                table.apply(free(delegation.domain, shard, delegation.epoch))
                moved += 1
    return moved


def shards_per_domain(table: DelegationTable) -> dict[str | None, int]:
    result: dict[str | None, int] = {}
    for delegation in table.delegations.values():
        result[delegation.domain] = result.get(delegation.domain, 0) + 1
    return result


def test_shards_follow_ready_slots() -> None:
    table = DelegationTable()
    assert apply_plans(table, {"a": 10, "b": 20, "c": 30}, 60) == 0
    assert shards_per_domain(table) == {"a": 10, "b": 20, "c": 30}


def test_a_new_domain_costs_the_least_possible_moves() -> None:
    table = DelegationTable()
    apply_plans(table, {"a": 20, "b": 20}, 60)
    assert apply_plans(table, {"a": 20, "b": 20, "c": 20}, 60) == 20
    assert shards_per_domain(table) == {"a": 20, "b": 20, "c": 20}


def test_a_small_change_of_slots_moves_nothing() -> None:
    table = DelegationTable()
    apply_plans(table, {"a": 20, "b": 20}, 60)
    assert apply_plans(table, {"a": 19, "b": 20}, 60) == 0


def test_a_domain_without_servers_gives_everything_away() -> None:
    table = DelegationTable()
    apply_plans(table, {"a": 20, "b": 20}, 60)
    apply_plans(table, {"a": 0, "b": 20}, 60)
    assert shards_per_domain(table) == {"b": 60}


def test_nothing_is_assigned_when_no_domain_has_servers() -> None:
    table = DelegationTable()
    apply_plans(table, {"a": 0}, 60)
    assert table.delegations == {}


def test_moves_under_way_are_limited() -> None:
    table = DelegationTable()
    apply_plans(table, {"a": 20}, 60)
    planner = DelegationPlanner(max_concurrent_moves=5)
    for expected in (5, 0):
        _, moves = planner.plan(table, "stock", 60, {"a": 20, "b": 20})
        assert len(moves.moves) == expected
        table.apply(moves)
