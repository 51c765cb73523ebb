"""Tests the start of a cluster with a slow process."""

from __future__ import annotations

import threading

from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

from tools.bench.cluster import Cluster

if TYPE_CHECKING:
    from tools.bench.process import ChildProcess

ROOT = Path(__file__).resolve().parents[2]
#: Long enough for the other replicas to elect a leader before the delayed one starts.
START_DELAY_SECONDS = 3.0


class DelayedChildProcess:
    """A process that starts with a delay."""

    def __init__(self, child: ChildProcess) -> None:
        self.child = child
        self.timer = threading.Timer(START_DELAY_SECONDS, child.start)

    def start(self) -> None:
        self.timer.start()

    def __getattr__(self, name: str) -> Any:
        return getattr(self.child, name)


def test_a_started_system_answers_at_every_replica(tmp_path: Path) -> None:
    """Guards against sending the first change to a replica that is not listening yet.

    On a busy machine the other four replicas elected a leader 3 s before this replica listened, and
    the connection was refused.
    """
    cluster = Cluster(tmp_path, ROOT, entries=1)
    first = cluster.control[0]
    prepare = cluster._prepare_node

    def prepare_with_delay(node: Any) -> None:
        prepare(node)
        if node is first:
            node.process = DelayedChildProcess(node.process)

    cluster._prepare_node = prepare_with_delay  # type: ignore[method-assign]
    try:
        cluster.start()
        item = {"kind": "pool", "name": "orders", "expected_version": 0, "document": {}}
        assert cluster.send_change("first", [item], first).status == 200
    finally:
        cluster.close()
