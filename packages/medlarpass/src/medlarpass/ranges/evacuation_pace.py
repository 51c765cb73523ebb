"""Decides which moves away from evacuated servers start next."""

from __future__ import annotations

import heapq

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from medlarpass.ranges.range_assignment import RangeAssignment

#: Moves of all pools that run at the same time. A move takes about half a second, most of which its
#: server needs to finish running requests, so that 300 moves take about 2.5 s.
MAX_RUNNING_COUNT = 64
#: Moves that run at the same time at one server; each is a call that the server has to accept while
#: it serves its last requests.
MAX_RUNNING_PER_SERVER_COUNT = 4
#: Moves that start in one step of a tenth of a second. Each costs the leader two calls and a record
#: in the log, and more of them at once would delay its messages to followers.
MAX_STARTED_COUNT = 16


def move_allowance(running: int) -> int:
    """Return how many moves may start in this step.

    :param running: number of moves that run now, of all pools and for any reason
    """
    return max(min(MAX_STARTED_COUNT, MAX_RUNNING_COUNT - running), 0)


def select_moves(
    planned: Iterable[tuple[str, RangeAssignment]], running: Mapping[str, int], allowance: int
) -> list[RangeAssignment]:
    """Return the planned moves that start now, those at servers with the most moves left first.

    A server with many ranges takes several rounds, since few of its moves run at the same time, and
    would otherwise be the last one with keys.

    :param planned: identity of the owner and planned assignment of each move
    :param running: number of moves that run now, by identity of the owner
    :param allowance: maximum number of moves to return
    """
    by_owner: dict[str, list[RangeAssignment]] = {}
    for owner, target in planned:
        by_owner.setdefault(owner, []).append(target)
    free_places = {
        owner: MAX_RUNNING_PER_SERVER_COUNT - running.get(owner, 0) for owner in by_owner
    }
    queue = [(-len(targets), owner) for owner, targets in by_owner.items()]
    heapq.heapify(queue)
    selected: list[RangeAssignment] = []
    while queue and len(selected) < allowance:
        left, owner = heapq.heappop(queue)
        if free_places[owner] <= 0:
            continue
        free_places[owner] -= 1
        selected.append(by_owner[owner].pop(0))
        if by_owner[owner]:
            heapq.heappush(queue, (left + 1, owner))
    return selected
