"""Guards against overloaded servers and too many moves when a failure domain is emptied."""

from __future__ import annotations

from itertools import pairwise

import pytest

from medlarpass.ranges import KEY_COUNT
from medlarpass.ranges import PlannerServer
from medlarpass.ranges import PoolLoads
from medlarpass.ranges import RangeAssignment
from medlarpass.ranges import plan_evacuation


def pool_of(count: int) -> list[RangeAssignment]:
    """Return equal ranges of a number of servers, which own all keys."""
    bounds = [KEY_COUNT * number // count for number in range(count + 1)]
    return [
        RangeAssignment("stock", first, end - 1, f"s{number}", 1, number + 1)
        for number, (first, end) in enumerate(pairwise(bounds))
    ]


@pytest.mark.parametrize(("servers", "domains"), [(13, 3), (50, 4), (108, 3), (160, 4)])
def test_the_keys_of_a_domain_are_spread_in_few_parts(servers: int, domains: int) -> None:
    """Load: equal keys in pools of the deployments' sizes, one of three or four domains leaves."""
    assigned = pool_of(servers)
    leaving = assigned[: servers // domains]
    staying = assigned[servers // domains :]
    targets = [PlannerServer(owned.identity, 1, 3.0) for owned in staying]
    loads = PoolLoads().steady
    free = [(owned.first, owned.last) for owned in leaving]
    moves = plan_evacuation("stock", loads, free, staying, targets)
    assert sum(move.size for move in moves) == sum(owned.size for owned in leaving)
    assert len(moves) <= 3 * len(leaving)
    sizes = {owned.identity: owned.size for owned in staying}
    for move in moves:
        sizes[move.identity] += move.size
    assert max(sizes.values()) <= 1.3 * KEY_COUNT / len(staying)


def test_a_plan_that_goes_on_while_moves_are_in_progress_stays_small() -> None:
    """Guards against parts that get smaller in each step: 60 ranges became 350 moves."""
    assigned = pool_of(60)
    free = [(owned.first, owned.last) for owned in assigned[:20]]
    staying = assigned[20:]
    targets = [PlannerServer(owned.identity, 1, 3.0) for owned in staying]
    loads = PoolLoads().steady
    planned_once = len(plan_evacuation("stock", loads, free, staying, targets))
    count = 0
    while free:
        started = plan_evacuation("stock", loads, free, staying, targets)[:4]
        count += len(started)
        staying += started
        for move in started:
            owner = next(keys for keys in free if keys[0] <= move.first <= keys[1])
            free.remove(owner)
            rest = [(owner[0], move.first - 1), (move.last + 1, owner[1])]
            free += [keys for keys in rest if keys[0] <= keys[1]]
    assert count <= 1.5 * planned_once


def test_a_faster_server_gets_more_and_a_hot_key_stays_whole() -> None:
    """Guards against parts without keys when one key has more load than a part."""
    loads = PoolLoads()
    for _ in range(20):
        loads.add([7], [1000])
    servers = [PlannerServer("slow", 1, 1.0), PlannerServer("fast", 1, 3.0)]
    moves = plan_evacuation("stock", loads.steady, [(0, 999)], [], servers)
    assert sum(move.size for move in moves) == 1000
    assert all(move.first <= move.last for move in moves)
    even = plan_evacuation("stock", PoolLoads().steady, [(n, n) for n in range(40)], [], servers)
    assert sum(move.size for move in even if move.identity == "fast") == 30
