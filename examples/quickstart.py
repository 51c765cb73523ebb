"""Starts a small system on loopback and sends it an enquiry and an order."""

from __future__ import annotations

import sys
import tempfile

from pathlib import Path

from tools.bench.cluster import Cluster
from tools.bench.http_client import HttpResponse
from tools.bench.http_client import send_request
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
    """Run the demo.

    :returns: exit status
    """
    with tempfile.TemporaryDirectory(prefix="medlarpass-") as folder:
        cluster = Cluster(Path(folder), ROOT, domains=("a",), entries=1, replicas=("a",))
        cluster.add_servers("stock", "a", "stock", 3)
        cluster.add_servers("order", "a", "orders", 2)
        try:
            return _run_demo(cluster)
        finally:
            cluster.close()


def _run_demo(cluster: Cluster) -> int:
    print("starting one control process, one entry process and five stand-in servers")
    cluster.start()
    response = cluster.send_change("quickstart", TABLES)
    print(f"tables: {response.status} revision {response.json()['revision']}")
    port = cluster.entries[0].http_port
    eventually("the roll is owned and served", lambda: _is_served(port))
    _print_response("enquiry GET /stock/roll-42", send_request("GET", port, "/stock/roll-42"))
    headers = {"Idempotency-Key": "quickstart-1", "Order-Id": "quickstart-1"}
    _print_response(
        "order POST /orders", send_request("POST", port, "/orders", b"3 cartons", headers)
    )
    _print_response(
        "same order again", send_request("POST", port, "/orders", b"3 cartons", headers)
    )
    executed_orders = cluster.executed_orders()
    print(f"the order ran {len(executed_orders)} time(s)")
    return 0 if executed_orders == ["quickstart-1"] else 1


def _is_served(port: int) -> bool:
    response = send_request("GET", port, "/stock/roll-42")
    return response is not None and response.status == HTTP_OK


def _print_response(label: str, response: HttpResponse | None) -> None:
    if response is None or response.status != HTTP_OK:
        raise SystemExit(f"{label}: request failed: {response.body if response else 'none'!r}")
    replayed = " (recorded answer)" if "medlarpass-replayed" in response.headers else ""
    print(f"{label}: {response.status}{replayed} {response.body.decode()}")


if __name__ == "__main__":
    sys.exit(main())
