"""Server selection with a large number of entries."""

from __future__ import annotations

from collections import Counter
from typing import Any

from medlarpass import BootClock
from medlarpass.dispatch import BalancerSettings
from medlarpass.dispatch import PeerLoads
from medlarpass_daemon.entry.callers.interfaces import Target
from medlarpass_daemon.entry.callers.server_selector import MANY_ENTRIES_COUNT
from medlarpass_daemon.entry.callers.server_selector import ServerSelector

REQUEST_COUNT = 3000


async def request_shares(entries: int, weights: list[float]) -> list[float]:
    """Return the fractions of requests that servers with the given weights get."""
    loads: Any = PeerLoads(2.0)
    clock = BootClock()
    selector = ServerSelector(loads, clock)
    selector.set_entry_count(entries)
    targets = [
        Target(f"s{number}", 1, "10.0.0.1", 80 + number, 3, 100, weight=weight)
        for number, weight in enumerate(weights)
    ]
    acquired_counts: Counter[str] = Counter()
    for _ in range(REQUEST_COUNT):
        permit = await selector.acquire(lambda: targets, frozenset(), clock.now() + 5.0, 2.0)
        acquired_counts[permit.target.identity] += 1
        permit.cancelled()
    return [acquired_counts[target.identity] / REQUEST_COUNT for target in targets]


async def test_many_entries_follow_the_weights() -> None:
    """Guards against an equal share for a server of half the speed with hundreds of entries."""
    slow, *others = await request_shares(190, [0.5, *[1.0] * 9])
    assert 0.035 < slow < 0.07
    assert all(0.08 < share < 0.13 for share in others)


def test_few_entries_compare_servers() -> None:
    """Guards against a random choice when the entry can compare the loads of the servers."""
    loads: Any = PeerLoads(2.0)
    selector = ServerSelector(loads, BootClock())
    selector.set_entry_count(MANY_ENTRIES_COUNT)
    selector.set_entry_count(MANY_ENTRIES_COUNT - 1)
    assert selector.balancer.settings.choices == BalancerSettings().choices > 1
