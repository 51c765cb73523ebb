"""HTTP load generator in its own process: ``python -m tools.measure.load_client SPEC``.

Prints the results as one line of JSON. The specification bounds connections and duration.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time

from pathlib import Path
from typing import Any

import uvloop

from tools.bench.ports import LOOPBACK
from tools.measure.figures import percentile

HEAD_END = b"\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
RESPONSE_TIMEOUT_SECONDS = 10.0
# Fraction of the duration that serves as warm-up and is not counted.
WARM_UP_RATIO = 0.2
MILLISECONDS_PER_SECOND = 1000


class LoadSpec:
    """Specification of a load.

    :param document: parsed JSON with ``port``, ``connections``, ``seconds``, ``rate`` (requests
        per second; 0 sends the next request as soon as a response arrives), ``kind`` (``enquiry``
        or ``order``), ``requests`` (path of a JSON file with pairs of path and headers), ``seed``
        and ``name``, the prefix of all order numbers
    """

    __slots__ = ("connections", "kind", "name", "port", "rate", "requests", "seconds", "seed")

    def __init__(self, document: dict[str, Any]) -> None:
        self.port: int = document["port"]
        self.connections: int = document["connections"]
        self.seconds: float = document["seconds"]
        self.rate: float = document["rate"]
        self.kind: str = document["kind"]
        self.requests: list[tuple[str, dict[str, str]]] = json.loads(
            Path(document["requests"]).read_text(encoding="utf-8")
        )
        self.seed: int = document["seed"]
        self.name: str = document["name"]

    def build_request(self, rng: random.Random, number: str) -> bytes:
        """Return the bytes of one request.

        :param rng: chooses the key of an enquiry
        :param number: unique suffix of the order number
        """
        if self.kind == "order":
            head = (
                f"POST /orders HTTP/1.1\r\nHost: {LOOPBACK}\r\nContent-Length: 9\r\n"
                f"Idempotency-Key: {self.name}-{number}\r\nOrder-Id: {self.name}-{number}\r\n\r\n"
                "3 cartons"
            )
            return head.encode()
        path, headers = rng.choice(self.requests)
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        head = f"GET {path} HTTP/1.1\r\nHost: {LOOPBACK}\r\n{lines}\r\n"
        return head.encode()


class LoadConnection:
    """A keep-alive connection that sends one request at a time.

    :param spec: specification of the load
    :param number: index of the connection
    :param warmed_up_at: end of the warm-up, in seconds; earlier requests are not counted
    :param ends_at: time after which no request is sent, in seconds
    """

    __slots__ = ("ends_at", "failure_count", "latencies", "number", "rng", "spec", "warmed_up_at")

    def __init__(self, spec: LoadSpec, number: int, warmed_up_at: float, ends_at: float) -> None:
        self.spec = spec
        self.number = number
        self.warmed_up_at = warmed_up_at
        self.ends_at = ends_at
        self.rng = random.Random(f"{spec.seed}/{number}")
        self.latencies: list[float] = []
        self.failure_count = 0

    async def run(self) -> None:
        """Send requests until ``ends_at``."""
        spec = self.spec
        reader, writer = await asyncio.open_connection(LOOPBACK, spec.port)
        interval = spec.connections / spec.rate if spec.rate else 0.0
        due_at = time.perf_counter() + interval * self.rng.random()
        count = 0
        try:
            while True:
                if interval and due_at >= self.ends_at:
                    return
                if interval:
                    await asyncio.sleep(max(0.0, due_at - time.perf_counter()))
                started_at = due_at if interval else time.perf_counter()
                if started_at >= self.ends_at:
                    return
                due_at += interval
                count += 1
                writer.write(spec.build_request(self.rng, f"{self.number}-{count}"))
                status = await asyncio.wait_for(_read_response(reader), RESPONSE_TIMEOUT_SECONDS)
                self._record_response(status, started_at)
        finally:
            writer.close()

    def _record_response(self, status: int, started_at: float) -> None:
        if started_at < self.warmed_up_at:
            return
        if status == 200:
            self.latencies.append(time.perf_counter() - started_at)
        else:
            self.failure_count += 1


async def _read_response(reader: asyncio.StreamReader) -> int:
    head = (await reader.readuntil(HEAD_END)).lower()
    _, found, rest = head.partition(b"content-length:")
    if found:
        await reader.readexactly(int(rest[: rest.index(b"\r\n")]))
    elif b"chunked" in head:
        await reader.readuntil(LAST_CHUNK)
    return int(head[9:12])


async def run(spec: LoadSpec) -> dict[str, float]:
    """Return requests per second, failure count and latency percentiles in milliseconds."""
    started_at = time.perf_counter()
    warmed_up_at, ends_at = started_at + WARM_UP_RATIO * spec.seconds, started_at + spec.seconds
    connections = [
        LoadConnection(spec, number, warmed_up_at, ends_at) for number in range(spec.connections)
    ]
    await asyncio.gather(*(connection.run() for connection in connections))
    latencies = [value for connection in connections for value in connection.latencies]
    return {
        "per_s": len(latencies) / (ends_at - warmed_up_at),
        "failed": sum(connection.failure_count for connection in connections),
        "p50_ms": MILLISECONDS_PER_SECOND * percentile(latencies, 0.5),
        "p99_ms": MILLISECONDS_PER_SECOND * percentile(latencies, 0.99),
    }


if __name__ == "__main__":
    print(json.dumps(uvloop.run(run(LoadSpec(json.loads(sys.argv[1]))))))
