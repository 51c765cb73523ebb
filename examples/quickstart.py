"""Starts a small system on loopback and sends it a real enquiry and a real order."""

from __future__ import annotations

import sys
import tempfile

from pathlib import Path

from tools.bench.cluster import Cluster
from tools.bench.http_call import HttpAnswer
from tools.bench.http_call import call
from tools.bench.process import eventually

ROOT = Path(__file__).resolve().parent.parent
HTTP_OK = 200

TABLES = [
    {
        "kind": "pool",
        "name": "stock",
        "expected_version": 0,
        "document": {"owned": True, "shards": 64},
    },
    {"kind": "pool", "name": "orders", "expected_version": 0, "document": {}},
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
        },
    },
    {
        "kind": "route",
        "name": "orders",
        "expected_version": 0,
        "document": {"path": "/orders", "methods": ["POST"], "class": "order", "pool": "orders"},
    },
]


def main() -> int:
    """Run the tour.

    :returns: exit status
    """
    with tempfile.TemporaryDirectory(prefix="medlarpass-") as folder:
        cluster = Cluster(Path(folder), ROOT, domains=("a",), entries=1, replicas=("a",))
        cluster.add_servers("stock", "a", "stock", 3)
        cluster.add_servers("order", "a", "orders", 2)
        try:
            return _tour(cluster)
        finally:
            cluster.close()


def _tour(cluster: Cluster) -> int:
    print("starting one control process, one entry process and five stand-in servers")
    cluster.start()
    response = cluster.change("quickstart", TABLES)
    print(f"tables: {response.status} revision {response.json()['revision']}")
    front = cluster.entries[0].front
    eventually("the roll is owned and served", lambda: _served(front))
    _show("enquiry GET /stock/roll-42", call("GET", front, "/stock/roll-42"))
    headers = {"Idempotency-Key": "quickstart-1", "Order-Id": "quickstart-1"}
    _show("order POST /orders", call("POST", front, "/orders", b"3 cartons", headers))
    _show("same order again", call("POST", front, "/orders", b"3 cartons", headers))
    runs = cluster.orders_run()
    print(f"the order ran {len(runs)} time(s)")
    return 0 if runs == ["quickstart-1"] else 1


def _served(front: int) -> bool:
    response = call("GET", front, "/stock/roll-42")
    return response is not None and response.status == HTTP_OK


def _show(what: str, response: HttpAnswer | None) -> None:
    if response is None or response.status != HTTP_OK:
        raise SystemExit(f"{what}: no good answer: {response.body if response else 'none'!r}")
    replayed = " (recorded answer)" if "medlarpass-replayed" in response.headers else ""
    print(f"{what}: {response.status}{replayed} {response.body.decode()}")


if __name__ == "__main__":
    sys.exit(main())
