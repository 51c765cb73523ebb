"""Plans which servers should own which keys."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.base import Value
from medlarpass.ranges.balance_rule import HOT_KEYS_RULE
from medlarpass.ranges.balance_rule import STEADY_LOAD_RULE
from medlarpass.ranges.key_intervals import KeyIntervals
from medlarpass.ranges.range_assignment import KEY_COUNT
from medlarpass.ranges.range_assignment import RangeAssignment
from medlarpass.ranges.range_assignment import parts_outside

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from medlarpass.ranges.balance_rule import BalanceRule
    from medlarpass.ranges.pool_loads import PoolLoads
    from medlarpass.ranges.range_loads import RangeLoads

#: Maximum moves of one plan per server; each move costs a release and two rounds to the log.
MAX_MOVES_PER_SERVER_RATIO = 0.25
#: Moves that a plan may have regardless of the number of servers.
MIN_MOVE_LIMIT_COUNT = 8
#: Ratio of the load to move from which a whole range is moved rather than a part of another one, so
#: that the number of ranges does not keep growing.
WHOLE_RANGE_RATIO = 0.5
#: Minimum load, relative to the mean load, that is worth a move.
MIN_MOVE_LOAD_RATIO = 0.08


class PlannerServer(Value):
    """A server that may own keys.

    :param identity: identity of the server
    :param incarnation: its newest incarnation
    :param weight: capacity relative to the other servers
    """

    __slots__ = ("identity", "incarnation", "weight")

    def __init__(self, identity: str, incarnation: int, weight: float) -> None:
        self.identity = identity
        self.incarnation = incarnation
        self.weight = weight


class RangePlanner:
    """Plans the ranges of one pool.

    :param pool: name of the pool
    :param loads: load of its keys
    :param rule: thresholds for moving keys
    :param recent: load over a short time; a server only counts as overloaded if this load agrees.
        None to skip that check
    """

    __slots__ = ("loads", "pool", "recent", "rule")

    def __init__(
        self,
        pool: str,
        loads: RangeLoads,
        rule: BalanceRule = STEADY_LOAD_RULE,
        recent: RangeLoads | None = None,
    ) -> None:
        self.pool = pool
        self.loads = loads
        self.rule = rule
        self.recent = recent

    def assign_free(
        self,
        free: Iterable[tuple[int, int]],
        assigned: Iterable[RangeAssignment],
        servers: Sequence[PlannerServer],
    ) -> list[RangeAssignment]:
        """Distribute free keys over the servers so that their utilisation becomes equal.

        :param free: first and last key of each range without an owner
        :param assigned: ranges that keep their owners
        :param servers: servers that may get keys
        """
        if not servers:
            return []
        free = list(free)
        loads = _server_loads(self.loads, assigned, servers)
        total = sum(loads.values()) + sum(
            self.loads.load_between(first, last) for first, last in free
        )
        mean = total / sum(server.weight for server in servers)
        deficits = [
            [server, max(server.weight * mean - loads[server.identity], 0.0)]
            for server in sorted(servers, key=lambda server: loads[server.identity] / server.weight)
        ]
        return [part for first, last in free for part in self._split(first, last, deficits)]

    def plan_moves(
        self, assigned: Sequence[RangeAssignment], servers: Sequence[PlannerServer]
    ) -> list[RangeAssignment]:
        """Return moves from the most to the least utilised servers."""
        active = self._without_ended_overload(assigned, servers)
        known = {server.identity for server in servers}
        ranges = [assignment for assignment in assigned if assignment.identity in known]
        loads = _server_loads(self.loads, ranges, servers)
        moves: list[RangeAssignment] = []
        max_moves = max(MIN_MOVE_LIMIT_COUNT, int(len(servers) * MAX_MOVES_PER_SERVER_RATIO))
        while len(active) > 1 and len(moves) < max_moves:
            mean = sum(loads[server.identity] for server in active)
            mean /= sum(server.weight for server in active)
            busiest = max(active, key=lambda server: loads[server.identity] / server.weight)
            least_busy = min(active, key=lambda server: loads[server.identity] / server.weight)
            if not self._is_imbalanced(loads, busiest, least_busy, mean):
                break
            load = self._load_to_move(loads, busiest, least_busy, mean, max_moves)
            if load < MIN_MOVE_LOAD_RATIO * mean * least_busy.weight:
                break
            part = self._select_part(busiest, ranges, load)
            if (
                part is None
                or self._load(part) < MIN_MOVE_LOAD_RATIO * mean * least_busy.weight / 2
            ):
                # A single key exceeds the share of this server, and no other key is worth a move.
                active.remove(busiest)
                continue
            move = RangeAssignment(
                self.pool, part.first, part.last, least_busy.identity, least_busy.incarnation
            )
            moved_load = self.loads.load_between(part.first, part.last)
            loads[busiest.identity] -= moved_load
            loads[least_busy.identity] += moved_load
            ranges = [
                rest for assignment in ranges for rest in assignment.without(part.first, part.last)
            ]
            moves.append(move)
        return moves

    def _without_ended_overload(
        self, assigned: Sequence[RangeAssignment], servers: Sequence[PlannerServer]
    ) -> list[PlannerServer]:
        """Return the servers except those whose overload has ended."""
        if self.recent is None:
            return list(servers)
        recent = _server_loads(self.recent, assigned, servers)
        long_term = _server_loads(self.loads, assigned, servers)
        weights = sum(server.weight for server in servers)
        recent_mean = sum(recent.values()) / weights if servers else 0.0
        long_term_mean = sum(long_term.values()) / weights if servers else 0.0
        return [
            server
            for server in servers
            if long_term[server.identity] <= long_term_mean * server.weight
            or recent[server.identity] > self.rule.overload_ratio * recent_mean * server.weight
        ]

    def _load_to_move(
        self,
        loads: dict[str, float],
        busiest: PlannerServer,
        least_busy: PlannerServer,
        mean: float,
        max_moves: int,
    ) -> float:
        excess = loads[busiest.identity] - mean * busiest.weight
        headroom = mean * least_busy.weight - loads[least_busy.identity]
        if excess > mean * busiest.weight:
            # Far above its share: a few large moves relieve the server sooner than many exact ones.
            headroom += (self.rule.overload_ratio - 1) * mean * least_busy.weight
        if self._is_underloaded(loads, least_busy, mean):
            # With many servers the excess of each is small, but a new server needs enough load.
            return max(min(excess, headroom), headroom / max_moves)
        return min(excess, headroom)

    def _is_imbalanced(
        self,
        loads: dict[str, float],
        busiest: PlannerServer,
        least_busy: PlannerServer,
        mean: float,
    ) -> bool:
        if self._is_underloaded(loads, least_busy, mean):
            return True
        return self.rule.is_overloaded(loads[busiest.identity], mean * busiest.weight)

    def _is_underloaded(self, loads: dict[str, float], server: PlannerServer, mean: float) -> bool:
        load = loads[server.identity]
        if not load and self.rule.underload_ratio:
            # The server has no keys: every key has a load above 0.
            return True
        return self.rule.is_underloaded(load, mean * server.weight)

    def _select_part(
        self, server: PlannerServer, ranges: Sequence[RangeAssignment], load: float
    ) -> RangeAssignment | None:
        """Return the keys of a server with the highest load that does not exceed ``load``."""
        own = [assignment for assignment in ranges if assignment.identity == server.identity]
        whole = [assignment for assignment in own if self._load(assignment) <= load]
        best = max(whole, key=self._load, default=None)
        if best is not None and self._load(best) >= WHOLE_RANGE_RATIO * load:
            return best
        parts = [part for assignment in own for part in self._end_parts(assignment, load)]
        return max([*whole, *parts], key=self._load, default=None)

    def _end_parts(self, own: RangeAssignment, load: float) -> Iterable[RangeAssignment]:
        """Yield the longest parts at both ends of a range that do not exceed ``load``."""
        end = self.loads.longest_prefix_end(own.first, own.last, load)
        if end >= own.first:
            yield own.with_bounds(own.first, end)
        begin = self.loads.longest_suffix_start(own.first, own.last, load)
        if begin <= own.last:
            yield own.with_bounds(begin, own.last)

    def _load(self, assignment: RangeAssignment) -> float:
        return self.loads.load_between(assignment.first, assignment.last)

    def _split(self, first: int, last: int, deficits: list[list[object]]) -> list[RangeAssignment]:
        """Split a free range between servers and reduce their deficits by what they get."""
        parts: list[RangeAssignment] = []
        for deficit in deficits:
            server, load = deficit
            assert isinstance(server, PlannerServer) and isinstance(load, float)
            if first > last:
                break
            if load <= 0 and deficit is not deficits[-1]:
                continue
            end = last
            if deficit is not deficits[-1]:
                end = max(self.loads.longest_prefix_end(first, last, load), first)
            deficit[1] = max(load - self.loads.load_between(first, end), 0.0)
            parts.append(
                RangeAssignment(self.pool, first, end, server.identity, server.incarnation)
            )
            first = end + 1
        return parts


def plan_rebalancing(
    pool: str,
    loads: PoolLoads,
    assigned: Sequence[RangeAssignment],
    servers: Sequence[PlannerServer],
) -> list[RangeAssignment]:
    """Return moves for keys that have just become hot, and for a persistent imbalance.

    :param pool: name of the pool
    :param loads: load of its keys
    :param assigned: ranges with their current or planned owners
    :param servers: servers that may get keys
    """
    hot_key_moves = RangePlanner(pool, loads.recent, HOT_KEYS_RULE).plan_moves(assigned, servers)
    steady = RangePlanner(pool, loads.steady, STEADY_LOAD_RULE, loads.recent)
    return [*hot_key_moves, *steady.plan_moves(apply_moves(assigned, hot_key_moves), servers)]


def apply_moves(
    assigned: Sequence[RangeAssignment], moves: Sequence[RangeAssignment]
) -> list[RangeAssignment]:
    """Return the ranges as they are after the moves."""
    moved = KeyIntervals.merged((move.first, move.last) for move in moves)
    rest = [part for assignment in assigned for part in parts_outside(assignment, moved)]
    return [*rest, *moves]


def server_loads(
    loads: RangeLoads, assigned: Iterable[RangeAssignment], identities: Iterable[str]
) -> dict[str, float]:
    """Return the load of the ranges of each server, by identity.

    :param loads: load of the keys
    :param assigned: ranges with their owners
    :param identities: servers whose load is returned
    """
    sums = dict.fromkeys(identities, 0.0)
    for assignment in assigned:
        if assignment.identity in sums:
            sums[assignment.identity] += loads.load_between(assignment.first, assignment.last)
    return sums


def _server_loads(
    loads: RangeLoads, assigned: Iterable[RangeAssignment], servers: Sequence[PlannerServer]
) -> dict[str, float]:
    return server_loads(loads, assigned, (server.identity for server in servers))


def unassigned_ranges(ranges: Iterable[RangeAssignment]) -> list[tuple[int, int]]:
    """Return the first and last key of each gap between the assignments.

    :param ranges: assignments of one pool, sorted by key
    """
    gaps: list[tuple[int, int]] = []
    key = 0
    for assignment in ranges:
        if assignment.first > key:
            gaps.append((key, assignment.first - 1))
        key = assignment.last + 1
    if key < KEY_COUNT:
        gaps.append((key, KEY_COUNT - 1))
    return gaps
