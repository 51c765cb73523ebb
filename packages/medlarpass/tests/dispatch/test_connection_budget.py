"""Guards against entries that together open more connections than a server accepts."""

from __future__ import annotations

import pytest

from medlarpass.dispatch import ConnectionBudget


@pytest.mark.parametrize(
    ("connections", "entries", "known_entries", "share"),
    [
        (100, 9, 9, 10),
        (130, 11, 11, 10),
        (100, 10, 3, 9),  # a partition hides seven entries
        (100, 10, 20, 4),  # entries are being replaced
        (5, 10, 10, 1),
    ],
)
def test_share_of_one_entry(connections: int, entries: int, known_entries: int, share: int) -> None:
    budget = ConnectionBudget(entries)
    budget.set_entry_count(known_entries)
    assert budget.share(connections) == share


def test_connections_above_the_share_are_refused_until_one_closes() -> None:
    budget = ConnectionBudget(10)
    assert [budget.try_open("s", 30) for _ in range(3)] == [True, True, False]
    budget.closed("s")
    assert budget.try_open("s", 30)
    for _ in range(5):
        budget.closed("s")
    assert budget.open_connections == {}


def test_surplus_after_the_share_shrank() -> None:
    budget = ConnectionBudget(10)
    while budget.try_open("s", 100):
        pass
    assert budget.surplus("s", 100) == 0
    budget.set_entry_count(20)
    assert budget.surplus("s", 100) == 5
