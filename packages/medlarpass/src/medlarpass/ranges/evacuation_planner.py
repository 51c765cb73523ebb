"""Plans where the keys of evacuated servers go."""

from __future__ import annotations

import heapq

from typing import TYPE_CHECKING

from medlarpass.ranges.range_assignment import RangeAssignment

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from medlarpass.ranges.range_loads import RangeLoads
    from medlarpass.ranges.range_planner import PlannerServer

#: Load of one part, in relation to the load that a server has on average afterwards. One of three
#: or four domains adds a third or a quarter to the load of the other servers, which is one part
#: each; no server gets further above the mean than by one part.
PART_LOAD_RATIO = 0.3


def plan_evacuation(
    pool: str,
    loads: RangeLoads,
    free: Iterable[tuple[int, int]],
    assigned: Iterable[RangeAssignment],
    servers: Sequence[PlannerServer],
) -> list[RangeAssignment]:
    """Distribute ranges in few parts, the largest first, each to the least utilised server.

    The size of a part depends on the load of the whole pool. A plan that fills up each server
    exactly would be split anew in each step while moves are in progress: 60 ranges became 350 moves
    in 5 s.

    :param pool: name of the pool
    :param loads: load of its keys
    :param free: first and last key of each range to move
    :param assigned: ranges that stay with their owners, and those whose moves are in progress
    :param servers: servers that may get keys
    """
    if not servers:
        return []
    server_loads = {server.identity: 0.0 for server in servers}
    for assignment in assigned:
        if assignment.identity in server_loads:
            load = loads.load_between(assignment.first, assignment.last)
            server_loads[assignment.identity] += load
    free = list(free)
    total = sum(server_loads.values()) + sum(loads.load_between(*keys) for keys in free)
    part_load = PART_LOAD_RATIO * total / len(servers)
    parts = [
        (loads.load_between(*part), *part)
        for first, last in free
        for part in _split(loads, first, last, part_load)
    ]
    queue = [
        (server_loads[server.identity] / server.weight, position)
        for position, server in enumerate(servers)
    ]
    heapq.heapify(queue)
    targets = []
    for load, first, last in sorted(parts, reverse=True):
        utilisation, position = queue[0]
        server = servers[position]
        heapq.heapreplace(queue, (utilisation + load / server.weight, position))
        targets.append(RangeAssignment(pool, first, last, server.identity, server.incarnation))
    return targets


def _split(loads: RangeLoads, first: int, last: int, part_load: float) -> Iterable[tuple[int, int]]:
    """Yield parts of a range with about equal loads, each of about ``part_load``."""
    load = loads.load_between(first, last)
    count = max(round(load / part_load), 1) if part_load > 0 else 1
    for _ in range(count - 1):
        # A single key may have more than the load of a part.
        end = max(loads.longest_prefix_end(first, last, load / count), first)
        if end >= last:
            break
        yield first, end
        first = end + 1
    yield first, last
