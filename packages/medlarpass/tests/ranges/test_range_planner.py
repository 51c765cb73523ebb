from __future__ import annotations

import random

import pytest

from medlarpass.ranges import KEY_COUNT
from medlarpass.ranges import PlannerServer
from medlarpass.ranges import RangeAssignment
from medlarpass.ranges import RangeLoads
from medlarpass.ranges import RangePlanner
from medlarpass.ranges.range_planner import unassigned_ranges

ALL_KEYS = [(0, KEY_COUNT - 1)]


def servers(count: int, weight: float = 3.0) -> list[PlannerServer]:
    """Return servers of equal weight."""
    return [PlannerServer(f"s{number}", 1, weight) for number in range(count)]


def loads_with_hot_range(seed: int) -> RangeLoads:
    """Return loads in which a third of the requests are for 200 adjacent keys."""
    rng = random.Random(seed)
    loads = RangeLoads(0.5)
    hot = rng.randrange(0, KEY_COUNT - 200)
    keys = [rng.randrange(KEY_COUNT) for _ in range(2000)]
    keys += [hot + rng.randrange(200) for _ in range(1000)]
    loads.add(keys, [1] * len(keys))
    return loads


def load_of(loads: RangeLoads, assigned: list[RangeAssignment], server: str) -> float:
    """Return the load of a server."""
    return sum(
        loads.load_between(assignment.first, assignment.last)
        for assignment in assigned
        if assignment.identity == server
    )


def apply_moves(
    assigned: list[RangeAssignment], moves: list[RangeAssignment]
) -> list[RangeAssignment]:
    """Return the ranges after the moves, sorted by key."""
    for move in moves:
        rest = [
            part for assignment in assigned for part in assignment.without(move.first, move.last)
        ]
        assigned = sorted([*rest, move], key=lambda assignment: assignment.first)
    return assigned


@pytest.mark.parametrize("count", [1, 2, 7, 22, 124])
def test_all_keys_get_exactly_one_owner(count: int) -> None:
    """Guards against keys without an owner or with two."""
    plan = RangePlanner("p", RangeLoads(0.5)).assign_free(ALL_KEYS, [], servers(count))
    assert unassigned_ranges(plan) == []
    assert sum(assignment.size for assignment in plan) == KEY_COUNT
    assert len({assignment.identity for assignment in plan}) == count


@pytest.mark.parametrize("seed", range(5))
def test_hot_neighbours_are_spread(seed: int) -> None:
    """Guards against a server that keeps a hot range while others are idle."""
    loads = loads_with_hot_range(seed)
    planner = RangePlanner("p", loads)
    pool_servers = servers(18)
    assigned = planner.assign_free(ALL_KEYS, [], pool_servers)
    for _ in range(20):
        assigned = apply_moves(assigned, planner.plan_moves(assigned, pool_servers))
    used = [load_of(loads, assigned, server.identity) for server in pool_servers]
    assert max(used) <= 1.3 * sum(used) / len(used)


def test_equal_load_is_left_alone() -> None:
    """Guards against moves that do not improve the balance."""
    planner = RangePlanner("p", RangeLoads(0.5))
    pool_servers = servers(18)
    assigned = planner.assign_free(ALL_KEYS, [], pool_servers)
    assert planner.plan_moves(assigned, pool_servers) == []


def test_a_new_server_gets_keys() -> None:
    """Guards against a new server that gets no requests."""
    planner = RangePlanner("p", RangeLoads(0.5))
    assigned = planner.assign_free(ALL_KEYS, [], servers(18))
    moves = planner.plan_moves(assigned, servers(19))
    assert {move.identity for move in moves} == {"s18"}


def test_the_keys_of_a_lost_server_go_to_several() -> None:
    """Guards against a single server taking over the whole load of a lost one."""
    planner = RangePlanner("p", RangeLoads(0.5))
    assigned = planner.assign_free(ALL_KEYS, [], servers(18))
    lost = [
        (assignment.first, assignment.last)
        for assignment in assigned
        if assignment.identity == "s4"
    ]
    rest = [assignment for assignment in assigned if assignment.identity != "s4"]
    pool_servers = [server for server in servers(18) if server.identity != "s4"]
    plan = planner.assign_free(lost, rest, pool_servers)
    assert sum(part.size for part in plan) == sum(last - first + 1 for first, last in lost)
    assert len({part.identity for part in plan}) > 8


@pytest.mark.parametrize("offset", [0, 1500, 3640])
def test_a_hot_key_gets_a_server_of_its_own(offset: int) -> None:
    """Guards against adjacent keys staying on a server that a single hot key overloads."""
    loads = RangeLoads(0.5)
    rng = random.Random(3)
    hot = 5 * 3641 + offset
    keys = [rng.randrange(KEY_COUNT) for _ in range(2000)]
    loads.add([*keys, hot], [*[1] * len(keys), 500])
    planner = RangePlanner("p", loads)
    pool_servers = servers(18)
    uniform = RangePlanner("p", RangeLoads(0.5))
    assigned = uniform.assign_free(ALL_KEYS, [], pool_servers)
    owner = next(assignment.identity for assignment in assigned if assignment.overlaps(hot, hot))
    for _ in range(10):
        assigned = apply_moves(assigned, planner.plan_moves(assigned, pool_servers))
    assert next(part.identity for part in assigned if part.overlaps(hot, hot)) == owner
    others = (
        sum(
            loads.load_between(part.first, part.last) for part in assigned if part.identity == owner
        )
        - 500
    )
    assert others <= 0.1 * 2000 / 18
    used = [
        load_of(loads, assigned, server.identity)
        for server in pool_servers
        if server.identity != owner
    ]
    assert max(used) <= 1.5 * sum(used) / len(used)


def test_hot_neighbours_are_spread_over_many_servers_at_once() -> None:
    """Guards against a hot range of a large pool that is spread too slowly by small plans.

    Requests would be refused for seconds.
    """
    loads = loads_with_hot_range(1)
    planner = RangePlanner("p", loads)
    pool_servers = servers(124)
    assigned = RangePlanner("p", RangeLoads(0.5)).assign_free(ALL_KEYS, [], pool_servers)
    for _ in range(4):
        assigned = apply_moves(assigned, planner.plan_moves(assigned, pool_servers))
    used = [load_of(loads, assigned, server.identity) for server in pool_servers]
    assert max(used) <= 2.5 * sum(used) / len(used)


def test_parts_of_a_range_end_before_a_key_that_exceeds_the_load() -> None:
    """Guards against moving a hot key together with the adjacent keys."""
    loads = RangeLoads(0.5)
    loads.add([10], [100])
    assert loads.longest_prefix_end(0, 20, 50.0) == 9
    assert loads.longest_suffix_start(0, 20, 50.0) == 11
    assert loads.longest_prefix_end(10, 20, 50.0) == 9
    assert loads.longest_suffix_start(0, 10, 50.0) == 11
    assert loads.longest_prefix_end(0, 20, 150.0) == 20


def test_old_counts_are_dropped() -> None:
    """Guards against memory that grows with every key that was ever requested."""
    loads = RangeLoads(0.5)
    loads.add(range(100), [1] * 100)
    for _ in range(10):
        loads.apply_decay()
    assert not loads.counts


def test_cold_ranges_stay_while_a_hot_one_is_spread() -> None:
    """Guards against moves of idle keys; each move makes its keys unavailable for a moment."""
    loads = loads_with_hot_range(2)
    planner = RangePlanner("p", loads)
    pool_servers = servers(6)
    assigned = RangePlanner("p", RangeLoads(0.5)).assign_free(ALL_KEYS, [], pool_servers)
    moves = planner.plan_moves(assigned, pool_servers)
    assert moves
    assert all(loads.load_between(move.first, move.last) > 10 for move in moves)
