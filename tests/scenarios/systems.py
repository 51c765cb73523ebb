"""Systems of real processes for the scenarios."""

from __future__ import annotations

from contextlib import contextmanager
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

from tools.bench.cluster import Cluster
from tools.bench.http_client import HttpResponse
from tools.bench.http_client import send_request
from tools.bench.process import eventually

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

ROOT = Path(__file__).resolve().parents[2]
HTTP_OK = 200
#: Enough keys to reach each shard of the small pools.
SAMPLE_KEYS = [f"roll-{number}" for number in range(60)]
START_TIMEOUT_SECONDS = 25.0


def table_items(shards: int = 32, delegation_term_ms: int = 4000) -> list[dict[str, Any]]:
    """Return the items of the first change: three pools and their routes."""
    documents: list[tuple[str, str, dict[str, Any]]] = [
        (
            "pool",
            "stock",
            {
                "owned": True,
                "shards": shards,
                "delegation_term_ms": delegation_term_ms,
                "moves_per_minute": 6000,
            },
        ),
        ("pool", "orders", {}),
        ("pool", "artwork", {}),
        (
            "route",
            "stock",
            {
                "path": "/stock/{roll}",
                "methods": ["GET"],
                "class": "enquiry",
                "key": {"from": "path", "name": "roll"},
                "pool": "stock",
            },
        ),
        (
            "route",
            "orders",
            {"path": "/orders", "methods": ["POST"], "class": "order", "pool": "orders"},
        ),
        (
            "route",
            "artwork",
            {
                "path": "/download/{size}",
                "methods": ["GET"],
                "class": "download",
                "pool": "artwork",
                "deadline_ms": 60000,
            },
        ),
    ]
    return [
        {"kind": kind, "name": name, "expected_version": 0, "document": document}
        for kind, name, document in documents
    ]


@contextmanager
def running_system(
    folder: Path, prepare: Callable[[Cluster], None], shards: int = 32, **layout: Any
) -> Iterator[Cluster]:
    """Run a system and wait until the tables are in force and each entry serves all request kinds.

    :param folder: empty folder
    :param prepare: adds the stand-in servers
    :param shards: shards of the pool of key-owning servers
    :param layout: arguments of the :class:`Cluster`
    """
    cluster = Cluster(folder, ROOT, **layout)
    try:
        prepare(cluster)
        cluster.start()
        response = cluster.send_change("first-tables", table_items(shards))
        assert response.status == HTTP_OK, response.body
        wait_until_served(cluster)
        ended = [node.name for node in cluster.nodes if not node.child.running]
        assert ended == [], f"processes that terminated during the start: {ended}"
        yield cluster
    finally:
        cluster.close()


def wait_until_served(cluster: Cluster) -> None:
    """Wait until each running entry serves all sample keys, an order and a download."""
    pools = {group.pool for group in cluster.groups.values()}
    for entry in cluster.entries:
        if not entry.child.running:
            continue
        if "stock" in pools:
            wait_until_keys_served(entry.http_port)
        if "orders" in pools:
            eventually(
                f"{entry.name} runs orders",
                lambda port=entry.http_port: is_ok(send_order(port, "warm-up")),
                START_TIMEOUT_SECONDS,
            )
        if "artwork" in pools:
            eventually(
                f"{entry.name} serves downloads",
                lambda port=entry.http_port: is_ok(send_request("GET", port, "/download/10")),
                START_TIMEOUT_SECONDS,
            )


def wait_until_keys_served(port: int, timeout: float = START_TIMEOUT_SECONDS) -> None:
    """Wait until an entry has served each sample key."""
    for key in SAMPLE_KEYS:
        last_response: list[object] = []

        def served(
            path: str = f"/stock/{key}", last_response: list[object] = last_response
        ) -> bool:
            response = send_request("GET", port, path, headers={"Medlarpass-Deadline-Ms": "1000"})
            last_response[:] = [response and (response.status, response.body)]
            return is_ok(response)

        try:
            eventually(f"{key} is served", served, timeout)
        except AssertionError as error:
            raise AssertionError(f"{error} at port {port}: {last_response}") from error


def is_ok(response: HttpResponse | None) -> bool:
    """Return whether a response is successful."""
    return response is not None and response.status == HTTP_OK


def send_order(
    port: int,
    order_id: str,
    key: str | None = None,
    body: bytes = b"3 cartons",
    work_ms: int | None = None,
    timeout: float = 20.0,
) -> HttpResponse | None:
    """Send an order to an entry.

    :param key: idempotency key
    :param work_ms: processing time at the server
    """
    headers = {"Order-Id": order_id}
    if key is not None:
        headers["Idempotency-Key"] = key
    if work_ms is not None:
        headers["Standin-Work-Ms"] = str(work_ms)
    return send_request("POST", port, "/orders", body, headers, timeout)


def enquiry_document(port: int, key: str) -> dict[str, Any] | None:
    """Send an enquiry and return the parsed response, or None if it failed."""
    response = send_request("GET", port, f"/stock/{key}")
    return response.json() if response is not None and response.status == HTTP_OK else None
