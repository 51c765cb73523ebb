"""Plans for the hot keys of the users' load: 66 servers with 6 to 10 requests a second each."""

from __future__ import annotations

import random

from collections import Counter

import pytest

from medlarpass.ranges import KEY_COUNT
from medlarpass.ranges import CapacityPlanner
from medlarpass.ranges import DensityLoads
from medlarpass.ranges import PlannerServer
from medlarpass.ranges import PoolLoads
from medlarpass.ranges import RangeAssignment
from medlarpass.ranges import RangePlanner
from medlarpass.ranges import apply_moves
from medlarpass.ranges.balance_rule import STEADY_LOAD_RULE

SERVER_COUNT = 66
STEP_SECONDS = 0.25
#: Steps from a plan until its moves are in force.
MOVE_STEPS = 2
HOT_FIRST = 20_000
MAX_RATIO = 1.5


class PlannedPool:
    """A pool with Poisson demand, whose counts are planned four times a second."""

    def __init__(self, rate: float, seed: int, has_equal_servers: bool = True) -> None:
        self.rng = random.Random(seed)
        self.demand = rate * SERVER_COUNT
        self.weights = [
            1.0 if has_equal_servers else self.rng.uniform(0.5, 1.6) for _ in range(SERVER_COUNT)
        ]
        self.servers = [
            PlannerServer(f"s{number}", 1, weight) for number, weight in enumerate(self.weights)
        ]
        self.loads = PoolLoads()
        planner = RangePlanner("p", self.loads.steady)
        self.assigned = planner.assign_free([(0, KEY_COUNT - 1)], [], self.servers)
        self.moving: list[tuple[int, RangeAssignment]] = []
        self.move_count = 0
        self.step_number = 0
        #: Number of neighbouring hot keys and their share of the requests.
        self.hot_count = 1
        self.hot_share = 0.0

    def run(self, seconds: float) -> list[float]:
        """Return the highest utilisation, relative to the mean, after each step."""
        ratios = []
        for _ in range(round(seconds / STEP_SECONDS)):
            self.step_number += 1
            self._add_requests()
            due = [move for step, move in self.moving if step <= self.step_number]
            self.moving = [item for item in self.moving if item[0] > self.step_number]
            self.assigned = apply_moves(self.assigned, due)
            moving = [move for _, move in self.moving]
            planned = apply_moves(self.assigned, moving)
            for move in CapacityPlanner("p", DensityLoads(self.loads)).plan_moves(
                planned, self.servers
            ):
                # Keys that are on their way are not moved again.
                if not any(other.overlaps(move.first, move.last) for other in moving):
                    self.move_count += 1
                    self.moving.append((self.step_number + MOVE_STEPS, move))
            if self.step_number % 2 == 0:
                self.loads.apply_decay()
            ratios.append(max(self.utilisation().values()))
        return ratios

    def utilisation(self) -> dict[str, float]:
        """Return the expected load of each server, relative to its share."""
        last = HOT_FIRST + self.hot_count - 1
        loads = dict.fromkeys((server.identity for server in self.servers), 0.0)
        for own in self.assigned:
            hot = max(min(own.last, last) - max(own.first, HOT_FIRST) + 1, 0)
            loads[own.identity] += self.hot_share * hot / self.hot_count
            loads[own.identity] += (1 - self.hot_share) * own.size / KEY_COUNT
        total = sum(self.weights)
        return {
            server.identity: loads[server.identity] * total / server.weight
            for server in self.servers
        }

    def owned_by(self, identity: str) -> list[tuple[int, int]]:
        return [(own.first, own.last) for own in self.assigned if own.identity == identity]

    def _add_requests(self) -> None:
        counts: Counter[int] = Counter()
        time = self.rng.expovariate(self.demand)
        while time < STEP_SECONDS:
            if self.rng.random() < self.hot_share:
                counts[HOT_FIRST + self.rng.randrange(self.hot_count)] += 1
            else:
                counts[self.rng.randrange(KEY_COUNT)] += 1
            time += self.rng.expovariate(self.demand)
        self.loads.add(counts.keys(), counts.values())


@pytest.mark.parametrize("has_equal_servers", [True, False], ids=["equal", "different"])
@pytest.mark.parametrize("rate", [6.0, 10.0])
@pytest.mark.parametrize("hot_count", [60, 200])
def test_hot_neighbours_are_spread_within_seconds(
    hot_count: int, rate: float, has_equal_servers: bool
) -> None:
    """Guards against a busiest server at 2.5 times the mean while neighbouring keys are hot.

    A third of the requests go to 60 or 200 keys for 5 s; the servers differ by a factor of three.
    """
    pool = PlannedPool(rate, 1, has_equal_servers)
    pool.run(15.0)
    pool.hot_count, pool.hot_share = hot_count, 1 / 3
    ratios = pool.run(8.0)
    assert min(ratios[:16]) <= MAX_RATIO
    late = ratios[16:]
    assert sum(late) / len(late) <= MAX_RATIO
    assert max(late) <= 2.0


def test_an_even_load_causes_few_moves() -> None:
    """Guards against moves because of random variation; the keys have no owner meanwhile."""
    pool = PlannedPool(6.0, 2)
    pool.run(15.0)
    before = pool.move_count
    pool.run(30.0)
    assert pool.move_count - before <= 4


def test_load_follows_different_capacities() -> None:
    """Guards against equal loads for servers that differ by a factor of three."""
    pool = PlannedPool(8.0, 3, has_equal_servers=False)
    assert max(pool.run(20.0)[-8:]) <= 1.3


@pytest.mark.parametrize("seed", range(3))
def test_a_single_hot_key_sits_alone_on_a_fast_server(seed: int) -> None:
    """Guards against a key with 16% of the requests on a slow server, or with other keys."""
    pool = PlannedPool(8.0, seed, has_equal_servers=False)
    pool.run(15.0)
    pool.hot_count, pool.hot_share = 1, 0.16
    pool.run(5.0)
    utilisation = pool.utilisation()
    (owner,) = [own.identity for own in pool.assigned if own.first <= HOT_FIRST <= own.last]
    weights = {server.identity: server.weight for server in pool.servers}
    assert pool.owned_by(owner) == [(HOT_FIRST, HOT_FIRST)]
    assert weights[owner] * 1.3 >= max(weights.values())
    del utilisation[owner]
    assert max(utilisation.values()) <= MAX_RATIO


def test_a_new_server_gets_keys() -> None:
    """Guards against a server without keys beside busy ones.

    It gets keys at once up to the ratio below which a server counts as underloaded.
    """
    pool = PlannedPool(8.0, 5)
    pool.run(15.0)
    pool.servers.append(PlannerServer("new", 1, 1.0))
    pool.weights.append(1.0)
    pool.run(5.0)
    assert pool.utilisation()["new"] >= STEADY_LOAD_RULE.underload_ratio
