"""Cost of control while no request is served: processor time and memory of each role."""

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
FEW_SERVERS = 4
MANY_SERVERS = 24
TICKS = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")
MEBIBYTE = 1 << 20
PERCENT = 100.0
#: Seconds from the last start until leases, sessions and grants have settled.
SETTLE = 4.0


@section("control", "Cost of control", is_timed=True)
def run(options: Options) -> list[Row]:
    """Measure small systems that serve no request and print the slope of each size.

    :param options: options of the run
    """
    seconds = options.choose(4.0, 10.0)
    few = _measured(("a",), 1, ("a",), FEW_SERVERS, seconds)
    many = _measured(("a",), 1, ("a",), MANY_SERVERS, seconds)
    wide = _measured(("a", "b", "c"), 3, ("a", "a", "b", "b", "c"), FEW_SERVERS, seconds)
    servers = MANY_SERVERS - FEW_SERVERS
    slope = {name: (many["entry"][name] - few["entry"][name]) / servers for name in many["entry"]}
    rows = [
        *_rows(f"1 entry, 1 replica, {FEW_SERVERS} servers", few),
        *_rows(f"1 entry, 1 replica, {MANY_SERVERS} servers", many),
        *_rows(f"9 entries, 5 replicas, {FEW_SERVERS} servers a domain", wide),
    ]
    return [*rows, Row("one more server", "coordinator entry", slope)]


def _measured(
    domains: tuple[str, ...],
    entries: int,
    replicas: tuple[str, ...],
    servers: int,
    seconds: float,
) -> dict[str, dict[str, float]]:
    """Return core share and memory by role; of entries and replicas the busiest one."""
    with tempfile.TemporaryDirectory(prefix="medlarpass-") as folder:
        cluster = Cluster(Path(folder), ROOT, domains, entries, replicas)
        for domain in domains:
            cluster.add_servers(f"stock-{domain}", domain, "stock", servers)
        try:
            cluster.start()
            cluster.send_change("control", TABLES)
            eventually("all places are in force", lambda: len(cluster.revisions_in_force()) >= 1)
            time.sleep(SETTLE)
            return _usage(cluster, seconds)
        finally:
            cluster.close()


def _usage(cluster: Cluster, seconds: float) -> dict[str, dict[str, float]]:
    before = {node.name: _processor_seconds(node) for node in cluster.nodes}
    began = time.monotonic()
    time.sleep(seconds)
    elapsed = time.monotonic() - began
    figures: dict[str, dict[str, float]] = {}
    for node in cluster.nodes:
        share = (_processor_seconds(node) - before[node.name]) / elapsed * PERCENT
        found = figures.setdefault(node.role, {"core_pct": 0.0, "resident_mib": 0.0})
        found["core_pct"] = max(found["core_pct"], share)
        found["resident_mib"] = max(found["resident_mib"], _resident(node) / MEBIBYTE)
    return figures


def _processor_seconds(node: Node) -> float:
    fields = Path(f"/proc/{_pid(node)}/stat").read_text(encoding="ascii").rsplit(")", 1)[1].split()
    # Fields 14 and 15 of proc(5) are user and system time; two stand before the bracket.
    return (int(fields[11]) + int(fields[12])) / TICKS


def _resident(node: Node) -> int:
    pages = Path(f"/proc/{_pid(node)}/statm").read_text(encoding="ascii").split()[1]
    return int(pages) * PAGE


def _pid(node: Node) -> int:
    child = node.child.child
    assert child is not None
    return child.pid


def _rows(case: str, figures: dict[str, dict[str, float]]) -> list[Row]:
    return [Row(case, role, found) for role, found in sorted(figures.items())]
