"""Guards against requests that are aborted by a graceful shutdown."""

from __future__ import annotations

import itertools
import time

from concurrent.futures import Future
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

import pytest

from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

from examples.standin.server import download_fill
from tests.scenarios.systems import is_ok
from tests.scenarios.systems import running_system
from tests.scenarios.systems import send_order
from tests.scenarios.systems import wait_until_keys_served
from tests.scenarios.systems import wait_until_served
from tools.bench.http_client import send_request
from tools.bench.process import eventually

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tools.bench.cluster import Cluster
    from tools.bench.cluster import Node
    from tools.bench.http_client import HttpResponse

scenarios("planned_stop.feature")

STOP_NUMBERS = itertools.count()
ENTRY_INDEXES = {"second": 1, "third": 2}
#: 40 chunks of 64 KiB, 100 ms each: about 4 s.
DOWNLOAD_PATH = "/download/2621440"
CHUNK_DELAY_MS = "100"
ORDER_WORK_MS = 2000


def _prepare(cluster: Cluster) -> None:
    for pool in ("stock", "orders", "artwork"):
        cluster.add_servers(pool, "a", pool, 2)


@pytest.fixture(scope="module")
def cluster(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Cluster]:
    folder = tmp_path_factory.mktemp("stop")
    with running_system(folder, _prepare, domains=("a",), replicas=("a",) * 3) as system:
        yield system


class RequestsInFlight:
    """A download and an order in flight through an entry."""

    def __init__(self) -> None:
        self.pool = ThreadPoolExecutor(2)
        self.download: Future[HttpResponse | None] | None = None
        self.order: Future[HttpResponse | None] | None = None
        self.name = f"stop-{next(STOP_NUMBERS)}"
        self.node: Node | None = None

    @property
    def stopped_node(self) -> Node:
        assert self.node is not None
        return self.node


@pytest.fixture
def flight(cluster: Cluster) -> Iterator[RequestsInFlight]:
    state = RequestsInFlight()
    yield state
    state.pool.shutdown()
    if state.node is not None and not state.node.child.running:
        state.node.child.start()


@given("a domain with 3 entries, 3 control replicas and servers of each kind")
def domain(cluster: Cluster) -> None:
    wait_until_served(cluster)


def _download_count(cluster: Cluster) -> int:
    return sum(event["event"] == "download" for event in cluster.ownership_events())


@when(parsers.parse("a download and an order are in flight through the {position} entry"))
def in_flight(cluster: Cluster, flight: RequestsInFlight, position: str) -> None:
    flight.node = cluster.entries[ENTRY_INDEXES[position]]
    port = flight.node.http_port
    previous_count = _download_count(cluster)
    headers = {"Standin-Work-Ms": CHUNK_DELAY_MS}
    flight.download = flight.pool.submit(
        send_request, "GET", port, DOWNLOAD_PATH, None, headers, 30
    )
    flight.order = flight.pool.submit(
        send_order, port, flight.name, flight.name, work_ms=ORDER_WORK_MS
    )
    eventually("the download runs", lambda: _download_count(cluster) > previous_count)
    eventually("the order runs", lambda: flight.name in cluster.executed_orders())


@when(parsers.parse("the {position} entry gets SIGTERM"))
def terminate(flight: RequestsInFlight, position: str) -> None:
    flight.stopped_node.child.terminate()


@when(parsers.parse("the {position} entry gets SIGTERM twice"))
def terminate_twice(flight: RequestsInFlight, position: str) -> None:
    flight.stopped_node.child.terminate()
    eventually(
        "the entry is not ready",
        lambda: (response := send_request("GET", flight.stopped_node.platform_port, "/readyz"))
        and response.status != 200,
    )
    flight.stopped_node.child.terminate()


@then("the download and the order get complete responses")
def responses_complete(flight: RequestsInFlight) -> None:
    assert flight.download is not None
    assert flight.order is not None
    download = flight.download.result()
    assert download is not None, "the download was aborted"
    size = int(DOWNLOAD_PATH.rsplit("/", 1)[1])
    assert download.body == download_fill(DOWNLOAD_PATH) * size
    response = flight.order.result()
    assert response is not None, "the order was aborted"
    assert response.status == 200, response.body
    assert response.json()["order"] == flight.name


@then(parsers.parse("the entry exits with status {status:d}"))
def exits(flight: RequestsInFlight, status: int) -> None:
    assert flight.stopped_node.child.wait() == status, flight.stopped_node.child.log()[-2000:]


@then("the order ran once")
def ran_once(cluster: Cluster, flight: RequestsInFlight) -> None:
    assert cluster.executed_orders().count(flight.name) == 1


@then("all sample keys are served by the other entries")
def others_serve(cluster: Cluster, flight: RequestsInFlight) -> None:
    for entry in cluster.entries:
        if entry is not flight.node:
            wait_until_keys_served(entry.http_port)


@when("the control leader gets SIGTERM")
def stop_leader(cluster: Cluster, flight: RequestsInFlight) -> None:
    flight.node = cluster.leader()
    flight.stopped_node.child.terminate()


@then("it exits with status 0")
def leader_exits(flight: RequestsInFlight) -> None:
    assert flight.stopped_node.child.wait() == 0, flight.stopped_node.child.log()[-2000:]


@then("another replica leads and accepts a change")
def change_accepted(cluster: Cluster, flight: RequestsInFlight) -> None:
    started_at = time.monotonic()
    others = [node for node in cluster.control if node is not flight.node]
    item = {"kind": "pool", "name": "spare", "expected_version": 0, "document": {}}

    def accepted() -> bool:
        return is_ok(cluster.send_change("after-stop", [item], others[0]))

    eventually("a change is accepted", accepted)
    print(f"a change was accepted {time.monotonic() - started_at:.3f} s after the leader's exit")
