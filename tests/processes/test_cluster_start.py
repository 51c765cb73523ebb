"""Starts of the test system whose processes take their time."""

from __future__ import annotations

import threading

from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

from tools.bench.cluster import Cluster

if TYPE_CHECKING:
    from tools.bench.process import ChildProcess

ROOT = Path(__file__).resolve().parents[2]
#: Seconds by which one process starts later than the others; the others elect a leader before.
DELAY = 3.0


class LateChild:
    """A process that starts some seconds after it was asked to."""

    def __init__(self, child: ChildProcess) -> None:
        self.child = child
        self.timer = threading.Timer(DELAY, child.start)

    def start(self) -> None:
        self.timer.start()

    def __getattr__(self, name: str) -> Any:
        return getattr(self.child, name)


def test_a_started_system_answers_at_every_replica(tmp_path: Path) -> None:
    """Guards against a first change that goes to a replica which does not listen yet.

    On a busy machine the other four elected the leader 3 s before it, and the call was refused.
    """
    cluster = Cluster(tmp_path, ROOT, entries=1)
    first = cluster.control[0]
    prepare = cluster._prepare_node

    def prepare_late(node: Any) -> None:
        prepare(node)
        if node is first:
            node.process = LateChild(node.process)

    cluster._prepare_node = prepare_late  # type: ignore[method-assign]
    try:
        cluster.start()
        item = {"kind": "pool", "name": "orders", "expected_version": 0, "document": {}}
        assert cluster.change("first", [item], first).status == 200
    finally:
        cluster.close()
