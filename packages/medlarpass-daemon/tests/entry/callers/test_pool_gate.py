"""Admission of requests to an overloaded pool at an entry.

The load is a pool that gets two and a half times what it can serve, with callers who come back as
told and callers who repeat at once. The failure: the leader is lost while limits are in force.
"""

from __future__ import annotations

from typing import Any

import pytest

from medlarpass import ManualClock
from medlarpass.dispatch import DemandCounter
from medlarpass.rpc import fleet_pb2
from medlarpass.tables import Route
from medlarpass_daemon.entry.callers.early_returns import MAX_REFUSAL_COUNT
from medlarpass_daemon.entry.callers.pool_gate import PoolGate
from medlarpass_daemon.entry.fleet.traffic_view import TrafficView

POOL = "orders-pool"


def plan(admitted: int, retry_after_ms: int = 2000, priority: int = 0) -> fleet_pb2.FleetUpdate:
    """Return the update of a leader that limits the pool of the orders."""
    admission = fleet_pb2.PoolAdmission(
        pool=POOL, priority=priority, admitted=admitted, retry_after_ms=retry_after_ms
    )
    return fleet_pb2.FleetUpdate(traffic=fleet_pb2.TrafficPlan(admissions=[admission]))


class GatedEntry:
    """An entry with a gate whose clock the test moves."""

    def __init__(self, harness: Any, entry: Any) -> None:
        self.harness = harness
        self.entry = entry
        self.clock = ManualClock(1000.0)
        self.view = TrafficView(self.clock)
        context = entry.context
        context.pool_gate = PoolGate(self.view, self.clock, context.metrics, context.dialect)
        context.demands = DemandCounter()

    async def send(self, path: str = "/orders") -> Any:
        return await self.harness.send(path, "POST")

    def demand(self) -> int:
        """Return the requests counted since the last call."""
        return sum(demand.requests for demand in self.entry.context.demands.pop_counts())

    def refusals(self, reason: str) -> float:
        counter = self.entry.metrics.pool_refusals.labels(POOL, reason)
        return float(counter._value.get())


@pytest.fixture
async def gated(harness: Any) -> GatedEntry:
    return GatedEntry(harness, await harness.start_entry())


async def test_requests_beyond_the_share_are_refused_before_anything_is_sent(
    harness: Any, gated: GatedEntry
) -> None:
    """Guards against refusals that take a place in a queue or a slot of a server."""
    server = await harness.start_server()
    gated.view.apply(plan(400))
    replies = [await gated.send(f"/orders?n={number}") for number in range(50)]
    refused = [reply for reply in replies if reply.status == 503]
    assert len(refused) == pytest.approx(30, abs=1)
    assert len(server.requests) == 50 - len(refused)
    assert {reply.document["code"] for reply in refused} == {"pool_overloaded"}
    assert {reply.document["outcome"] for reply in refused} == {"not-run"}
    assert all(2 <= int(reply.headers["Retry-After"]) <= 4 for reply in refused)
    assert gated.refusals("share") == len(refused)
    assert not gated.entry.context.admission.routes.get("refused")
    # Refused requests are demand, or the limit would end while the load lasts.
    assert gated.demand() == 50


async def test_the_limit_of_a_priority_applies_to_its_routes_only(
    harness: Any, gated: GatedEntry, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against refusals of the important route when the other one is limited."""
    await harness.start_server()
    gated.view.apply(plan(1, priority=5))
    assert (await gated.send()).status == 200
    monkeypatch.setattr(Route, "priority", 5)
    assert [(await gated.send(f"/orders?n={n}")).status for n in range(5)].count(503) >= 4


async def test_a_caller_who_repeats_at_once_is_admitted_last_and_is_no_demand(
    harness: Any, gated: GatedEntry
) -> None:
    """Guards against callers who repeat often and push out those who waited as told."""
    await harness.start_server()
    gated.view.apply(plan(1))
    while (await gated.send()).status == 200:
        pass
    gated.demand()
    gated.view.apply(plan(900))
    assert [(await gated.send()).status for _ in range(20)] == [503] * 20
    assert gated.refusals("early") == 20
    assert gated.demand() == 0
    # Another request of the same connection is no repetition.
    statuses = [(await gated.send(f"/orders?n={n}")).status for n in range(20)]
    assert statuses.count(200) >= 17
    # With a share of all, only the time of return decides.
    gated.view.apply(plan(1000))
    assert (await gated.send()).status == 503
    gated.clock.advance(2.0)
    gated.view.apply(plan(1000))
    assert (await gated.send()).status == 200


async def test_a_repetition_is_admitted_once_the_limit_has_ended(
    harness: Any, gated: GatedEntry
) -> None:
    """Guards against refusals while there is capacity."""
    await harness.start_server()
    gated.view.apply(plan(1))
    while (await gated.send()).status == 200:
        pass
    gated.view.apply(fleet_pb2.FleetUpdate(traffic=fleet_pb2.TrafficPlan()))
    assert (await gated.send()).status == 200


async def test_limits_end_when_the_leader_is_lost(harness: Any, gated: GatedEntry) -> None:
    """Guards against a limit of an earlier load that stays while control has no leader."""
    await harness.start_server()
    gated.view.apply(plan(1))
    assert [(await gated.send(f"/orders?n={n}")).status for n in range(5)].count(503) >= 4
    gated.clock.advance(2.9)
    assert [(await gated.send(f"/orders?n={n}")).status for n in range(5, 9)].count(503) >= 3
    gated.clock.advance(0.2)
    assert [(await gated.send(f"/orders?n={n}")).status for n in range(9)] == [200] * 9


async def test_a_keyed_order_may_have_run_before(harness: Any, gated: GatedEntry) -> None:
    """Guards against "not run" for an order that an earlier request has run."""
    await harness.start_server()
    gated.view.apply(plan(1))
    replies = [
        await harness.send("/orders", "POST", headers={"Idempotency-Key": f"k{n}"}, data=b"x")
        for n in range(3)
    ]
    refused = [reply.document for reply in replies if reply.status == 503]
    assert refused
    assert {document["outcome"] for document in refused} == {"unknown"}


async def test_the_memory_of_refusals_is_bounded(harness: Any, gated: GatedEntry) -> None:
    """Guards against an entry that exceeds its memory by refusals."""
    gate = gated.entry.context.pool_gate
    gate.early_returns.due_at = {(number,): 2000.0 for number in range(MAX_REFUSAL_COUNT)}
    gated.view.apply(plan(1))
    for number in range(4):
        await gated.send(f"/orders?n={number}")
    assert len(gate.early_returns.due_at) == MAX_REFUSAL_COUNT
