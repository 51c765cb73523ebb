"""Guards against faults that occur only in a complete system of the users' size."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

from tests.scenarios.systems import running_system
from tools.bench.load import MixedLoad

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tools.bench.cluster import Cluster

scenarios("full_size.feature")

SEED = 7
SERVER_COUNTS = {"stock": (7, 7, 6), "orders": (3, 2, 2), "artwork": (2, 2, 2)}


def _prepare(cluster: Cluster) -> None:
    for pool, counts in SERVER_COUNTS.items():
        for domain, count in zip(cluster.domains, counts, strict=True):
            cluster.add_servers(f"{pool}-{domain}", domain, pool, count)


@pytest.fixture(scope="module")
def cluster(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Cluster]:
    with running_system(tmp_path_factory.mktemp("full"), _prepare, shards=128) as system:
        yield system


@given("3 domains with 3 entries each, 5 control replicas and 20, 7 and 6 servers")
def full_size(cluster: Cluster) -> None:
    assert len(cluster.entries) == 9
    assert len(cluster.control) == 5
    counts = [sum(counts) for counts in SERVER_COUNTS.values()]
    assert counts == [20, 7, 6]


@pytest.fixture(scope="module")
def loads() -> dict[tuple[int, int], MixedLoad]:
    """Finished loads, so that two scenarios can check the same one."""
    return {}


@when(
    parsers.parse(
        "{callers:d} callers send {requests:d} enquiries, orders and downloads over all entries"
    ),
    target_fixture="load",
)
def mixed_load(
    cluster: Cluster, loads: dict[tuple[int, int], MixedLoad], callers: int, requests: int
) -> MixedLoad:
    previous_load = loads.get((callers, requests))
    if previous_load is not None:
        return previous_load
    load = MixedLoad([entry.http_port for entry in cluster.entries], SEED, callers, keys=400)
    loads[callers, requests] = load
    load.start(requests)
    load.finish()
    print(f"finished requests: {dict(load.finished_counts)}, failed: {len(load.failed_requests)}")
    return load


@then("no order ran twice and each order with a successful response ran")
def orders_once(cluster: Cluster, load: MixedLoad) -> None:
    runs = [run for run in cluster.executed_orders() if run != "warm-up"]
    assert len(runs) == len(set(runs))
    assert set(load.executed_order_ids) == set(runs)
    assert len(runs) > 500
