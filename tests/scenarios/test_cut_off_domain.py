"""Guards against two owners across a partition and unnecessary refusals in the cut-off domain."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

import pytest

from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

from tests.scenarios.systems import SAMPLE_KEYS
from tests.scenarios.systems import enquiry_document
from tests.scenarios.systems import is_ok
from tests.scenarios.systems import running_system
from tests.scenarios.systems import send_order
from tests.scenarios.systems import wait_until_keys_served
from tools.bench.http_client import send_request
from tools.bench.process import eventually

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tools.bench.cluster import Cluster

scenarios("cut_off_domain.feature")

KEYED_ORDER_COUNT = 5


def _prepare(cluster: Cluster) -> None:
    for domain in cluster.domains:
        cluster.add_servers(f"stock-{domain}", domain, "stock", 2)
        cluster.add_servers(f"orders-{domain}", domain, "orders", 2)
        cluster.add_servers(f"artwork-{domain}", domain, "artwork", 1)


@pytest.fixture(scope="module")
def cluster(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Cluster]:
    with running_system(tmp_path_factory.mktemp("cut"), _prepare) as system:
        yield system


@pytest.fixture
def partition(cluster: Cluster) -> Iterator[dict[str, str]]:
    """State of the partition: the cut-off domain (``domain``) and its own keys (``keys``)."""
    yield {}
    cluster.relays.heal()


@given("3 domains with 3 entries each, 5 control replicas and a delegation term of 4 s")
def system(cluster: Cluster) -> None:
    assert len(cluster.entries) == 9

    def all_domains_own_shards() -> bool:
        domains = {grant["domain"] for grant in cluster.fetch_report("grants")}
        return domains == set(cluster.domains)

    eventually("each domain owns shards", all_domains_own_shards, 30)


@when(parsers.parse('domain "{domain}" is cut off'))
def cut_off(cluster: Cluster, partition: dict[str, str], domain: str) -> None:
    partition["domain"] = domain
    port = cluster.entries_of_domain(domain)[0].http_port
    owners = {key: (enquiry_document(port, key) or {}).get("server", "") for key in SAMPLE_KEYS}
    own_keys = [key for key, server in owners.items() if server.startswith(f"stock-{domain}")]
    assert own_keys
    partition["keys"] = " ".join(own_keys)
    cluster.relays.isolate(domain)


@then("it keeps serving keys, orders without a key and downloads of its own servers")
def keeps_serving(cluster: Cluster, partition: dict[str, str]) -> None:
    port = cluster.entries_of_domain(partition["domain"])[0].http_port
    own_keys = partition["keys"].split()
    headers = {"Medlarpass-Deadline-Ms": "1000"}
    with ThreadPoolExecutor(len(own_keys)) as pool:
        responses = list(
            pool.map(
                lambda key: send_request("GET", port, f"/stock/{key}", headers=headers), own_keys
            )
        )
    served_count = sum(is_ok(response) for response in responses)
    print(f"keys of the cut-off domain that it serves: {served_count} of {len(own_keys)}")
    eventually("an order without a key runs", lambda: is_ok(send_order(port, "cut-off-plain")))
    eventually("a download is served", lambda: is_ok(send_request("GET", port, "/download/1000")))
    assert served_count == len(own_keys)


@then("it refuses orders with a key with an unknown outcome")
def keyed_refused(cluster: Cluster, partition: dict[str, str]) -> None:
    port = cluster.entries_of_domain(partition["domain"])[1].http_port
    for number in range(KEYED_ORDER_COUNT):
        name = f"cut-off-keyed-{number}"
        response = send_order(port, name, name)
        assert response is not None
        assert response.status == 503, response.body
        assert response.headers["medlarpass-outcome"] == "unknown"


@then("all keys are served by the other domains after the delegation term")
def others_serve(cluster: Cluster, partition: dict[str, str]) -> None:
    for entry in cluster.entries:
        if entry.domain == partition["domain"]:
            continue
        wait_until_keys_served(entry.http_port, 15.0)
        servers = {
            (enquiry_document(entry.http_port, key) or {}).get("server", "") for key in SAMPLE_KEYS
        }
        assert not any(server.startswith(f"stock-{partition['domain']}") for server in servers)


@when("the partition is healed")
def heal(cluster: Cluster) -> None:
    cluster.relays.heal()


@then("all keys are served in all domains")
def all_serve(cluster: Cluster) -> None:
    for entry in cluster.entries:
        wait_until_keys_served(entry.http_port, 15.0)


@then("orders that were refused in the cut-off domain did not run")
def refused_not_run(cluster: Cluster) -> None:
    assert [name for name in cluster.executed_orders() if name.startswith("cut-off-keyed")] == []
