"""Decides which domain each shard belongs to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.rpc import control_pb2 as pb

if TYPE_CHECKING:
    from collections.abc import Mapping

    from medlarpass.ownership.delegation_table import DelegationTable


def shares(shards: int, slots: Mapping[str, int]) -> dict[str, int]:
    """Split shards in proportion to slots, by largest remainder.

    :param shards: number of shards
    :param slots: ready slots by domain
    """
    total = sum(slots.values())
    if total == 0:
        return dict.fromkeys(slots, 0)
    result = {domain: shards * count // total for domain, count in slots.items()}
    by_remainder = sorted(slots, key=lambda domain: (-(shards * slots[domain] % total), domain))
    for domain in by_remainder[: shards - sum(result.values())]:
        result[domain] += 1
    return result


class DelegationPlanner:
    """Plans delegations in proportion to ready slots.

    :param hysteresis: part of its share by which a domain may be above it before shards move away;
        keeps small changes of slots from moving shards
    :param moves_at_once: upper limit of moves under way in one pool
    """

    __slots__ = ("hysteresis", "moves_at_once")

    def __init__(self, hysteresis: float = 0.1, moves_at_once: int = 32) -> None:
        self.hysteresis = hysteresis
        self.moves_at_once = moves_at_once

    def plan(
        self, table: DelegationTable, pool: str, shards: int, slots: Mapping[str, int]
    ) -> tuple[pb.AssignShards, pb.PlanShardMoves]:
        """Return assignments of free shards and moves of held ones.

        :param table: applied state
        :param pool: name of the pool
        :param shards: number of shards of the pool
        :param slots: ready slots by domain
        """
        assign, moves = pb.AssignShards(), pb.PlanShardMoves()
        usable = {domain: count for domain, count in slots.items() if count > 0}
        if not usable:
            return assign, moves
        target = shares(shards, usable)
        room = dict(target)
        free: list[int] = []
        settled: dict[str, list[int]] = {}
        under_way = 0
        for shard in range(shards):
            present = table.delegations.get((pool, shard))
            if present is None or present.domain is None:
                free.append(shard)
                continue
            if present.target is not None:
                under_way += 1
                if present.target in room:
                    room[present.target] -= 1
                continue
            settled.setdefault(present.domain, []).append(shard)
            if present.domain in room:
                room[present.domain] -= 1
        for shard in free:
            domain = self._destination(table, pool, shard, room)
            room[domain] -= 1
            assign.assignments.append(pb.ShardAssignment(pool=pool, shard=shard, domain=domain))
        for shard in self._surplus(settled, target)[: max(0, self.moves_at_once - under_way)]:
            domain = max(sorted(room), key=lambda name: room[name])
            if room[domain] <= 0:
                break
            room[domain] -= 1
            moves.moves.append(pb.ShardAssignment(pool=pool, shard=shard, domain=domain))
        return assign, moves

    def _destination(
        self, table: DelegationTable, pool: str, shard: int, room: Mapping[str, int]
    ) -> str:
        present = table.delegations.get((pool, shard))
        planned = present.target if present is not None else None
        if planned is not None and planned in room:
            return planned
        return max(sorted(room), key=lambda name: room[name])

    def _surplus(self, settled: Mapping[str, list[int]], target: Mapping[str, int]) -> list[int]:
        result: list[int] = []
        for domain in sorted(settled):
            share = target.get(domain, 0)
            excess = len(settled[domain]) - share
            if excess > max(1.0, self.hysteresis * share) or (share == 0 and excess > 0):
                result.extend(settled[domain][-excess:])
        return result
