"""Systems of processes that the scenarios run on."""

from __future__ import annotations

from contextlib import contextmanager
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

from tools.bench.cluster import Cluster
from tools.bench.http_call import HttpAnswer
from tools.bench.http_call import call
from tools.bench.process import eventually

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

ROOT = Path(__file__).resolve().parents[2]
HTTP_OK = 200
#: Enough keys for each shard of the small pools to be asked for.
SAMPLE_KEYS = [f"roll-{number}" for number in range(60)]
START_TIMEOUT = 25.0


def tables(shards: int = 32, delegation_term_ms: int = 4000) -> list[dict[str, Any]]:
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
    """Run a system with the tables in force and every kind of request answered everywhere.

    :param folder: empty folder
    :param prepare: adds the stand-in servers
    :param shards: shards of the pool of key-owning servers
    :param layout: layout of the cluster
    """
    cluster = Cluster(folder, ROOT, **layout)
    try:
        prepare(cluster)
        cluster.start()
        response = cluster.change("first-tables", tables(shards))
        assert response.status == HTTP_OK, response.body
        wait_served(cluster)
        ended = [node.name for node in cluster.nodes if not node.child.running]
        assert ended == [], f"processes that ended during the start: {ended}"
        yield cluster
    finally:
        cluster.close()


def wait_served(cluster: Cluster) -> None:
    """Wait until each running entry answers all sample keys, an order and a download."""
    pools = {group.pool for group in cluster.groups.values()}
    for entry in cluster.entries:
        if not entry.child.running:
            continue
        if "stock" in pools:
            wait_keys_served(entry.front)
        if "orders" in pools:
            eventually(
                f"{entry.name} runs orders",
                lambda port=entry.front: is_good(order(port, "warm-up")),
                START_TIMEOUT,
            )
        if "artwork" in pools:
            eventually(
                f"{entry.name} serves downloads",
                lambda port=entry.front: is_good(call("GET", port, "/download/10")),
                START_TIMEOUT,
            )


def wait_keys_served(port: int, timeout: float = START_TIMEOUT) -> None:
    """Wait until an entry has answered each sample key."""
    for key in SAMPLE_KEYS:
        seen: list[object] = []

        def served(path: str = f"/stock/{key}", seen: list[object] = seen) -> bool:
            response = call("GET", port, path, headers={"Medlarpass-Deadline-Ms": "1000"})
            seen[:] = [response and (response.status, response.body)]
            return is_good(response)

        try:
            eventually(f"{key} is served", served, timeout)
        except AssertionError as error:
            raise AssertionError(f"{error} at port {port}: {seen}") from error


def is_good(response: HttpAnswer | None) -> bool:
    """Tell whether there was an answer of a server."""
    return response is not None and response.status == HTTP_OK


def order(
    port: int,
    order_id: str,
    key: str | None = None,
    body: bytes = b"3 cartons",
    work_ms: int | None = None,
    timeout: float = 20.0,
) -> HttpAnswer | None:
    """Send an order to an entry.

    :param key: idempotency key
    :param work_ms: how long the server runs it
    """
    headers = {"Order-Id": order_id}
    if key is not None:
        headers["Idempotency-Key"] = key
    if work_ms is not None:
        headers["Standin-Work-Ms"] = str(work_ms)
    return call("POST", port, "/orders", body, headers, timeout)


def owner_of(port: int, key: str) -> dict[str, Any] | None:
    """Return the answer to an enquiry, or None when there was no good one."""
    response = call("GET", port, f"/stock/{key}")
    return response.json() if response is not None and response.status == HTTP_OK else None
