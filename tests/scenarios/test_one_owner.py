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

from tests.scenarios.systems import owner_of
from tests.scenarios.systems import running_system
from tests.scenarios.systems import wait_keys_served
from tools.bench.http_call import call
from tools.bench.load import MixedLoad
from tools.bench.ports import LOOPBACK
from tools.bench.process import ChildProcess
from tools.bench.process import eventually

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tools.bench.cluster import Cluster
    from tools.bench.cluster import Node

scenarios("one_owner.feature")

SERVERS = 4
SEED = 11
#: Seconds between two enquiries of a caller: faults are looked for here, not overload.
PAUSE = 0.05
#: So many that none is asked for often enough to be isolated.
KEYS = 400
#: Enquiries that have to be accepted before owners are compared again.
ACCEPTANCES = 40
#: Seconds; all callers may have reached a frozen entry and wait for it, more than once.
PATIENCE = 60.0


def _prepare(cluster: Cluster) -> None:
    for number in range(SERVERS):
        cluster.add_servers(f"stock{number}", "a", "stock", 1)


@pytest.fixture(scope="module")
def cluster(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Cluster]:
    folder = tmp_path_factory.mktemp("owner")
    with running_system(folder, _prepare, domains=("a",), replicas=("a",)) as system:
        yield system


@pytest.fixture(scope="module")
def load(cluster: Cluster) -> Iterator[MixedLoad]:
    ports = [entry.front for entry in cluster.entries]
    running = MixedLoad(ports, SEED, callers=4, kinds=["enquiry"], keys=KEYS, pause=PAUSE)
    running.start()
    yield running
    running.stopped.set()


class Faults:
    """What a scenario has frozen or killed."""

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
def faults() -> Iterator[Faults]:
    state = Faults()
    yield state
    for child in (state.child, state.entry and state.entry.process):
        if child is not None:
            child.thaw()


@given("a domain with 3 entries and 4 key-owning servers under a load of enquiries")
def domain(cluster: Cluster, load: MixedLoad) -> None:
    assert len(cluster.entries) == 3


def _find_owner(cluster: Cluster, faults: Faults, key: str) -> None:
    found: list[dict[str, Any]] = []

    def answered() -> bool:
        responses = (owner_of(entry.front, key) for entry in cluster.entries)
        found.extend(response for response in responses if response is not None)
        return bool(found)

    eventually(f"{key} is served", answered)
    response = found[-1]
    faults.server = response["server"]
    faults.fence = response["fence"]
    group = cluster.group_of(faults.server)
    faults.child = group.process
    faults.port = group.identities[faults.server]
    grants = [
        event
        for event in cluster.ownership_events()
        if event["event"] == "granted" and event["fence"] == faults.fence
    ]
    faults.shard = next(each["shard"] for each in grants if each["server"] == faults.server)


@when(parsers.parse('the owner of "{key}" is frozen'))
def freeze_owner(cluster: Cluster, faults: Faults, key: str) -> None:
    _find_owner(cluster, faults, key)
    faults.process.freeze()


@when(parsers.parse('the owner of "{key}" is killed'))
def kill_owner(cluster: Cluster, faults: Faults, key: str) -> None:
    _find_owner(cluster, faults, key)
    faults.process.kill()


@when(parsers.parse('the owner of "{key}" is killed and started again at once'))
def restart_owner(cluster: Cluster, faults: Faults, key: str) -> None:
    _find_owner(cluster, faults, key)
    faults.process.kill()
    faults.process.start()


@then(parsers.parse('another server answers for "{key}"'))
def another_owner(cluster: Cluster, faults: Faults, key: str) -> None:
    ports = [each.front for each in cluster.entries if each is not faults.entry]

    def moved() -> bool:
        responses = [owner_of(port, key) for port in ports]
        return any(each is not None and each["server"] != faults.server for each in responses)

    eventually(f"another server owns {key}", moved)


@when("the frozen server goes on")
def thaw_server(faults: Faults) -> None:
    faults.process.thaw()


@then("it refuses its old fence as not run")
def refuses_old_fence(faults: Faults) -> None:
    headers = {"Medlarpass-Shard": str(faults.shard), "Medlarpass-Fence": str(faults.fence)}
    response = call("GET", faults.port, "/stock/roll-1", headers=headers)
    assert response is not None
    assert response.status == 409
    assert response.headers["medlarpass-outcome"] == "not-run"


@then("enquiries are answered again")
def answered_again(cluster: Cluster) -> None:
    before = len(cluster.ownership_events())
    eventually(
        "servers accept enquiries",
        lambda: len(cluster.ownership_events()) > before + ACCEPTANCES,
        timeout=PATIENCE,
    )


@then("all sample keys are served")
def all_served(cluster: Cluster) -> None:
    for entry in cluster.entries:
        if entry.child.running and not entry.child.frozen:
            wait_keys_served(entry.front, 10.0)


def _coordinator(cluster: Cluster) -> Node:
    eventually("a coordinator reports", lambda: cluster.coordinator("a"))
    found = cluster.coordinator("a")
    assert found is not None
    return found


@when("an entry that is not the coordinator is frozen")
def freeze_entry(cluster: Cluster, faults: Faults) -> None:
    holder = _coordinator(cluster)
    faults.entry = next(each for each in reversed(cluster.entries) if each is not holder)
    faults.entry.child.freeze()


@when(parsers.parse('a caller asks the frozen entry for "{key}" and the entry goes on'))
def ask_frozen_entry(faults: Faults, key: str) -> None:
    connection = http.client.HTTPConnection(LOOPBACK, faults.node.front, timeout=20)
    connection.request("GET", f"/stock/{key}")
    faults.node.child.thaw()
    response = connection.getresponse()
    body = response.read()
    assert response.status == 200, body
    faults.response = json.loads(body)
    connection.close()


@then("the caller gets the answer of the present owner")
def answer_of_owner(faults: Faults) -> None:
    assert faults.response is not None
    assert faults.response["server"] != faults.server
    assert faults.response["fence"] > faults.fence


@when("the killed server is started again")
def start_server(faults: Faults) -> None:
    faults.process.start()


@when("the coordinator is killed")
def kill_coordinator(cluster: Cluster, faults: Faults) -> None:
    faults.entry = _coordinator(cluster)
    faults.entry.child.kill()


@when("the coordinator is frozen")
def freeze_coordinator(cluster: Cluster, faults: Faults) -> None:
    faults.entry = _coordinator(cluster)
    faults.entry.child.freeze()


@then("another entry becomes coordinator")
def other_coordinator(cluster: Cluster, faults: Faults) -> None:
    eventually(
        "another entry is coordinator",
        lambda: cluster.coordinator("a") not in (None, faults.entry),
    )


@when("the killed entry is started again")
def start_entry(faults: Faults) -> None:
    faults.node.child.start()


@when("the frozen entry goes on")
def thaw_entry(faults: Faults) -> None:
    faults.node.child.thaw()


@when("the load ends")
def end_load(load: MixedLoad) -> None:
    load.stop()
    print(f"finished requests: {dict(load.finished_counts)}, failed: {len(load.failed_requests)}")


@when(parsers.parse("{callers:d} callers send {requests:d} enquiries without a pause"))
def fast_load(cluster: Cluster, callers: int, requests: int) -> None:
    ports = [entry.front for entry in cluster.entries]
    fast = MixedLoad(ports, SEED + 1, callers, kinds=["enquiry"], deadline_ms=500)
    fast.start(requests)
    fast.finish()
    print(f"finished requests: {dict(fast.finished_counts)}, failed: {len(fast.failed_requests)}")
