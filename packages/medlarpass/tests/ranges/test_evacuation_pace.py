"""Guards against a leader that is overloaded, or too slow, when it empties a failure domain."""

from __future__ import annotations

from collections import Counter

from medlarpass.ranges import RangeAssignment
from medlarpass.ranges import move_allowance
from medlarpass.ranges import select_moves
from medlarpass.ranges.evacuation_pace import MAX_RUNNING_COUNT
from medlarpass.ranges.evacuation_pace import MAX_RUNNING_PER_SERVER_COUNT
from medlarpass.ranges.evacuation_pace import MAX_STARTED_COUNT


def planned(owners: list[str]) -> list[tuple[str, RangeAssignment]]:
    """Return a planned move of one key for each owner."""
    return [
        (owner, RangeAssignment("stock", key, key, "target", 1)) for key, owner in enumerate(owners)
    ]


def test_the_allowance_is_bounded_by_what_runs_and_by_what_starts() -> None:
    assert move_allowance(0) == MAX_STARTED_COUNT
    assert move_allowance(MAX_RUNNING_COUNT - 3) == 3
    assert move_allowance(MAX_RUNNING_COUNT + 5) == 0


def test_servers_with_the_fewest_moves_are_first() -> None:
    """Guards against one server that is emptied while the others still wait."""
    moves = planned(["a"] * 10 + ["b"] * 2 + ["c"])
    selected = select_moves(moves, {"b": 1}, 4)
    owner_of = {target.first: owner for owner, target in moves}
    assert Counter(owner_of[target.first] for target in selected) == {"a": 2, "b": 1, "c": 1}


def test_moves_at_one_server_are_bounded() -> None:
    """Guards against a server that gets dozens of releases while it serves its last requests."""
    selected = select_moves(planned(["a"] * 50), {"a": 1}, 50)
    assert len(selected) == MAX_RUNNING_PER_SERVER_COUNT - 1
    assert not select_moves(planned(["a"]), {"a": MAX_RUNNING_PER_SERVER_COUNT}, 50)


def test_a_domain_of_the_largest_deployment_is_empty_in_time() -> None:
    """Load: 63 servers with 3 ranges each, in 320 moves of 0.5 s; steps of 0.1 s."""
    waiting = planned([f"s{number % 63}" for number in range(320)])
    ends: list[tuple[int, str]] = []
    step = 0
    while waiting or ends:
        ends = [end for end in ends if end[0] > step]
        selected = select_moves(
            waiting, Counter(owner for _, owner in ends), move_allowance(len(ends))
        )
        keys = {target.first for target in selected}
        ends += [(step + 5, owner) for owner, target in waiting if target.first in keys]
        waiting = [move for move in waiting if move[1].first not in keys]
        assert len(ends) <= MAX_RUNNING_COUNT
        step += 1
    assert step <= 30
