"""Guards against two owners of a key after freezes, losses and restarts."""

from __future__ import annotations

import http.client
import json

from typing import TYPE_CHECKING
from typing import Any

import pytest

from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

from tests.scenarios.systems import enquiry_document
from tests.scenarios.systems import running_system
from tests.scenarios.systems import wait_until_keys_served
from tools.bench.http_client import send_request
from tools.bench.load import MixedLoad
from tools.bench.ports import LOOPBACK
from tools.bench.process import ChildProcess
from tools.bench.process import eventually

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tools.bench.cluster import Cluster
    from tools.bench.cluster import Node

scenarios("one_owner.feature")

SERVER_COUNT = 4
SEED = 11
#: Time between enquiries of a caller; the scenarios test faults, not overload.
PAUSE_SECONDS = 0.05
#: Enough keys that no key is requested often enough to be isolated.
KEY_COUNT = 400
#: Enquiries that servers must accept before the next step compares owners.
MIN_ACCEPTANCE_COUNT = 40
#: Each caller may wait for the response of a frozen entry, more than once.
RECOVERY_TIMEOUT_SECONDS = 60.0


def _prepare(cluster: Cluster) -> None:
    for number in range(SERVER_COUNT):
        cluster.add_servers(f"stock{number}", "a", "stock", 1)


@pytest.fixture(scope="module")
def cluster(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Cluster]:
    folder = tmp_path_factory.mktemp("owner")
    with running_system(folder, _prepare, domains=("a",), replicas=("a",)) as system:
        yield system


@pytest.fixture(scope="module")
def load(cluster: Cluster) -> Iterator[MixedLoad]:
    ports = [entry.http_port for entry in cluster.entries]
    running = MixedLoad(
        ports, SEED, callers=4, kinds=["enquiry"], keys=KEY_COUNT, pause=PAUSE_SECONDS
    )
    running.start()
    yield running
    running.stopped.set()


class FaultState:
    """Process that a scenario has frozen or killed, and the owner that it looked up."""

    def __init__(self) -> None:
        self.child: ChildProcess | None = None
        self.entry: Node | None = None
        self.server = ""
        self.port = 0
        self.shard = 0
        self.fence = 0
        self.response: dict[str, Any] | None = None

    @property
    def process(self) -> ChildProcess:
        assert self.child is not None
        return self.child

    @property
    def node(self) -> Node:
        assert self.entry is not None
        return self.entry


@pytest.fixture
def faults() -> Iterator[FaultState]:
    state = FaultState()
    yield state
    for child in (state.child, state.entry and state.entry.process):
        if child is not None:
            child.thaw()


@given("a domain with 3 entries and 4 key-owning servers under a load of enquiries")
def domain(cluster: Cluster, load: MixedLoad) -> None:
    assert len(cluster.entries) == 3


def _locate_owner(cluster: Cluster, faults: FaultState, key: str) -> None:
    documents: list[dict[str, Any]] = []

    def is_served() -> bool:
        candidates = (enquiry_document(entry.http_port, key) for entry in cluster.entries)
        documents.extend(document for document in candidates if document is not None)
        return bool(documents)

    eventually(f"{key} is served", is_served)
    document = documents[-1]
    faults.server = document["server"]
    faults.fence = document["fence"]
    group = cluster.group_of(faults.server)
    faults.child = group.process
    faults.port = group.ports_by_identity[faults.server]
    grants = [
        event
        for event in cluster.ownership_events()
        if event["event"] == "granted" and event["fence"] == faults.fence
    ]
    faults.shard = next(grant["shard"] for grant in grants if grant["server"] == faults.server)


@when(parsers.parse('the owner of "{key}" is frozen'))
def freeze_owner(cluster: Cluster, faults: FaultState, key: str) -> None:
    _locate_owner(cluster, faults, key)
    faults.process.freeze()


@when(parsers.parse('the owner of "{key}" is killed'))
def kill_owner(cluster: Cluster, faults: FaultState, key: str) -> None:
    _locate_owner(cluster, faults, key)
    faults.process.kill()


@when(parsers.parse('the owner of "{key}" is killed and started again at once'))
def restart_owner(cluster: Cluster, faults: FaultState, key: str) -> None:
    _locate_owner(cluster, faults, key)
    faults.process.kill()
    faults.process.start()


@then(parsers.parse('another server serves "{key}"'))
def another_owner(cluster: Cluster, faults: FaultState, key: str) -> None:
    ports = [entry.http_port for entry in cluster.entries if entry is not faults.entry]

    def owner_changed() -> bool:
        documents = [enquiry_document(port, key) for port in ports]
        return any(
            document is not None and document["server"] != faults.server for document in documents
        )

    eventually(f"another server owns {key}", owner_changed)


@when("the frozen server is resumed")
def thaw_server(faults: FaultState) -> None:
    faults.process.thaw()


@then("it refuses a request with its old fence as not run")
def refuses_old_fence(faults: FaultState) -> None:
    headers = {"Medlarpass-Shard": str(faults.shard), "Medlarpass-Fence": str(faults.fence)}
    response = send_request("GET", faults.port, "/stock/roll-1", headers=headers)
    assert response is not None
    assert response.status == 409
    assert response.headers["medlarpass-outcome"] == "not-run"


@then("enquiries are served again")
def enquiries_served_again(cluster: Cluster) -> None:
    before = len(cluster.ownership_events())
    eventually(
        "servers accept enquiries",
        lambda: len(cluster.ownership_events()) > before + MIN_ACCEPTANCE_COUNT,
        timeout=RECOVERY_TIMEOUT_SECONDS,
    )


@then("all sample keys are served")
def all_served(cluster: Cluster) -> None:
    for entry in cluster.entries:
        if entry.child.running and not entry.child.frozen:
            wait_until_keys_served(entry.http_port, 10.0)


def _coordinator(cluster: Cluster) -> Node:
    eventually("a coordinator is reported", lambda: cluster.coordinator("a"))
    coordinator = cluster.coordinator("a")
    assert coordinator is not None
    return coordinator


@when("an entry that is not the coordinator is frozen")
def freeze_entry(cluster: Cluster, faults: FaultState) -> None:
    holder = _coordinator(cluster)
    faults.entry = next(entry for entry in reversed(cluster.entries) if entry is not holder)
    faults.entry.child.freeze()


@when(
    parsers.parse(
        'a caller sends an enquiry for "{key}" to the frozen entry and the entry is resumed'
    )
)
def request_from_frozen_entry(faults: FaultState, key: str) -> None:
    connection = http.client.HTTPConnection(LOOPBACK, faults.node.http_port, timeout=20)
    connection.request("GET", f"/stock/{key}")
    faults.node.child.thaw()
    response = connection.getresponse()
    body = response.read()
    assert response.status == 200, body
    faults.response = json.loads(body)
    connection.close()


@then("the caller gets the response of the current owner")
def response_of_owner(faults: FaultState) -> None:
    assert faults.response is not None
    assert faults.response["server"] != faults.server
    assert faults.response["fence"] > faults.fence


@when("the killed server is started again")
def start_server(faults: FaultState) -> None:
    faults.process.start()


@when("the coordinator is killed")
def kill_coordinator(cluster: Cluster, faults: FaultState) -> None:
    faults.entry = _coordinator(cluster)
    faults.entry.child.kill()


@when("the coordinator is frozen")
def freeze_coordinator(cluster: Cluster, faults: FaultState) -> None:
    faults.entry = _coordinator(cluster)
    faults.entry.child.freeze()


@then("another entry becomes coordinator")
def other_coordinator(cluster: Cluster, faults: FaultState) -> None:
    eventually(
        "another entry is coordinator",
        lambda: cluster.coordinator("a") not in (None, faults.entry),
    )


@when("the killed entry is started again")
def start_entry(faults: FaultState) -> None:
    faults.node.child.start()


@when("the frozen entry is resumed")
def thaw_entry(faults: FaultState) -> None:
    faults.node.child.thaw()


@when("the load ends")
def end_load(load: MixedLoad) -> None:
    load.stop()
    print(f"finished requests: {dict(load.finished_counts)}, failed: {len(load.failed_requests)}")


@when(parsers.parse("{callers:d} callers send {requests:d} enquiries without a pause"))
def send_without_pause(cluster: Cluster, callers: int, requests: int) -> None:
    ports = [entry.http_port for entry in cluster.entries]
    load = MixedLoad(ports, SEED + 1, callers, kinds=["enquiry"], deadline_ms=500)
    load.start(requests)
    load.finish()
    print(f"finished requests: {dict(load.finished_counts)}, failed: {len(load.failed_requests)}")
