"""Checks the guarantees G1, G2, G4, G5 and G8 under random faults of real processes.

The environment variable ``MEDLARPASS_AGREEMENT_SEEDS`` adds seeds, separated by commas.
"""

from __future__ import annotations

import json
import os
import time

from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

import pytest

from tools.agreement.checkers import check_grants
from tools.agreement.checkers import check_orders
from tools.agreement.checkers import check_register
from tools.agreement.checkers import check_revisions
from tools.agreement.fault_plan import Fault
from tools.agreement.fault_plan import FaultKind
from tools.agreement.fault_plan import Layout
from tools.agreement.fault_plan import fault_plan
from tools.agreement.fixed_ports import FixedPortPool
from tools.agreement.history import REGISTER_FIELD
from tools.agreement.history import REGISTER_POOL
from tools.agreement.history import Acceptance
from tools.agreement.history import AcceptedChange
from tools.agreement.history import Clients
from tools.agreement.history import ConfigurationRead
from tools.agreement.history import History
from tools.agreement.history import accepted_register_changes
from tools.agreement.history import journal_acceptances
from tools.agreement.history import read_register
from tools.agreement.history import revision_reports
from tools.bench.cluster import Cluster
from tools.bench.http_client import send_request
from tools.bench.process import ChildProcess
from tools.bench.process import eventually

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from tools.bench.cluster import Node

ROOT = Path(__file__).resolve().parents[2]
#: Default seeds and the faults that they found; a seed that found a fault stays in the list.
SEEDS = {
    1: "an isolated key was refused as stale-fence permanently, see test_isolated_key.py",
    6: "same as seed 1",
    7: "an entry did not serve a key within 30 s after the faults; seen once, cause unknown",
}
EXTRA_SEEDS_VARIABLE = "MEDLARPASS_AGREEMENT_SEEDS"
#: Less than 20 s so that two seeds take about a minute, start and shutdown included.
FAULT_PLAN_SECONDS = 15.0
SETTLE_TIMEOUT_SECONDS = 30.0
HTTP_OK = 200
DELEGATION_TERM_MS = 2_000
#: Less than all values that the clients write, which are distinct.
INITIAL_VALUE = 10

TABLES: list[dict[str, Any]] = [
    {
        "kind": "pool",
        "name": "stock",
        "expected_version": 0,
        "document": {"owned": True, "shards": 24, "delegation_term_ms": DELEGATION_TERM_MS},
    },
    {"kind": "pool", "name": "orders", "expected_version": 0, "document": {}},
    {
        "kind": "pool",
        "name": REGISTER_POOL,
        "expected_version": 0,
        "document": {REGISTER_FIELD: INITIAL_VALUE},
    },
    {
        "kind": "route",
        "name": "stock",
        "expected_version": 0,
        "document": {
            "path": "/stock/{roll}",
            "methods": ["GET"],
            "class": "enquiry",
            "key": {"from": "path", "name": "roll"},
            "pool": "stock",
            "deadline_ms": 1_500,
        },
    },
    {
        "kind": "route",
        "name": "orders",
        "expected_version": 0,
        "document": {
            "path": "/orders",
            "methods": ["POST"],
            "class": "order",
            "pool": "orders",
            "deadline_ms": 1_500,
        },
    },
]


def seeds() -> list[int]:
    extra = [int(seed) for seed in os.environ.get(EXTRA_SEEDS_VARIABLE, "").split(",") if seed]
    return list(dict.fromkeys([*SEEDS, *extra]))


class FaultInjector:
    """Injects the faults of a plan.

    :param cluster: running system
    """

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.layout = Layout(
            {node.name: node.domain for node in cluster.control},
            {node.name: node.domain for node in cluster.entries},
            {group.name: group.domain for group in cluster.groups.values()},
        )

    def run(self, plan: list[Fault]) -> None:
        """Begin and end each fault at its time."""
        actions: list[tuple[float, Callable[[Fault], None], Fault]] = []
        for fault in plan:
            actions += [(fault.begin, self._begin, fault), (fault.end, self._end, fault)]
        started_at = time.monotonic()
        for due_at, action, fault in sorted(actions, key=lambda timed_action: timed_action[0]):
            time.sleep(max(0.0, started_at + due_at - time.monotonic()))
            action(fault)

    def _begin(self, fault: Fault) -> None:
        if fault.kind is FaultKind.CUT:
            self.cluster.relays.isolate(fault.target)
        elif fault.kind is FaultKind.KILL:
            self._process(fault).kill()
        else:
            self._process(fault).freeze()

    def _end(self, fault: Fault) -> None:
        if fault.kind is FaultKind.CUT:
            self.cluster.relays.heal()
        elif fault.kind is FaultKind.KILL:
            self._process(fault).start()
        else:
            self._process(fault).thaw()

    def _process(self, fault: Fault) -> ChildProcess:
        group = self.cluster.groups.get(fault.target)
        return group.process if group else self.cluster.node(fault.target).child


@pytest.fixture
def cluster(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Iterator[Cluster]:
    ports = FixedPortPool()
    monkeypatch.setattr("tools.bench.cluster.PortPool", lambda: ports)
    system = Cluster(tmp_path, ROOT)
    for domain in system.domains:
        for number in (1, 2):
            system.add_servers(f"stock-{domain}{number}", domain, "stock", 1, work_ms=20)
        system.add_servers(f"orders-{domain}", domain, "orders", 2, work_ms=20)
    try:
        system.start()
        yield system
    finally:
        system.close()
        ports.close()


# The timeouts of a failing run add up to more than the default limit.
@pytest.mark.timeout(240)
@pytest.mark.parametrize("seed", seeds())
def test_guarantees_under_random_faults(seed: int, cluster: Cluster) -> None:
    eventually("the tables are accepted", lambda: publish_tables(cluster), SETTLE_TIMEOUT_SECONDS)
    wait_until_all_serve(cluster)
    faults = FaultInjector(cluster)
    plan = fault_plan(seed, faults.layout, FAULT_PLAN_SECONDS)
    print(f"seed {seed}: {plan}")
    history = History()
    clients = Clients(cluster, seed, history)
    clients.start()
    faults.run(plan)
    clients.stop()
    print(history.summary())
    assert_running(cluster)
    history.reads.append(wait_until_settled(cluster))
    # Safety is checked before liveness, so that a key without an owner does not hide a violation.
    assert_guarantees(cluster, history)
    wait_until_all_serve(cluster)
    eventually(
        "the last change is in force", lambda: in_force_everywhere(cluster), SETTLE_TIMEOUT_SECONDS
    )
    # Checked again because a resumed process may have continued work from before its fault.
    assert_guarantees(cluster, history)
    assert_operations_recorded(history)


def assert_guarantees(cluster: Cluster, history: History) -> None:
    """Check the operations recorded so far."""
    changes, initial = split_initial_change(accepted_register_changes(fetch_audit_trail(cluster)))
    violations = check_register(history.changes, history.reads, changes, initial)
    violations += check_grants(history.enquiries)
    violations += check_grants(server_acceptances(cluster))
    violations += check_orders(history.orders, cluster.executed_orders())
    for entry in cluster.entries:
        violations += check_revisions(revision_reports(entry.name, entry.child.log()))
    assert not violations, "\n".join(violations)


def publish_tables(cluster: Cluster) -> bool:
    """Send the tables to a replica, which may still be starting although a leader is elected.

    :returns: whether the change was accepted
    """
    body = json.dumps({"change_id": "tables", "items": TABLES}).encode()
    response = send_request("POST", cluster.control[0].http_port, "/v1/changes", body)
    return response is not None and response.status == HTTP_OK


def assert_running(cluster: Cluster) -> None:
    """Check that no process has terminated by itself."""
    children = [node.child for node in cluster.nodes]
    children += [group.process for group in cluster.groups.values()]
    for child in children:
        assert child.running, f"{child.name} terminated: {child.log()[-2000:]}"


def wait_until_all_serve(cluster: Cluster) -> None:
    """Wait until each entry serves an enquiry.

    :raises AssertionError: with the state of the system, after the timeout
    """
    try:
        eventually("all entries serve", lambda: all_serve(cluster), SETTLE_TIMEOUT_SECONDS)
    except AssertionError as error:
        assert_running(cluster)
        raise AssertionError("\n".join([str(error), *describe_failure(cluster)])) from error


def all_serve(cluster: Cluster) -> bool:
    """Return whether each entry serves an enquiry."""
    return all(enquiry_status(entry) == str(HTTP_OK) for entry in cluster.entries)


def enquiry_status(entry: Node) -> str:
    """Return the status of an enquiry, and the body of an error response."""
    response = send_request("GET", entry.http_port, "/stock/roll-0", timeout=3)
    if response is None:
        return "no response"
    return (
        str(HTTP_OK)
        if response.status == HTTP_OK
        else f"{response.status} {response.body.decode()}"
    )


def describe_failure(cluster: Cluster) -> list[str]:
    """Return the state of the system as lines for the failure message."""
    lines = [f"{entry.name}: {enquiry_status(entry)}" for entry in cluster.entries]
    for resource in ("domains", "grants", "servers"):
        response = send_request("GET", cluster.control[0].http_port, f"/v1/{resource}")
        lines.append(f"{resource}: {response.body.decode() if response else None}")
    return lines


def in_force_everywhere(cluster: Cluster) -> bool:
    """Return whether each entry has the newest revision in force."""
    response = send_request("GET", cluster.control[0].http_port, f"/v1/pools/{REGISTER_POOL}")
    if response is None or response.status != HTTP_OK:
        return False
    revisions = cluster.revisions_in_force()
    return all(
        revisions.get(entry.name) == response.json()["revision"] for entry in cluster.entries
    )


def wait_until_settled(cluster: Cluster) -> ConfigurationRead:
    """Wait until all replicas serve a read, and return the last read."""
    reads: list[ConfigurationRead] = []

    def all_replicas_respond() -> bool:
        results = [read_register(node) for node in cluster.control]
        reads[:] = [read for read in results if read is not None]
        return len(reads) == len(cluster.control)

    eventually("all control replicas serve a read", all_replicas_respond, SETTLE_TIMEOUT_SECONDS)
    return reads[-1]


def fetch_audit_trail(cluster: Cluster) -> list[dict[str, Any]]:
    """Return the complete audit trail of the tables."""
    records: list[dict[str, Any]] = []
    after = 0
    while True:
        path = f"/v1/audit?limit=1000&after={after}"
        response = send_request("GET", cluster.control[0].http_port, path)
        assert response is not None and response.status == HTTP_OK
        page = response.json()
        if not page["records"]:
            assert len(records) == page["count"], "the audit trail has dropped records"
            return records
        records += page["records"]
        after = page["next"]


def split_initial_change(
    accepted_changes: list[AcceptedChange],
) -> tuple[list[AcceptedChange], AcceptedChange]:
    """Return the changes of the clients and the change that created the register."""
    return accepted_changes[1:], accepted_changes[0]


def server_acceptances(cluster: Cluster) -> list[Acceptance]:
    """Return the enquiries that the servers accepted, if the cluster has an ownership journal."""
    events = getattr(cluster, "ownership_events", None)
    return journal_acceptances(events()) if events else []


def assert_operations_recorded(history: History) -> None:
    """Check that clients succeeded, so that a run without operations does not pass."""
    assert any(change.outcome.value == "accepted" for change in history.changes)
    assert any(order.outcome.value == "run" for order in history.orders)
    assert history.reads
    assert history.enquiries
