"""Guards against a leader that is overloaded, or too slow, when it empties a failure domain."""

from __future__ import annotations

from collections import Counter

from medlarpass.ranges import RangeAssignment
from medlarpass.ranges import move_allowance
from medlarpass.ranges import select_moves
from medlarpass.ranges.evacuation_pace import MAX_RUNNING_COUNT
from medlarpass.ranges.evacuation_pace import MAX_RUNNING_PER_SERVER_COUNT


def test_a_domain_of_the_largest_deployment_is_empty_in_time() -> None:
    """Load: 63 servers, 10 of them with most of 320 moves of 0.5 s; steps of 0.1 s."""
    owners = [f"s{number % 63}" for number in range(160)] + [f"s{n % 10}" for n in range(160)]
    waiting = [(name, RangeAssignment("p", key, key, "t", 1)) for key, name in enumerate(owners)]
    ends: list[tuple[int, str]] = []
    step = 0
    while waiting or ends:
        ends = [end for end in ends if end[0] > step]
        running = Counter(owner for _, owner in ends)
        selected = select_moves(waiting, running, move_allowance(len(ends)))
        keys = {target.first for target in selected}
        ends += [(step + 5, owner) for owner, target in waiting if target.first in keys]
        waiting = [move for move in waiting if move[1].first not in keys]
        assert len(ends) <= MAX_RUNNING_COUNT
        assert max(Counter(name for _, name in ends).values(), default=0) <= (
            MAX_RUNNING_PER_SERVER_COUNT
        )
        step += 1
    assert step <= 30
