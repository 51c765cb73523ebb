"""Steps shared by several features."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pytest_bdd import then

from tools.bench.ownership_check import find_violations

if TYPE_CHECKING:
    from tools.bench.cluster import Cluster
    from tools.bench.load import MixedLoad


@then("each response is complete and belongs to its request")
def responses_match_requests(load: MixedLoad) -> None:
    assert load.incorrect_responses == []


@then("no request failed")
def none_failed(load: MixedLoad) -> None:
    assert load.failed_requests == []


@then("no key had two owners")
def one_owner(cluster: Cluster) -> None:
    events = cluster.ownership_events()
    assert any(event["event"] == "accepted" for event in events)
    assert find_violations(events) == []


@then("no order that was reported as not run ran")
def not_run_orders_did_not_run(cluster: Cluster, load: MixedLoad) -> None:
    assert set(load.orders_not_run) & set(cluster.executed_orders()) == set()
