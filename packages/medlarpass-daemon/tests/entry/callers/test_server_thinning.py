"""Requests to servers that control limits."""

from __future__ import annotations

import random

from collections import Counter
from typing import Any

import pytest

from medlarpass import ManualClock
from medlarpass_daemon.entry.callers.exceptions import ServerColdError
from medlarpass_daemon.entry.callers.exceptions import ServerOverloadedError
from medlarpass_daemon.entry.callers.interfaces import Target
from medlarpass_daemon.entry.callers.server_thinning import ServerThinning

NOW = 100.0
KINDS = {
    "enquiry": ("/stock/k1", "POST", {"data": b"roll"}),
    "order": ("/orders", "POST", {"data": b"roll"}),
    "download": ("/art/first", "GET", {}),
}


def new_thinning() -> ServerThinning:
    """Return a decision module with reproducible numbers."""
    return ServerThinning(ManualClock(NOW), random.Random(1))


def target(name: str, cold_seconds: float = 0.0, admitted: float | None = None) -> Target:
    """Return a server, cold for some seconds."""
    cold_until = NOW + cold_seconds if cold_seconds else 0.0
    return Target(name, 1, "10.0.0.1", 80, 3, 100, cold_until=cold_until, admitted=admitted)


def admits(thinning: ServerThinning, owner: Target, view_age: float | None = 0.1) -> bool:
    """Return whether an attempt at the owner of a key is admitted."""
    try:
        thinning.check_owner(owner, view_age)
    except (ServerColdError, ServerOverloadedError):
        return False
    return True


@pytest.mark.parametrize(
    ("cold_seconds", "error"), [(5.0, ServerColdError), (0.0, ServerOverloadedError)]
)
def test_an_owner_gets_its_share(cold_seconds: float, error: type[Exception]) -> None:
    """Guards against more requests than control admits, and against a wrong reason."""
    thinning = new_thinning()
    owner = target("a", cold_seconds, 0.2)
    assert 150 < sum(admits(thinning, owner) for _ in range(1000)) < 250
    with pytest.raises(error):
        thinning.check_owner(target("a", cold_seconds, 0.0), 0.1)


@pytest.mark.parametrize("view_age", [3.1, None])
def test_an_old_limit_of_a_warm_owner_is_ignored(view_age: float | None) -> None:
    """Guards against an entry without control that refuses requests for a load of the past."""
    thinning = new_thinning()
    assert all(admits(thinning, target("a", 0.0, 0.01), view_age) for _ in range(100))


def test_a_cold_owner_stays_limited_without_control() -> None:
    """Guards against entries without control that overload a cold server."""
    thinning = new_thinning()
    owner = target("a", 5.0, 0.01)
    assert sum(admits(thinning, owner, 60.0) for _ in range(100)) < 10
    thinning.clock.advance(5.0)  # type: ignore[attr-defined]
    assert all(admits(thinning, owner, 60.0) for _ in range(100))


def test_cold_servers_get_their_shares_and_warm_ones_the_rest() -> None:
    """Guards against a cold server that gets the part of a warm one."""
    thinning = new_thinning()
    targets = [target("c1", 5.0, 0.05), target("w1"), target("c2", 5.0, 0.02), target("w2")]
    chosen = Counter(
        tuple(
            server.identity
            for server in thinning.admitted_targets(targets, thinning.draw(), lambda _: True)
        )
        for _ in range(10_000)
    )
    assert set(chosen) == {("c1",), ("c2",), ("w1", "w2")}
    assert 400 < chosen["c1",] < 600
    assert 150 < chosen["c2",] < 250


def test_a_cold_server_that_cannot_take_an_attempt_leaves_it_to_warm_ones() -> None:
    """Guards against requests that wait for a cold server, and a retry at the same one."""
    thinning = new_thinning()
    targets = [target("c", 5.0, 1.0), target("w")]
    (only,) = thinning.admitted_targets(targets, 0.5, lambda _: False)
    assert only.identity == "w"


def test_a_pool_of_cold_servers_refuses_what_exceeds_their_shares() -> None:
    """Guards against a pool that crashes as a whole after its servers restarted together."""
    thinning = new_thinning()
    targets = [target("c1", 5.0, 0.1), target("c2", 7.0, 0.1)]
    with pytest.raises(ServerColdError) as refusal:
        thinning.admitted_targets(targets, 0.5, lambda _: True)
    assert refusal.value.retry_after == pytest.approx(5.0)
    chosen = [thinning.admitted_targets(targets, draw, lambda _: True) for draw in (0.05, 0.15)]
    assert [servers[0].identity for servers in chosen] == ["c1", "c2"]


def test_shares_that_exceed_the_demand_are_reduced_in_proportion() -> None:
    """Guards against one of several cold servers that gets all requests."""
    thinning = new_thinning()
    targets = [target("c1", 5.0, 1.0), target("c2", 5.0, 1.0)]
    chosen = [thinning.admitted_targets(targets, draw, lambda _: True) for draw in (0.49, 0.51)]
    assert [servers[0].identity for servers in chosen] == ["c1", "c2"]


def test_the_cold_time_expires_by_itself() -> None:
    """Guards against a limit that stays because no update arrives."""
    thinning = new_thinning()
    targets = [target("c", 5.0, 0.001), target("w")]
    thinning.clock.advance(5.0)  # type: ignore[attr-defined]
    assert thinning.admitted_targets(targets, 0.5, lambda _: True) is targets


@pytest.mark.parametrize("kind", KINDS)
async def test_callers_of_a_cold_server_are_refused_at_once(harness: Any, kind: str) -> None:
    """Guards against a path to servers that does not obey the limit of a cold one."""
    path, method, options = KINDS[kind]
    server = await harness.start_server()
    await harness.start_entry()
    owner = harness.target(server.port, fence=1)
    for limited in (harness.servers.targets[0], owner):
        limited.cold_until, limited.admitted = harness.clock.now() + 9.0, 0.0
    harness.owners.move("k1", owner)
    response = await harness.send(path, method, **options)
    assert (response.status, response.document["code"]) == (503, "server_cold")
    assert response.document["outcome"] == "not-run"
    assert 3 <= int(response.headers["Retry-After"]) <= 14
    assert not server.requests
    harness.clock.offset += 9.0
    assert (await harness.send(path, method, **options)).status == 200


async def test_callers_of_an_overloaded_owner_are_refused_at_once(harness: Any) -> None:
    """Guards against requests that wait for an owner which will not run them in time."""
    server = await harness.start_server()
    entry = await harness.start_entry()
    entry.context.view_age = lambda: 0.1
    owner = harness.target(server.port, fence=1)
    owner.admitted = 0.0
    harness.owners.move("k1", owner)
    response = await harness.send("/stock/k1", "POST", data=b"roll")
    assert (response.status, response.document["code"]) == (503, "server_overloaded")
    assert int(response.headers["Retry-After"]) in (1, 2)
    assert not server.requests
    entry.context.view_age = lambda: 3.5
    assert (await harness.send("/stock/k1", "POST", data=b"roll")).status == 200
