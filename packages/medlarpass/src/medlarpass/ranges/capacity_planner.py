"""Plans moves of keys to servers whose weights are their capacities."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.ranges.balance_rule import STEADY_LOAD_RULE
from medlarpass.ranges.range_assignment import RangeAssignment
from medlarpass.ranges.range_planner import MAX_MOVES_PER_SERVER_RATIO
from medlarpass.ranges.range_planner import MIN_MOVE_LIMIT_COUNT
from medlarpass.ranges.range_planner import MIN_MOVE_LOAD_RATIO
from medlarpass.ranges.range_planner import RangePlanner
from medlarpass.ranges.range_planner import server_loads

if TYPE_CHECKING:
    from collections.abc import Sequence

    from medlarpass.ranges.density_loads import DensityLoads
    from medlarpass.ranges.range_planner import PlannerServer

#: Load of a server that gets keys, relative to its share of the load, up to which it is filled.
MAX_FILL_RATIO = 1.25
#: Ratio of two capacities from which a key that exceeds its server moves to the faster one. The
#: estimates differ by about 15%, and while a key moves it has no owner.
MIN_FASTER_RATIO = 1.3


class CapacityPlanner(RangePlanner):
    """Moves keys so that the load of each server follows its weight.

    Each part goes to the server that is the least utilised with it, so that large parts go to fast
    servers. A single key that exceeds its server goes to the fastest one, and all other keys of
    that server go elsewhere.

    :param pool: name of the pool
    :param loads: load of its keys
    """

    __slots__ = ()

    def __init__(self, pool: str, loads: DensityLoads) -> None:
        super().__init__(pool, loads, STEADY_LOAD_RULE)

    def plan_moves(
        self, assigned: Sequence[RangeAssignment], servers: Sequence[PlannerServer]
    ) -> list[RangeAssignment]:
        """Return moves from the most utilised servers to those with room."""
        known = {server.identity: server for server in servers}
        ranges = [assignment for assignment in assigned if assignment.identity in known]
        loads = server_loads(self.loads, ranges, known)
        active = dict(known)
        moves: list[RangeAssignment] = []
        max_moves = max(MIN_MOVE_LIMIT_COUNT, int(len(servers) * MAX_MOVES_PER_SERVER_RATIO))
        while len(active) > 1 and len(moves) < max_moves:
            mean = sum(loads[name] for name in active)
            mean /= sum(server.weight for server in active.values())
            busiest = max(
                active.values(), key=lambda server: loads[server.identity] / server.weight
            )
            least_busy = min(
                active.values(), key=lambda server: loads[server.identity] / server.weight
            )
            if not self._is_imbalanced(loads, busiest, least_busy, mean):
                break
            wanted = loads[busiest.identity] - mean * busiest.weight
            if self._is_underloaded(loads, least_busy, mean):
                # With many servers the excess of each is small, but a new server needs enough.
                missing = mean * least_busy.weight - loads[least_busy.identity]
                wanted = max(wanted, missing / max_moves)
            move = self._next_move(ranges, loads, busiest, active, mean, wanted)
            if move is None:
                move = self._move_to_fastest(ranges, busiest, active, mean)
            if move is None:
                del active[busiest.identity]
                continue
            moved_load = self._load(move)
            loads[busiest.identity] -= moved_load
            loads[move.identity] += moved_load
            ranges = [
                rest for assignment in ranges for rest in assignment.without(move.first, move.last)
            ]
            ranges.append(move)
            moves.append(move)
        return moves

    def _next_move(
        self,
        ranges: Sequence[RangeAssignment],
        loads: dict[str, float],
        busiest: PlannerServer,
        active: dict[str, PlannerServer],
        mean: float,
        wanted: float,
    ) -> RangeAssignment | None:
        """Return the move of a part that fits another server, if one is worth it.

        :param wanted: load that should be moved
        """
        others = [server for server in active.values() if server is not busiest]
        room = max(
            MAX_FILL_RATIO * mean * server.weight - loads[server.identity] for server in others
        )
        part = self._select_part(busiest, ranges, min(wanted, room))
        if part is None or self._load(part) < wanted / 2:
            # A single key has more than that; without it the server is below its share.
            part = self._heavier_part(busiest, ranges, wanted, room) or part
        if part is None:
            return None
        load = self._load(part)
        target = min(others, key=lambda server: (loads[server.identity] + load) / server.weight)
        if load < MIN_MOVE_LOAD_RATIO * mean * target.weight / 2:
            return None
        if (loads[target.identity] + load) / target.weight >= loads[
            busiest.identity
        ] / busiest.weight:
            return None
        return RangeAssignment(
            self.pool, part.first, part.last, target.identity, target.incarnation
        )

    def _heavier_part(
        self,
        server: PlannerServer,
        ranges: Sequence[RangeAssignment],
        load: float,
        max_load: float,
    ) -> RangeAssignment | None:
        """Return the least loaded end of a range with more than ``load``, up to ``max_load``."""
        parts: list[RangeAssignment] = []
        for own in ranges:
            if own.identity != server.identity or self._load(own) <= load:
                continue
            end = self.loads.longest_prefix_end(own.first, own.last, load)
            begin = self.loads.longest_suffix_start(own.first, own.last, load)
            parts.append(own.with_bounds(own.first, min(end + 1, own.last)))
            parts.append(own.with_bounds(max(begin - 1, own.first), own.last))
        fitting = [part for part in parts if self._load(part) <= max_load]
        return min(fitting, key=self._load, default=None)

    def _move_to_fastest(
        self,
        ranges: Sequence[RangeAssignment],
        busiest: PlannerServer,
        active: dict[str, PlannerServer],
        mean: float,
    ) -> RangeAssignment | None:
        """Return the move of a key that exceeds its server to a faster one, if there is one."""
        fastest = max(active.values(), key=lambda server: server.weight)
        if fastest.weight < MIN_FASTER_RATIO * busiest.weight:
            return None
        limit = mean * busiest.weight
        for own in ranges:
            if own.identity != busiest.identity or self._load(own) <= limit:
                continue
            key = self.loads.longest_prefix_end(own.first, own.last, limit) + 1
            if self.loads.load_between(key, key) > MAX_FILL_RATIO * limit:
                return RangeAssignment(self.pool, key, key, fastest.identity, fastest.incarnation)
        return None
