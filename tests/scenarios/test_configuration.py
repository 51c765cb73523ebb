"""Guards against lost, forked or reverted configurations."""

from __future__ import annotations

import itertools
import json
import shutil

from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

import pytest

from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

from tests.scenarios.systems import is_ok
from tests.scenarios.systems import running_system
from tests.scenarios.systems import send_order
from tools.bench.http_client import send_request
from tools.bench.process import eventually

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tools.bench.cluster import Cluster
    from tools.bench.cluster import Node
    from tools.bench.http_client import HttpResponse

scenarios("configuration.feature")

NUMBERS = itertools.count(1)
REVISION_METRIC = "medlarpass_configuration_revision"
POOL = "orders"


def _prepare(cluster: Cluster) -> None:
    cluster.add_servers("order-a", "a", POOL, 2)
    cluster.add_servers("order-c", "c", POOL, 2)


@pytest.fixture(scope="module")
def cluster(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Cluster]:
    with running_system(tmp_path_factory.mktemp("tables"), _prepare, entries=2) as system:
        yield system


class ChangesState:
    """Changes of a scenario and their outcomes."""

    def __init__(self) -> None:
        self.responses: list[HttpResponse | None] = []
        self.change_id = ""
        self.items: list[dict[str, Any]] = []
        self.first_outcome: dict[str, Any] = {}
        self.nodes: list[Node] = []
        self.revisions_before: dict[str, int] = {}
        self.revisions_seen: dict[str, int] = {}
        self.identities: dict[str, str] = {}


@pytest.fixture
def changes() -> ChangesState:
    return ChangesState()


def _current_version(cluster: Cluster) -> int:
    response = next(
        response
        for node in cluster.control
        if is_ok(response := send_request("GET", node.http_port, f"/v1/pools/{POOL}", timeout=3))
    )
    assert response is not None
    return int(response.json()["version"])


def _items(version: int, moves: int) -> list[dict[str, Any]]:
    document = {"moves_per_minute": moves}
    return [{"kind": "pool", "name": POOL, "expected_version": version, "document": document}]


def _send_until_accepted(cluster: Cluster, changes: ChangesState) -> None:
    """Send a change with the same id until it is accepted."""
    changes.change_id = f"change-{next(NUMBERS)}"
    changes.items = _items(_current_version(cluster), next(NUMBERS))

    def accepted() -> bool:
        for node in cluster.control:
            if not node.child.running:
                continue
            response = _send(node, changes.change_id, changes.items)
            if is_ok(response):
                assert response is not None
                changes.first_outcome = response.json()
                return True
        return False

    eventually("the change is accepted", accepted)


def _send(node: Node, change_id: str, items: list[dict[str, Any]]) -> HttpResponse | None:
    body = json.dumps({"change_id": change_id, "items": items}).encode()
    return send_request("POST", node.http_port, "/v1/changes", body, timeout=8)


def _entry_revisions(cluster: Cluster) -> dict[str, int]:
    return {
        name: revision for name, revision in cluster.revisions_in_force().items() if "entry" in name
    }


@given("3 domains with 2 entries each and 5 control replicas")
def system(cluster: Cluster) -> None:
    assert len(cluster.entries) == 6
    eventually("there is a leader", cluster.leader)


@when(
    parsers.parse("{count:d} operators change the same pool with the same expected version at once")
)
def race(cluster: Cluster, changes: ChangesState, count: int) -> None:
    version = _current_version(cluster)
    with ThreadPoolExecutor(count) as pool:
        calls = [
            pool.submit(
                _send,
                cluster.control[number % len(cluster.control)],
                f"race-{number}",
                _items(version, 1000 + number),
            )
            for number in range(count)
        ]
        changes.responses = [call.result() for call in calls]


@then("exactly one change is accepted and the others get a version conflict")
def one_accepted(cluster: Cluster, changes: ChangesState) -> None:
    outcomes = sorted(
        (response.status, response.json().get("code", "")) if response else (0, "")
        for response in changes.responses
    )
    assert outcomes[0][0] == 200
    assert outcomes[1:] == [(409, "version_conflict")] * (len(outcomes) - 1)
    changes.first_outcome = next(
        response.json() for response in changes.responses if response and response.status == 200
    )


@then("the accepted change is in force at all entries")
def in_force(cluster: Cluster, changes: ChangesState) -> None:
    expected_revision = changes.first_outcome["revision"]

    def is_reached() -> bool:
        revisions = _entry_revisions(cluster)
        return (
            len(revisions) == len(cluster.entries) and min(revisions.values()) >= expected_revision
        )

    eventually(f"revision {expected_revision} is in force at all entries", is_reached)


@when("a change is sent, its response is lost and it is resent through each replica")
def resend_through_all(cluster: Cluster, changes: ChangesState) -> None:
    _send_until_accepted(cluster, changes)
    changes.responses = [_send(node, changes.change_id, changes.items) for node in cluster.control]


@then("each replica returns the first outcome")
def same_outcome(changes: ChangesState) -> None:
    assert [response and response.json() for response in changes.responses] == [
        changes.first_outcome
    ] * 5


@when("a change is accepted and the leader is killed at once")
def kill_leader(cluster: Cluster, changes: ChangesState) -> None:
    leader = cluster.leader()
    assert leader is not None
    _send_until_accepted(cluster, changes)
    leader.child.kill()
    changes.nodes = [leader]


@then("the change resent through another replica has the first outcome")
def resent_elsewhere(cluster: Cluster, changes: ChangesState) -> None:
    other = next(node for node in cluster.control if node not in changes.nodes)

    def is_accepted() -> bool:
        response = _send(other, changes.change_id, changes.items)
        if response is None or response.status != 200:
            return False
        assert response.json() == changes.first_outcome
        return True

    eventually("the resent change is accepted", is_accepted)


@when("the killed replica is started again")
def start_replica(changes: ChangesState) -> None:
    changes.nodes[0].child.start()


@then("all replicas show the accepted change")
def all_show(cluster: Cluster, changes: ChangesState) -> None:
    for node in cluster.control:

        def is_shown(port: int = node.http_port) -> bool:
            response = send_request("GET", port, "/v1/pools?stale=true", timeout=3)
            if response is None or response.status != 200:
                return False
            return bool(response.json()["revision"] >= changes.first_outcome["revision"])

        eventually(f"{node.name} shows revision {changes.first_outcome['revision']}", is_shown)


@when(parsers.parse('domain "{domain}" is cut off'))
def cut_off(cluster: Cluster, changes: ChangesState, domain: str) -> None:
    _send_until_accepted(cluster, changes)
    in_force(cluster, changes)
    changes.revisions_before = _entry_revisions(cluster)
    cluster.relays.isolate(domain)


@when(parsers.parse("{count:d} changes are accepted"))
def accept_many(cluster: Cluster, changes: ChangesState, count: int) -> None:
    _send_until_accepted(cluster, changes)
    first_change = (changes.change_id, changes.items, changes.first_outcome)
    version = _current_version(cluster)
    replica = cluster.control[0]
    for _ in range(count - 1):
        response = _send(replica, f"change-{next(NUMBERS)}", _items(version, next(NUMBERS)))
        assert response is not None
        assert response.status == 200, response.body
        changes.first_outcome = response.json()
        version += 1
    changes.change_id, changes.items, outcome = first_change
    changes.identities["first outcome"] = str(outcome["revision"])


def _metric_value(node: Node, name: str) -> float | None:
    response = send_request("GET", node.platform_port, "/metrics", timeout=3)
    if response is None:
        return None
    for line in response.body.decode().splitlines():
        if line.startswith(name) and not line.startswith("#"):
            return float(line.rsplit(" ", 1)[1])
    return None


@then(parsers.parse('the entries of domain "{domain}" keep their previous revision'))
def keeps_revision(cluster: Cluster, changes: ChangesState, domain: str) -> None:
    for entry in cluster.entries_of_domain(domain):
        revision = _metric_value(entry, REVISION_METRIC)
        assert revision == changes.revisions_before[entry.name]


@when(parsers.parse('an entry of domain "{domain}" is restarted'))
def restart_entry(cluster: Cluster, changes: ChangesState, domain: str) -> None:
    entry = cluster.entries_of_domain(domain)[0]
    entry.child.kill()
    entry.child.start()
    changes.nodes = [entry]


@then("it gets the configuration from its peer")
def from_peer(cluster: Cluster, changes: ChangesState) -> None:
    entry = changes.nodes[0]
    eventually(
        f"{entry.name} has the revision of its peer",
        lambda: _metric_value(entry, REVISION_METRIC) == changes.revisions_before[entry.name],
    )
    name = f"cut-off-{next(NUMBERS)}"
    eventually("an order without a key runs", lambda: is_ok(send_order(entry.http_port, name)))


@when("the partition is healed")
def heal(cluster: Cluster) -> None:
    cluster.relays.heal()


@then("no entry went back to an older revision")
def no_revision_decreased(cluster: Cluster, changes: ChangesState) -> None:
    revisions_after = _entry_revisions(cluster)
    assert {
        name: revisions_after[name] >= before for name, before in changes.revisions_before.items()
    } == (dict.fromkeys(changes.revisions_before, True))


@when("a follower is killed and started again")
def restart_follower(cluster: Cluster, changes: ChangesState) -> None:
    leader = cluster.leader()
    follower = next(node for node in cluster.control if node is not leader)
    follower.child.kill()
    follower.child.start()
    changes.nodes = [follower]


@then("the first of these changes resent through it has the first outcome")
def first_again(changes: ChangesState) -> None:
    response = _send(changes.nodes[0], changes.change_id, changes.items)
    assert response is not None
    assert response.status == 200, response.body
    assert str(response.json()["revision"]) == changes.identities["first outcome"]


def _reported_replicas(cluster: Cluster) -> list[dict[str, Any]]:
    return cluster.fetch_report("replicas")


@when("two replicas are killed and their data folders are emptied")
def lose_disks(cluster: Cluster, changes: ChangesState) -> None:
    leader = cluster.leader()
    assert leader is not None
    other = next(node for node in cluster.control if node is not leader)
    changes.nodes = [leader, other]
    changes.identities = {
        replica["name"]: replica["identity"] for replica in _reported_replicas(cluster)
    }
    for node in changes.nodes:
        node.child.kill()
        folder = Path(cluster.folder / f"{node.name}.data")
        shutil.rmtree(folder)
        folder.mkdir()


@then("a change is accepted")
def accepted(cluster: Cluster, changes: ChangesState) -> None:
    _send_until_accepted(cluster, changes)


@when("both are started empty and replaced by the operator")
def replace(cluster: Cluster, changes: ChangesState) -> None:
    for node in changes.nodes:
        node.child.start()
        document = {
            "name": node.name,
            "domain": node.domain,
            "address": f"127.0.0.1:{node.rpc_port}",
        }
        path = f"/v1/replicas/{changes.identities[node.name]}"
        survivors = [replica for replica in cluster.control if replica not in changes.nodes]

        def replaced(
            path: str = path, document: dict[str, Any] = document, target: Node = survivors[0]
        ) -> bool:
            body = {"change_id": f"replace-{next(NUMBERS)}"} | document
            return is_ok(_put(target, path, body))

        eventually(f"{node.name} is replaced", replaced)


def _put(node: Node, path: str, document: dict[str, Any]) -> HttpResponse | None:
    return send_request("PUT", node.http_port, path, json.dumps(document).encode(), timeout=10)


@then("five voters respond")
def five_voters(cluster: Cluster) -> None:
    def complete() -> bool:
        members = _reported_replicas(cluster)
        return len(members) == 5 and all(member["voter"] and member["status"] for member in members)

    eventually("five voters respond", complete)


@then("a change is accepted after the loss of two other replicas")
def second_loss(cluster: Cluster, changes: ChangesState) -> None:
    others = [node for node in cluster.control if node not in changes.nodes][:2]
    revision_before = changes.first_outcome["revision"]
    for node in others:
        node.child.kill()
    _send_until_accepted(cluster, changes)
    assert changes.first_outcome["revision"] == revision_before + 1
    for node in others:
        node.child.start()
