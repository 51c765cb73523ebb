"""Plans which failure domain each shard is delegated to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.rpc import control_pb2 as pb

if TYPE_CHECKING:
    from collections.abc import Mapping

    from medlarpass.ownership.delegation_table import DelegationTable


def apportion_shards(shard_count: int, slots: Mapping[str, int]) -> dict[str, int]:
    """Return the number of shards per domain in proportion to slots, by largest remainder.

    :param shard_count: number of shards
    :param slots: ready slots by domain
    """
    total = sum(slots.values())
    if total == 0:
        return dict.fromkeys(slots, 0)
    result = {domain: shard_count * count // total for domain, count in slots.items()}
    by_remainder = sorted(
        slots, key=lambda domain: (-(shard_count * slots[domain] % total), domain)
    )
    for domain in by_remainder[: shard_count - sum(result.values())]:
        result[domain] += 1
    return result


class DelegationPlanner:
    """Plans delegations in proportion to ready slots.

    :param hysteresis: fraction of its target by which a domain may exceed the target before shards
        move away; prevents moves after small changes in slots
    :param max_concurrent_moves: maximum number of moves in progress in one pool
    """

    __slots__ = ("hysteresis", "max_concurrent_moves")

    def __init__(self, hysteresis: float = 0.1, max_concurrent_moves: int = 32) -> None:
        self.hysteresis = hysteresis
        self.max_concurrent_moves = max_concurrent_moves

    def plan(
        self, table: DelegationTable, pool: str, shard_count: int, slots: Mapping[str, int]
    ) -> tuple[pb.AssignShards, pb.PlanShardMoves]:
        """Return assignments of free shards and moves of held ones.

        :param table: delegations of the applied log
        :param pool: name of the pool
        :param shard_count: number of shards of the pool
        :param slots: ready slots by domain
        """
        assign, moves = pb.AssignShards(), pb.PlanShardMoves()
        usable_slots = {domain: count for domain, count in slots.items() if count > 0}
        if not usable_slots:
            return assign, moves
        targets = apportion_shards(shard_count, usable_slots)
        missing = dict(targets)
        free_shards: list[int] = []
        movable_shards: dict[str, list[int]] = {}
        moves_in_progress = 0
        for shard in range(shard_count):
            delegation = table.delegations.get((pool, shard))
            if delegation is None or delegation.domain is None:
                free_shards.append(shard)
                continue
            if delegation.target is not None:
                moves_in_progress += 1
                if delegation.target in missing:
                    missing[delegation.target] -= 1
                continue
            movable_shards.setdefault(delegation.domain, []).append(shard)
            if delegation.domain in missing:
                missing[delegation.domain] -= 1
        for shard in free_shards:
            domain = self._destination(table, pool, shard, missing)
            missing[domain] -= 1
            assign.assignments.append(pb.ShardAssignment(pool=pool, shard=shard, domain=domain))
        for shard in self._surplus(movable_shards, targets)[
            : max(0, self.max_concurrent_moves - moves_in_progress)
        ]:
            domain = max(sorted(missing), key=lambda name: missing[name])
            if missing[domain] <= 0:
                break
            missing[domain] -= 1
            moves.moves.append(pb.ShardAssignment(pool=pool, shard=shard, domain=domain))
        return assign, moves

    def _destination(
        self, table: DelegationTable, pool: str, shard: int, missing: Mapping[str, int]
    ) -> str:
        delegation = table.delegations.get((pool, shard))
        planned_domain = delegation.target if delegation is not None else None
        if planned_domain is not None and planned_domain in missing:
            return planned_domain
        return max(sorted(missing), key=lambda name: missing[name])

    def _surplus(
        self, movable_shards: Mapping[str, list[int]], targets: Mapping[str, int]
    ) -> list[int]:
        surplus: list[int] = []
        for domain in sorted(movable_shards):
            target = targets.get(domain, 0)
            excess = len(movable_shards[domain]) - target
            if excess > max(1.0, self.hysteresis * target) or (target == 0 and excess > 0):
                surplus.extend(movable_shards[domain][-excess:])
        return surplus
