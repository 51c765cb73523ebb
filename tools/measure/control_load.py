"""CPU time and memory of each role while no request is served."""

from __future__ import annotations

import os
import tempfile
import time

from pathlib import Path
from typing import TYPE_CHECKING

from examples.quickstart import TABLES
from tools.bench.cluster import Cluster
from tools.bench.process import eventually
from tools.measure.registry import section
from tools.measure.row import Row

if TYPE_CHECKING:
    from tools.bench.cluster import Node
    from tools.measure.options import Options

ROOT = Path(__file__).resolve().parent.parent.parent
SMALL_SERVER_COUNT = 4
LARGE_SERVER_COUNT = 24
CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
BYTES_PER_MEBIBYTE = 1 << 20
PERCENT_PER_CORE = 100.0
#: Time after the last start until leases, sessions and grants no longer change.
SETTLING_SECONDS = 4.0


@section("control", "Cost of control", is_timed=True)
def run(options: Options) -> list[Row]:
    """Measure idle systems of several sizes and the cost of one more server.

    :param options: options of the run
    """
    seconds = options.choose(4.0, 10.0)
    small = _measure(("a",), 1, ("a",), SMALL_SERVER_COUNT, seconds)
    large = _measure(("a",), 1, ("a",), LARGE_SERVER_COUNT, seconds)
    replicated = _measure(
        ("a", "b", "c"), 3, ("a", "a", "b", "b", "c"), SMALL_SERVER_COUNT, seconds
    )
    server_count = LARGE_SERVER_COUNT - SMALL_SERVER_COUNT
    slope = {
        name: (large["entry"][name] - small["entry"][name]) / server_count
        for name in large["entry"]
    }
    rows = [
        *_rows(f"1 entry, 1 replica, {SMALL_SERVER_COUNT} servers", small),
        *_rows(f"1 entry, 1 replica, {LARGE_SERVER_COUNT} servers", large),
        *_rows(f"9 entries, 5 replicas, {SMALL_SERVER_COUNT} servers a domain", replicated),
    ]
    return [*rows, Row("one more server", "coordinator entry", slope)]


def _measure(
    domains: tuple[str, ...],
    entries: int,
    replicas: tuple[str, ...],
    server_count: int,
    seconds: float,
) -> dict[str, dict[str, float]]:
    """Return CPU and memory use by role, as the maximum over the processes of the role."""
    with tempfile.TemporaryDirectory(prefix="medlarpass-") as folder:
        cluster = Cluster(Path(folder), ROOT, domains, entries, replicas)
        for domain in domains:
            cluster.add_servers(f"stock-{domain}", domain, "stock", server_count)
        try:
            cluster.start()
            cluster.send_change("control", TABLES)
            eventually(
                "the configuration is in force", lambda: len(cluster.revisions_in_force()) >= 1
            )
            time.sleep(SETTLING_SECONDS)
            return _usage(cluster, seconds)
        finally:
            cluster.close()


def _usage(cluster: Cluster, seconds: float) -> dict[str, dict[str, float]]:
    cpu_seconds_before = {node.name: _cpu_seconds(node) for node in cluster.nodes}
    started_at = time.monotonic()
    time.sleep(seconds)
    elapsed = time.monotonic() - started_at
    usage_by_role: dict[str, dict[str, float]] = {}
    for node in cluster.nodes:
        core_percent = (
            (_cpu_seconds(node) - cpu_seconds_before[node.name]) / elapsed * PERCENT_PER_CORE
        )
        usage = usage_by_role.setdefault(node.role, {"core_pct": 0.0, "resident_mib": 0.0})
        usage["core_pct"] = max(usage["core_pct"], core_percent)
        usage["resident_mib"] = max(
            usage["resident_mib"], _resident_bytes(node) / BYTES_PER_MEBIBYTE
        )
    return usage_by_role


def _cpu_seconds(node: Node) -> float:
    fields = Path(f"/proc/{_pid(node)}/stat").read_text(encoding="ascii").rsplit(")", 1)[1].split()
    # User and system time are fields 14 and 15 in proc(5); the first two are cut off here.
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND


def _resident_bytes(node: Node) -> int:
    pages = Path(f"/proc/{_pid(node)}/statm").read_text(encoding="ascii").split()[1]
    return int(pages) * PAGE_BYTES


def _pid(node: Node) -> int:
    child = node.child.child
    assert child is not None
    return child.pid


def _rows(case: str, usage_by_role: dict[str, dict[str, float]]) -> list[Row]:
    return [Row(case, role, usage) for role, usage in sorted(usage_by_role.items())]
