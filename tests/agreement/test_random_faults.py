"""Guards G1, G2, G4, G5 and G8 against random faults of real processes.

``MEDLARPASS_AGREEMENT_SEEDS`` holds further seeds, separated by commas.
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
from tools.agreement.history import FIELD
from tools.agreement.history import REGISTER
from tools.agreement.history import Acceptance
from tools.agreement.history import ChainLink
from tools.agreement.history import Clients
from tools.agreement.history import ConfigurationRead
from tools.agreement.history import History
from tools.agreement.history import journal_acceptances
from tools.agreement.history import read_register
from tools.agreement.history import register_chain
from tools.agreement.history import revision_reports
from tools.bench.cluster import Cluster
from tools.bench.http_call import call
from tools.bench.process import ChildProcess
from tools.bench.process import eventually

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from tools.bench.cluster import Node

ROOT = Path(__file__).resolve().parents[2]
#: Seeds of the normal run with what they have shown; a seed that showed a fault stays here.
SEEDS = {
    1: "an isolated key was refused as stale-fence for good, see test_isolated_key.py",
    6: "as seed 1",
    7: "an entry did not serve a key within 30 s after the faults; seen once, cause not proven",
}
EXTRA_SEEDS = "MEDLARPASS_AGREEMENT_SEEDS"
#: Seconds of faults; shorter than 20 so that two seeds take about a minute with start and end.
FAULT_SECONDS = 15.0
SETTLE_TIMEOUT = 30.0
HTTP_OK = 200
TERM_MS = 2_000
#: Below all values of the clients, which are distinct.
INITIAL_VALUE = 10

TABLES: list[dict[str, Any]] = [
    {
        "kind": "pool",
        "name": "stock",
        "expected_version": 0,
        "document": {"owned": True, "shards": 24, "delegation_term_ms": TERM_MS},
    },
    {"kind": "pool", "name": "orders", "expected_version": 0, "document": {}},
    {
        "kind": "pool",
        "name": REGISTER,
        "expected_version": 0,
        "document": {FIELD: INITIAL_VALUE},
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
    extra = [int(seed) for seed in os.environ.get(EXTRA_SEEDS, "").split(",") if seed]
    return list(dict.fromkeys([*SEEDS, *extra]))


class Faults:
    """Carries out a plan of faults.

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
        """Begin and end all faults at their times."""
        steps: list[tuple[float, Callable[[Fault], None], Fault]] = []
        for fault in plan:
            steps += [(fault.begin, self._begin, fault), (fault.end, self._end, fault)]
        started = time.monotonic()
        for moment, step, fault in sorted(steps, key=lambda each: each[0]):
            time.sleep(max(0.0, started + moment - time.monotonic()))
            step(fault)

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


# The waits of a failing run add up to more than the usual limit.
@pytest.mark.timeout(240)
@pytest.mark.parametrize("seed", seeds())
def test_guarantees_under_random_faults(seed: int, cluster: Cluster) -> None:
    eventually("the tables are accepted", lambda: tables_accepted(cluster), SETTLE_TIMEOUT)
    wait_until_all_serve(cluster)
    faults = Faults(cluster)
    plan = fault_plan(seed, faults.layout, FAULT_SECONDS)
    print(f"seed {seed}: {plan}")
    history = History()
    clients = Clients(cluster, seed, history)
    clients.start()
    faults.run(plan)
    clients.stop()
    print(history.summary())
    assert_running(cluster)
    history.reads.append(settled(cluster))
    # Safety first: a key that nobody serves must not hide a violation.
    assert_guarantees(cluster, history)
    wait_until_all_serve(cluster)
    eventually("the last change is in force", lambda: in_force_everywhere(cluster), SETTLE_TIMEOUT)
    # Again, because a process may have gone on with work from before the end of its fault.
    assert_guarantees(cluster, history)
    assert_not_empty(history)


def assert_guarantees(cluster: Cluster, history: History) -> None:
    """Check what has been recorded until now."""
    changes, initial = split(register_chain(audit_trail(cluster)))
    found = check_register(history.changes, history.reads, changes, initial)
    found += check_grants(history.enquiries)
    found += check_grants(server_acceptances(cluster))
    found += check_orders(history.orders, cluster.orders_run())
    for entry in cluster.entries:
        found += check_revisions(revision_reports(entry.name, entry.child.log()))
    assert not found, "\n".join(found)


def tables_accepted(cluster: Cluster) -> bool:
    """Send the tables to a replica, which may still be starting although there is a leader."""
    body = json.dumps({"change_id": "tables", "items": TABLES}).encode()
    answer = call("POST", cluster.control[0].front, "/v1/changes", body)
    return answer is not None and answer.status == HTTP_OK


def assert_running(cluster: Cluster) -> None:
    """Guard against processes that end by themselves."""
    children = [node.child for node in cluster.nodes]
    children += [group.process for group in cluster.groups.values()]
    for child in children:
        assert child.running, f"{child.name} ended: {child.log()[-2000:]}"


def wait_until_all_serve(cluster: Cluster) -> None:
    """Wait until each entry answers an enquiry, and show why if one does not."""
    try:
        eventually("all entries serve", lambda: all_serve(cluster), SETTLE_TIMEOUT)
    except AssertionError as error:
        assert_running(cluster)
        raise AssertionError("\n".join([str(error), *diagnosis(cluster)])) from error


def all_serve(cluster: Cluster) -> bool:
    """Return whether each entry answers an enquiry."""
    return all(answered(entry) == str(HTTP_OK) for entry in cluster.entries)


def answered(entry: Node) -> str:
    """Return the status of an enquiry, with the error if there is one."""
    answer = call("GET", entry.front, "/stock/roll-0", timeout=3)
    if answer is None:
        return "no answer"
    return str(HTTP_OK) if answer.status == HTTP_OK else f"{answer.status} {answer.body.decode()}"


def diagnosis(cluster: Cluster) -> list[str]:
    """Return what shows why an entry does not serve."""
    lines = [f"{entry.name}: {answered(entry)}" for entry in cluster.entries]
    for what in ("domains", "grants", "servers"):
        answer = call("GET", cluster.control[0].front, f"/v1/{what}")
        lines.append(f"{what}: {answer.body.decode() if answer else None}")
    return lines


def in_force_everywhere(cluster: Cluster) -> bool:
    """Return whether each entry has the newest revision in force."""
    answer = call("GET", cluster.control[0].front, f"/v1/pools/{REGISTER}")
    if answer is None or answer.status != HTTP_OK:
        return False
    reported = cluster.in_force()
    return all(reported.get(entry.name) == answer.json()["revision"] for entry in cluster.entries)


def settled(cluster: Cluster) -> ConfigurationRead:
    """Wait until all replicas answer and return the last read."""
    reads: list[ConfigurationRead] = []

    def all_answer() -> bool:
        found = [read_register(node) for node in cluster.control]
        reads[:] = [read for read in found if read is not None]
        return len(reads) == len(cluster.control)

    eventually("all control replicas answer a read", all_answer, SETTLE_TIMEOUT)
    return reads[-1]


def audit_trail(cluster: Cluster) -> list[dict[str, Any]]:
    """Return the whole audit trail of the tables."""
    records: list[dict[str, Any]] = []
    after = 0
    while True:
        path = f"/v1/audit?limit=1000&after={after}"
        answer = call("GET", cluster.control[0].front, path)
        assert answer is not None and answer.status == HTTP_OK
        page = answer.json()
        if not page["records"]:
            assert len(records) == page["count"], "the audit trail has dropped records"
            return records
        records += page["records"]
        after = page["next"]


def split(chain: list[ChainLink]) -> tuple[list[ChainLink], ChainLink]:
    """Return the changes of the clients and the change that made the register."""
    return chain[1:], chain[0]


def server_acceptances(cluster: Cluster) -> list[Acceptance]:
    """Return the enquiries that the servers accepted, from their journal if they write one."""
    events = getattr(cluster, "ownership_events", None)
    return journal_acceptances(events()) if events else []


def assert_not_empty(history: History) -> None:
    """Guard against a run that passes because nothing happened."""
    assert any(change.verdict.value == "accepted" for change in history.changes)
    assert any(order.verdict.value == "run" for order in history.orders)
    assert history.reads
    assert history.enquiries
