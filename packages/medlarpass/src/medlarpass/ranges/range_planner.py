"""Decides which server should hold which keys."""

from __future__ import annotations

from math import sqrt
from typing import TYPE_CHECKING

from medlarpass.base import Value
from medlarpass.ranges.range_assignment import KEY_COUNT
from medlarpass.ranges.range_assignment import RangeAssignment

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from medlarpass.ranges.range_loads import RangeLoads

#: Highest over mean utilisation from which keys are moved; below it a move costs more than the
#: unequal load.
UNEQUAL = 1.25
#: Standard deviations of a count by which it has to exceed the fair load.
CHANCE = 2.0
#: Most moves between servers in one plan.
MOST_MOVES = 8
#: Share of its fair load below which a server gets keys although no other one is overloaded.
SCARCE = 0.3
#: Least share of the mean load that is worth a move.
LEAST_MOVE = 0.08


class PlannerServer(Value):
    """A server that may hold keys.

    :param identity: identity of the server
    :param life: its newest start
    :param weight: requests that it can run in relation to the others
    """

    __slots__ = ("identity", "life", "weight")

    def __init__(self, identity: str, life: int, weight: float) -> None:
        self.identity = identity
        self.life = life
        self.weight = weight


class RangePlanner:
    """Plans the ranges of one pool.

    :param pool: name of the pool
    :param loads: load of its keys
    """

    __slots__ = ("loads", "pool")

    def __init__(self, pool: str, loads: RangeLoads) -> None:
        self.pool = pool
        self.loads = loads

    def fill(
        self,
        free: Iterable[tuple[int, int]],
        held: Iterable[RangeAssignment],
        servers: Sequence[PlannerServer],
    ) -> list[RangeAssignment]:
        """Spread free keys over the servers so that their utilisation becomes equal.

        :param free: first and last key of each range without holder
        :param held: ranges that keep their holders
        :param servers: servers that may get keys
        """
        if not servers:
            return []
        free = list(free)
        loads = self._server_loads(held, servers)
        total = sum(loads.values()) + sum(self.loads.of(first, last) for first, last in free)
        level = total / sum(server.weight for server in servers)
        wants = [
            [server, max(server.weight * level - loads[server.identity], 0.0)]
            for server in sorted(servers, key=lambda each: loads[each.identity] / each.weight)
        ]
        return [part for first, last in free for part in self._spread(first, last, wants)]

    def balance(
        self, held: Sequence[RangeAssignment], servers: Sequence[PlannerServer]
    ) -> list[RangeAssignment]:
        """Return moves from the busiest to the least busy servers."""
        by_identity = {server.identity: server for server in servers}
        ranges = [each for each in held if each.identity in by_identity]
        loads = self._server_loads(ranges, servers)
        moves: list[RangeAssignment] = []
        if len(servers) < 2:
            return moves
        level = sum(loads.values()) / sum(server.weight for server in servers)
        for _ in range(MOST_MOVES):
            busiest = max(servers, key=lambda each: loads[each.identity] / each.weight)
            calmest = min(servers, key=lambda each: loads[each.identity] / each.weight)
            excess = loads[busiest.identity] - level * busiest.weight
            room = level * calmest.weight - loads[calmest.identity]
            if not self._is_unequal(loads, busiest, calmest, level):
                break
            wanted = min(excess, room)
            if loads[calmest.identity] < SCARCE * level * calmest.weight:
                # The excess of each of many servers is small; a new server needs a share of some.
                wanted = max(wanted, room / MOST_MOVES)
            if wanted < LEAST_MOVE * level * calmest.weight:
                break
            part = self._part(busiest, ranges, wanted)
            if part is None:
                break
            move = RangeAssignment(self.pool, part.first, part.last, calmest.identity, calmest.life)
            moved = self.loads.of(part.first, part.last)
            loads[busiest.identity] -= moved
            loads[calmest.identity] += moved
            ranges = _without(ranges, part)
            moves.append(move)
        return moves

    def _is_unequal(
        self,
        loads: dict[str, float],
        busiest: PlannerServer,
        calmest: PlannerServer,
        level: float,
    ) -> bool:
        if loads[calmest.identity] < SCARCE * level * calmest.weight:
            return True
        fair = level * busiest.weight
        # Counts of few requests differ by chance.
        return loads[busiest.identity] - fair > max((UNEQUAL - 1) * fair, CHANCE * sqrt(fair))

    def _server_loads(
        self, held: Iterable[RangeAssignment], servers: Sequence[PlannerServer]
    ) -> dict[str, float]:
        loads = {server.identity: 0.0 for server in servers}
        for each in held:
            if each.identity in loads:
                loads[each.identity] += self.loads.of(each.first, each.last)
        return loads

    def _part(
        self, server: PlannerServer, ranges: Sequence[RangeAssignment], wanted: float
    ) -> RangeAssignment | None:
        """Return the keys of a server whose load is nearest below or at ``wanted``."""
        own = [each for each in ranges if each.identity == server.identity]
        whole = [each for each in own if self.loads.of(each.first, each.last) <= wanted]
        if whole:
            return max(whole, key=lambda each: self.loads.of(each.first, each.last))
        if not own:
            return None
        widest = max(own, key=lambda each: self.loads.of(each.first, each.last))
        if widest.size < 2:
            return None
        end = min(self.loads.cut(widest.first, widest.last, wanted), widest.last - 1)
        return widest.with_bounds(widest.first, end)

    def _spread(self, first: int, last: int, wants: list[list[object]]) -> list[RangeAssignment]:
        parts: list[RangeAssignment] = []
        for want in wants:
            server, load = want
            assert isinstance(server, PlannerServer) and isinstance(load, float)
            if first > last:
                break
            if load <= 0 and want is not wants[-1]:
                continue
            end = last if want is wants[-1] else self.loads.cut(first, last, load)
            want[1] = max(load - self.loads.of(first, end), 0.0)
            parts.append(RangeAssignment(self.pool, first, end, server.identity, server.life))
            first = end + 1
        return parts


def uncovered(ranges: Iterable[RangeAssignment]) -> list[tuple[int, int]]:
    """Return the ranges of keys that no assignment has.

    :param ranges: assignments of one pool, in the order of their keys
    """
    gaps: list[tuple[int, int]] = []
    key = 0
    for each in ranges:
        if each.first > key:
            gaps.append((key, each.first - 1))
        key = each.last + 1
    if key < KEY_COUNT:
        gaps.append((key, KEY_COUNT - 1))
    return gaps


def _without(ranges: Sequence[RangeAssignment], part: RangeAssignment) -> list[RangeAssignment]:
    rest: list[RangeAssignment] = []
    for each in ranges:
        if not each.overlaps(part.first, part.last):
            rest.append(each)
            continue
        if each.first < part.first:
            rest.append(each.with_bounds(each.first, part.first - 1))
        if each.last > part.last:
            rest.append(each.with_bounds(part.last + 1, each.last))
    return rest
