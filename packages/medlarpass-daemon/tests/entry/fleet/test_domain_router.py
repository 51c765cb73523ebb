"""Choice of the domain and of the preferred servers at an entry that follows control."""

from __future__ import annotations

from collections import Counter
from typing import Any

import pytest

from prometheus_client import CollectorRegistry

from medlarpass import ManualClock
from medlarpass.dispatch import PeerLoads
from medlarpass.rpc import fleet_pb2
from medlarpass_daemon.entry.callers import CallersMetrics
from medlarpass_daemon.entry.callers import domain_router
from medlarpass_daemon.entry.callers.domain_router import DomainRouter
from medlarpass_daemon.entry.callers.exceptions import ServerRefusedError
from medlarpass_daemon.entry.callers.exceptions import ServerUnreachableError
from medlarpass_daemon.entry.callers.interfaces import Target
from medlarpass_daemon.entry.callers.server_selector import ServerSelector
from medlarpass_daemon.entry.fleet.traffic_view import TrafficView

POOL = "images"
ENTRY_COUNT = 75
SERVERS_PER_DOMAIN = 20


class RoutedEntry:
    """An entry of domain a, with 20 servers in each of three domains."""

    def __init__(self) -> None:
        self.clock = ManualClock(1000.0)
        loads: Any = PeerLoads(2.0)
        self.selector = ServerSelector(loads, self.clock, 0.0)
        self.selector.set_entry_count(ENTRY_COUNT)
        self.traffic = TrafficView(self.clock)
        self.metrics = CallersMetrics(CollectorRegistry())
        self.router = DomainRouter(
            "entry-1", "a", self.traffic.shares_of, self.selector, self.clock, self.metrics
        )
        self.targets = [
            Target(f"{domain}{number}", 1, "10.0.0.1", 80, 3, 100, domain=domain)
            for domain in "abc"
            for number in range(SERVERS_PER_DOMAIN)
        ]

    def set_plan(self, **shares: int) -> None:
        """Receive a plan with thousandths of the requests by domain of the servers."""
        plan = fleet_pb2.TrafficPlan(
            shares=[
                fleet_pb2.DomainShare(
                    pool=POOL, entry_domain="a", server_domain=domain, share=share
                )
                for domain, share in shares.items()
            ]
        )
        self.traffic.apply(fleet_pb2.FleetUpdate(traffic=plan))

    async def acquire(self, tried: frozenset[str] = frozenset()) -> Any:
        """Return the permit for one attempt."""
        domain = self.router.next_domain(POOL)
        permit = await self.selector.acquire(
            lambda: self.router.prefer(POOL, domain, self.targets, tried),
            tried,
            self.clock.now() + 5.0,
            2.0,
        )
        self.router.record(POOL, domain, permit.target)
        return permit

    async def send(self, count: int) -> Counter[str]:
        """Send requests that end at once, and count them by server."""
        counts: Counter[str] = Counter()
        for _ in range(count):
            permit = await self.acquire()
            permit.cancelled()
            counts[permit.target.identity] += 1
        return counts

    def attempts(self, domain: str, choice: str) -> float:
        value = self.metrics.domain_attempts.labels(POOL, domain, choice)._value.get()
        assert isinstance(value, float)
        return value


def by_domain(counts: Counter[str]) -> dict[str, int]:
    """Return the number of requests by domain of the servers."""
    domains: Counter[str] = Counter()
    for identity, count in counts.items():
        domains[identity[0]] += count
    return dict(domains)


async def test_requests_follow_the_shares_and_stay_in_the_subsets() -> None:
    """Guards against connections of each entry to every server of a pool."""
    entry = RoutedEntry()
    entry.set_plan(b=100, c=40)
    counts = await entry.send(500)
    assert by_domain(counts) == {"a": 430, "b": 50, "c": 20}
    used_in_home = [identity for identity in counts if identity[0] == "a"]
    assert 4 <= len(used_in_home) < SERVERS_PER_DOMAIN
    assert entry.attempts("a", "subset") == 430
    for identity in used_in_home:
        (target,) = (target for target in entry.targets if target.identity == identity)
        assert entry.router.keeps_connections(POOL, target)


async def test_a_changed_plan_is_followed_at_once() -> None:
    """Guards against requests to an evacuated domain for the rest of a sequence of choices."""
    entry = RoutedEntry()
    entry.set_plan(b=500)
    await entry.send(11)
    entry.set_plan(b=400, c=600)
    counts = by_domain(await entry.send(100))
    assert counts.keys() == {"b", "c"}
    # What is left of the previous sequence may shift the new one by a request.
    assert abs(counts["b"] - 40) <= 1
    entry.set_plan()
    assert by_domain(await entry.send(20)) == {"a": 20}


async def test_a_retry_avoids_the_servers_tried_before() -> None:
    """Guards against a retry at the server that has just refused, and one that has no server."""
    entry = RoutedEntry()
    entry.set_plan()
    tried: set[str] = set()
    for _ in range(SERVERS_PER_DOMAIN + 5):
        permit = await entry.acquire(frozenset(tried))
        assert permit.target.identity not in tried
        tried.add(permit.target.identity)
        permit.failed(ServerRefusedError("shedding"))
    assert by_domain(Counter(tried))["a"] == SERVERS_PER_DOMAIN


async def test_servers_outside_the_subset_are_used_only_when_none_in_it_accepts() -> None:
    """Guards against requests that wait for a busy subset while other servers are free."""
    entry = RoutedEntry()
    entry.set_plan()
    used = set(await entry.send(300))
    for target in entry.targets:
        if target.identity in used:
            entry.selector.record_unreachable(target)
    others = await entry.send(100)
    assert by_domain(others) == {"a": 100}
    assert not used & others.keys()
    outside = [target for target in entry.targets if target.identity in others]
    assert not any(entry.router.keeps_connections(POOL, target) for target in outside)
    assert entry.attempts("a", "domain") == 100


@pytest.mark.parametrize("is_update_empty", [False, True])
async def test_without_a_recent_plan_entries_prefer_their_domain(
    monkeypatch: pytest.MonkeyPatch, is_update_empty: bool
) -> None:
    """Guards against shares of a lost leader that send requests away, or to lost servers.

    The leader is lost, or replaced by one without a plan.
    """
    lines: list[dict[str, Any]] = []

    class Recorder:
        def log(self, **fields: Any) -> None:
            lines.append(fields)

    monkeypatch.setattr(domain_router, "TRAFFIC_PLAN_OUTDATED", Recorder())
    entry = RoutedEntry()
    entry.set_plan(b=1000)
    assert by_domain(await entry.send(50)) == {"b": 50}
    if is_update_empty:
        entry.traffic.apply(fleet_pb2.FleetUpdate(begins_whole=True))
    else:
        entry.clock.advance(3.1)
    assert by_domain(await entry.send(50)) == {"a": 50}
    assert [line["outdated"] for line in lines] == ([] if is_update_empty else [True])
    for target in entry.targets:
        if target.domain == "a":
            (await entry.acquire()).cancelled()
            entry.selector.record_unreachable(target)
    counts = by_domain(await entry.send(50))
    assert "a" not in counts
    assert sum(counts.values()) == 50
    assert entry.attempts("b", "fallback") + entry.attempts("c", "fallback") >= 50


async def test_a_chosen_domain_without_usable_servers_is_replaced() -> None:
    """Guards against refused requests while the plan still names a domain that was lost."""
    entry = RoutedEntry()
    entry.set_plan(b=1000)
    permit = await entry.acquire()
    permit.failed(ServerUnreachableError(""))
    entry.targets = [target for target in entry.targets if target.domain != "b"]
    assert by_domain(await entry.send(20)) == {"a": 20}
    entry.targets = [target for target in entry.targets if target.domain == "c"]
    assert by_domain(await entry.send(20)) == {"c": 20}


async def test_state_of_deleted_pools_is_dropped() -> None:
    """Guards against memory that grows with each publication of new pools."""
    entry = RoutedEntry()
    entry.set_plan(b=500)
    await entry.send(5)
    entry.router.retain({"other"})
    assert not entry.router.choices
    assert not entry.router.preferred


async def test_the_limit_of_preferred_servers_counts_the_entries_that_prefer_them() -> None:
    """Guards against overloaded servers with idle slots, because 75 entries share the limit.

    About 25 of them prefer the server.
    """
    entry = RoutedEntry()
    entry.set_plan()
    permit = await entry.acquire()
    limiter = permit.limiter
    assert limiter.min_limit == pytest.approx(3 * 2 * 3 / ENTRY_COUNT, rel=0.4)
    assert limiter.min_limit >= 3 * 2 * 3 / ENTRY_COUNT
    outside = next(
        target
        for target in entry.targets
        if target.domain == "a" and not entry.router.keeps_connections(POOL, target)
    )
    assert entry.selector._limiter_for(outside).min_limit == pytest.approx(3 * 2 / ENTRY_COUNT)


async def test_the_share_of_a_cold_server_is_sent_to_it_in_any_domain() -> None:
    """Guards against a cold server that warms up only with requests of its own domain.

    The other servers stay preferred as before.
    """
    entry = RoutedEntry()
    entry.set_plan()
    await entry.send(100)
    preferred = set(entry.router.preferred[POOL, "a"].targets)
    warm = entry.targets
    cold = Target("c0", 1, "10.0.0.1", 80, 3, 100, domain="c", cold_until=2000.0, admitted=0.01)
    entry.targets = [cold]
    assert await entry.send(2) == {"c0": 2}
    assert entry.attempts("c", "cold") == 2
    entry.targets = list(warm)
    assert set(await entry.send(100)) <= preferred
    assert set(entry.router.preferred[POOL, "a"].targets) == preferred
