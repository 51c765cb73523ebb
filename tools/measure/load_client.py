"""Load on one HTTP port from a process of its own: ``python -m tools.measure.load_client SPEC``.

It prints one line of JSON. Number of connections and time are bounded.
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
CHUNKS_END = b"0\r\n\r\n"
LARGEST_WAIT = 10.0
# Part of the time that warms connections and code up and is not counted.
WARM_UP = 0.2
MILLISECONDS = 1000


class LoadSpec:
    """What to send.

    :param document: parsed JSON with ``port``, ``connections``, ``seconds``, ``rate`` (requests
        per second, 0 for as fast as the answers come), ``kind`` (``enquiry`` or ``order``),
        ``requests`` (a file with JSON pairs of path and headers), ``seed`` and ``name``, which
        begins all order numbers
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

    def request(self, rng: random.Random, number: str) -> bytes:
        """Return the bytes of one request.

        :param rng: draws the key of an enquiry
        :param number: unique part of the number of an order
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
    """A keep-alive connection with one request at a time.

    :param spec: what to send
    :param number: number of the connection
    :param counted_from: time from which answers count, in seconds
    :param until: time at which no further request is sent, in seconds
    """

    __slots__ = ("counted_from", "failed", "latencies", "number", "rng", "spec", "until")

    def __init__(self, spec: LoadSpec, number: int, counted_from: float, until: float) -> None:
        self.spec = spec
        self.number = number
        self.counted_from = counted_from
        self.until = until
        self.rng = random.Random(f"{spec.seed}/{number}")
        self.latencies: list[float] = []
        self.failed = 0

    async def run(self) -> None:
        """Send until the end of the time."""
        spec = self.spec
        reader, writer = await asyncio.open_connection(LOOPBACK, spec.port)
        pause = spec.connections / spec.rate if spec.rate else 0.0
        due = time.perf_counter() + pause * self.rng.random()
        count = 0
        try:
            while True:
                if pause and due >= self.until:
                    return
                if pause:
                    await asyncio.sleep(max(0.0, due - time.perf_counter()))
                begin = due if pause else time.perf_counter()
                if begin >= self.until:
                    return
                due += pause
                count += 1
                writer.write(spec.request(self.rng, f"{self.number}-{count}"))
                status = await asyncio.wait_for(_read_answer(reader), LARGEST_WAIT)
                self._note(status, begin)
        finally:
            writer.close()

    def _note(self, status: int, begin: float) -> None:
        if begin < self.counted_from:
            return
        if status == 200:
            self.latencies.append(time.perf_counter() - begin)
        else:
            self.failed += 1


async def _read_answer(reader: asyncio.StreamReader) -> int:
    head = (await reader.readuntil(HEAD_END)).lower()
    _, found, rest = head.partition(b"content-length:")
    if found:
        await reader.readexactly(int(rest[: rest.index(b"\r\n")]))
    elif b"chunked" in head:
        await reader.readuntil(CHUNKS_END)
    return int(head[9:12])


async def run(spec: LoadSpec) -> dict[str, float]:
    """Return requests per second, failures and latencies in milliseconds."""
    begin = time.perf_counter()
    counted_from, until = begin + WARM_UP * spec.seconds, begin + spec.seconds
    connections = [
        LoadConnection(spec, number, counted_from, until) for number in range(spec.connections)
    ]
    await asyncio.gather(*(each.run() for each in connections))
    latencies = [value for each in connections for value in each.latencies]
    return {
        "per_s": len(latencies) / (until - counted_from),
        "failed": sum(each.failed for each in connections),
        "p50_ms": MILLISECONDS * percentile(latencies, 0.5),
        "p99_ms": MILLISECONDS * percentile(latencies, 0.99),
    }


if __name__ == "__main__":
    print(json.dumps(uvloop.run(run(LoadSpec(json.loads(sys.argv[1]))))))
