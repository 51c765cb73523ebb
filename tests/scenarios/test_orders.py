"""Guards against orders that run twice or that run although they were reported as not run."""

from __future__ import annotations

import itertools

from collections import Counter
from concurrent.futures import Future
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

import pytest

from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

from tests.scenarios.systems import is_ok
from tests.scenarios.systems import running_system
from tests.scenarios.systems import send_order
from tests.scenarios.systems import wait_until_served
from tools.bench.process import ChildProcess
from tools.bench.process import eventually

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tools.bench.cluster import Cluster
    from tools.bench.http_client import HttpResponse

scenarios("orders.feature")

ORDER_COUNT = 60
ORDER_COUNT_BEFORE_LOSS = 15
ORDER_NUMBERS = itertools.count()


def _prepare(cluster: Cluster) -> None:
    cluster.add_servers("order", "a", "orders", 3)


@pytest.fixture(scope="module")
def cluster(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Cluster]:
    folder = tmp_path_factory.mktemp("orders")
    with running_system(folder, _prepare, domains=("a",), replicas=("a",) * 3) as system:
        yield system


class OrdersState:
    """Orders of a scenario and their responses."""

    def __init__(self) -> None:
        self.name = f"order-{next(ORDER_NUMBERS)}"
        self.pool = ThreadPoolExecutor(8)
        self.first_response: Future[HttpResponse | None] | None = None
        self.resent_response: HttpResponse | None = None
        self.paired_responses: dict[str, list[HttpResponse | None]] = {}
        self.responses: dict[str, HttpResponse | None] = {}
        self.killed: ChildProcess | None = None


@pytest.fixture
def orders(cluster: Cluster) -> Iterator[OrdersState]:
    state = OrdersState()
    yield state
    cluster.entries[0].child.thaw()
    state.pool.shutdown()


def _runs(cluster: Cluster) -> Counter[str]:
    return Counter(cluster.executed_orders())


@given("a domain with 3 entries, 3 control replicas and 3 order servers")
def domain(cluster: Cluster) -> None:
    assert len(cluster.entries) == 3
    assert len(cluster.control) == 3
    eventually("there is a leader", cluster.leader)


@when(parsers.parse("{count:d} orders are sent through two entries at the same time"))
def send_pairs(cluster: Cluster, orders: OrdersState, count: int) -> None:
    ports = [entry.http_port for entry in cluster.entries[:2]]
    for number in range(count):
        name = f"{orders.name}-{number}"
        calls = [orders.pool.submit(send_order, port, name, name) for port in ports]
        orders.paired_responses[name] = [call.result() for call in calls]


@then("each of them ran once")
def pairs_once(cluster: Cluster, orders: OrdersState) -> None:
    runs = _runs(cluster)
    assert {name: runs[name] for name in orders.paired_responses} == dict.fromkeys(
        orders.paired_responses, 1
    )


@then("both callers got the recorded response or an unknown outcome")
def pairs_got_responses(orders: OrdersState) -> None:
    for name, responses in orders.paired_responses.items():
        successful = [response for response in responses if is_ok(response)]
        assert successful, name
        for response in responses:
            assert response is not None
            if response.status != 200:
                assert (response.status, response.headers["medlarpass-outcome"]) == (409, "unknown")
        assert (
            len({response.json()["request"] for response in successful if response is not None})
            == 1
        )


@when(parsers.parse("an order that takes {work_ms:d} ms runs through the first entry"))
def slow_order(cluster: Cluster, orders: OrdersState, work_ms: int) -> None:
    port = cluster.entries[0].http_port
    orders.first_response = orders.pool.submit(
        send_order, port, orders.name, orders.name, work_ms=work_ms
    )
    eventually("the order runs", lambda: orders.name in cluster.executed_orders())


@when("the first entry is frozen")
def freeze_entry(cluster: Cluster) -> None:
    cluster.entries[0].child.freeze()


@when("the first entry is killed")
def kill_entry(cluster: Cluster) -> None:
    cluster.entries[0].child.kill()


@when("the first entry is started again")
def start_entry(cluster: Cluster) -> None:
    cluster.entries[0].child.start()


@when("the first entry is resumed")
def thaw_entry(cluster: Cluster) -> None:
    cluster.entries[0].child.thaw()


@when("the caller resends the order through another entry")
def resend(cluster: Cluster, orders: OrdersState) -> None:
    orders.resent_response = send_order(cluster.entries[1].http_port, orders.name, orders.name)


@when("an order succeeds and another body is sent with its key")
def other_body(cluster: Cluster, orders: OrdersState) -> None:
    assert is_ok(send_order(cluster.entries[0].http_port, orders.name, orders.name))
    orders.resent_response = send_order(
        cluster.entries[1].http_port, orders.name, orders.name, body=b"9 cartons"
    )


@then(parsers.parse('the resent order gets {status:d} with outcome "{outcome}"'))
def resent_refused(orders: OrdersState, status: int, outcome: str) -> None:
    assert orders.resent_response is not None
    assert orders.resent_response.status == status, orders.resent_response.body
    assert orders.resent_response.headers["medlarpass-outcome"] == outcome


@then("the first caller gets the response of the server")
def first_caller_got_response(orders: OrdersState) -> None:
    assert orders.first_response is not None
    response = orders.first_response.result()
    assert response is not None
    assert response.status == 200, response.body
    assert response.json()["order"] == orders.name


@then("the order resent again gets the recorded response")
def recorded(cluster: Cluster, orders: OrdersState) -> None:
    response = send_order(cluster.entries[1].http_port, orders.name, orders.name)
    assert response is not None
    assert response.status == 200, response.body
    assert response.headers["medlarpass-replayed"] == "true"


@then("the order ran once")
def ran_once(cluster: Cluster, orders: OrdersState) -> None:
    assert _runs(cluster)[orders.name] == 1


@when("the control leader is killed while orders are sent")
def kill_leader(cluster: Cluster, orders: OrdersState) -> None:
    leader = cluster.leader()
    assert leader is not None
    orders.killed = leader.child
    for number in range(ORDER_COUNT):
        if number == ORDER_COUNT_BEFORE_LOSS:
            orders.killed.kill()
        name = f"{orders.name}-{number}"
        port = cluster.entries[number % 3].http_port
        orders.responses[name] = send_order(port, name, name)


@then("orders that were reported as not run did not run")
def not_run(cluster: Cluster, orders: OrdersState) -> None:
    runs = _runs(cluster)
    reported_not_run = [
        name
        for name, response in orders.responses.items()
        if response is not None and response.headers.get("medlarpass-outcome") == "not-run"
    ]
    print(
        f"orders reported as not run around the loss of the leader: {len(reported_not_run)}"
        f" of {len(orders.responses)}"
    )
    assert [name for name in reported_not_run if runs[name]] == []


@then("orders that are resent with their key until they succeed ran once")
def resent_once(cluster: Cluster, orders: OrdersState) -> None:
    for name, response in orders.responses.items():
        if not is_ok(response):
            port = cluster.entries[1].http_port
            eventually(f"{name} succeeds", lambda p=port, n=name: is_ok(send_order(p, n, n)))
    runs = _runs(cluster)
    assert {name: runs[name] for name in orders.responses} == dict.fromkeys(orders.responses, 1)


@when("the killed replica is started again")
def start_replica(orders: OrdersState) -> None:
    assert orders.killed is not None
    orders.killed.start()


@then("orders are served by all entries")
def all_entries_serve(cluster: Cluster) -> None:
    wait_until_served(cluster)


@when("two control replicas are killed")
def kill_majority(cluster: Cluster) -> None:
    for node in cluster.control[:2]:
        node.child.kill()


@when(parsers.parse("{keyed_count:d} orders with a key and {unkeyed_count:d} without are sent"))
def send_both_kinds(
    cluster: Cluster, orders: OrdersState, keyed_count: int, unkeyed_count: int
) -> None:
    names = [f"{orders.name}-keyed-{number}" for number in range(keyed_count)]
    names += [f"{orders.name}-plain-{number}" for number in range(unkeyed_count)]
    calls = {}
    for name, entry in zip(names, itertools.cycle(cluster.entries), strict=False):
        key = name if "keyed" in name else None
        calls[name] = orders.pool.submit(send_order, entry.http_port, name, key)
    orders.responses = {name: call.result() for name, call in calls.items()}


@then("the orders with a key are refused with an unknown outcome and did not run")
def keyed_refused(cluster: Cluster, orders: OrdersState) -> None:
    for name, response in orders.responses.items():
        if "keyed" in name:
            assert response is not None, name
            assert response.status == 503, response.body
            assert response.headers["medlarpass-outcome"] == "unknown"
    keyed_did_not_run(cluster, orders)


@then("the refused orders still did not run")
def keyed_did_not_run(cluster: Cluster, orders: OrdersState) -> None:
    runs = _runs(cluster)
    assert [name for name in orders.responses if "keyed" in name and runs[name]] == []


@then("the orders without a key ran once")
def unkeyed_ran(cluster: Cluster, orders: OrdersState) -> None:
    runs = _runs(cluster)
    unkeyed = [name for name in orders.responses if "plain" in name]
    assert {name: runs[name] for name in unkeyed} == dict.fromkeys(unkeyed, 1)
    assert all(is_ok(orders.responses[name]) for name in unkeyed)


@when("the killed replicas are started again")
def start_majority(cluster: Cluster) -> None:
    for node in cluster.control[:2]:
        node.child.start()
    eventually("there is a leader", cluster.leader)
