"""Operator and requesters."""

from __future__ import annotations

import asyncio
import itertools
import time

from typing import TYPE_CHECKING
from typing import Any

import aiohttp

if TYPE_CHECKING:
    from review.deployment import Deployment
    from review.deployment import Machine
    from review.record import Record
    from review.worker import Worker

HOST = "rolls.example"
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 67108864,
    "header_timeout_s": 3,
    "idle_timeout_s": 15,
}


def route(name: str, kind: str, timeout_s: float, target_s: float) -> dict[str, Any]:
    """Return a route to the service of the same name."""
    return {
        "name": f"r-{name}",
        "host": HOST,
        "path_prefix": f"/{name}/",
        "type": kind,
        "timeout_s": timeout_s,
        "target_latency_s": target_s,
        "priority": 1,
        "upstream": name,
        "max_attempts": 2,
    }


def service(name: str, *, sharded: bool = False) -> dict[str, Any]:
    """Return a service."""
    found: dict[str, Any] = {
        "name": name,
        "health_path": "/health",
        "max_connections": 110,
        "protocol": "h1",
        "tls": False,
    }
    if sharded:
        found |= {"sharded": True, "warm_s": 3.0, "grants": "invocation"}
    return found


def config(version: int) -> dict[str, Any]:
    """Return a config with the three services of a small site."""
    return {
        "version": f"r{version}",
        "routes": [
            route("stok", "safe", 1.5, 0.6),
            route("pesanan", "unsafe", 2.0, 0.8),
            route("reka", "download", 1.5, 0.6),
        ],
        "upstreams": [service("stok", sharded=True), service("pesanan"), service("reka")],
        "limits": LIMITS,
    }


class Clients:
    """The operator and the requesters of a case."""

    def __init__(self, deployment: Deployment, record: Record) -> None:
        self.deployment = deployment
        self.record = record
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0), auto_decompress=False
        )
        self.ids = itertools.count(1)

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()

    async def put_config(self, document: dict[str, Any], within_s: float = 30.0) -> float:
        """Send a config to the nodes in turn until it is confirmed; return the seconds it took."""
        started_at = time.monotonic()
        for attempt in itertools.count():
            machine = self.deployment.controls[attempt % len(self.deployment.controls)]
            status, _ = await self.post_control(machine, "config.put", document)
            self.record.add(
                "config.put", version=document["version"], node=machine.name, status=status
            )
            if status == 200:
                return time.monotonic() - started_at
            if time.monotonic() - started_at > within_s:
                raise TimeoutError(f"{document['version']} was not confirmed")
            await asyncio.sleep(0.2)
        raise AssertionError

    async def post_control(self, machine: Machine, call: str, body: Any) -> tuple[int, bytes]:
        """Call control at one machine; the status is 0 without a response."""
        url = self.deployment.control_url(machine, call)
        options = {"data": body} if isinstance(body, bytes) else {"json": body}
        try:
            async with self.session.post(
                url, timeout=aiohttp.ClientTimeout(total=1.0), **options
            ) as response:
                return response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0, b""

    async def request(
        self,
        entry: Machine,
        path: str,
        method: str = "GET",
        key: int = 0,
        deadline_ms: int = 1500,
        data: bytes | None = None,
    ) -> tuple[str, int]:
        """Send one request; return its id and the status, 0 without a response."""
        attempt = f"a{next(self.ids):07d}"
        headers = {
            "Host": HOST,
            "Medlarpass-Attempt-Id": attempt,
            "Medlarpass-Deadline-Ms": str(deadline_ms),
            "Medlarpass-Shard-Key": str(key),
        }
        url = f"http://{entry.ip}:{self.deployment.front_port}{path}"
        self.record.add("sent", id=attempt, entry=entry.name, path=path, key=key)
        timeout = aiohttp.ClientTimeout(total=deadline_ms / 1000 + 0.5)
        try:
            async with self.session.request(
                method, url, headers=headers, data=data, timeout=timeout
            ) as response:
                await response.read()
                status = response.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            status = 0
        self.record.add("answered", id=attempt, status=status)
        return attempt, status

    async def wait_until_served(
        self, path: str, method: str = "GET", keys: tuple[int, ...] = (0,), within_s: float = 30.0
    ) -> None:
        """Repeat requests at all entries until each is served."""
        deadline = time.monotonic() + within_s
        for entry in self.deployment.entries:
            for key in keys:
                while (await self.request(entry, path, method, key))[1] != 200:
                    if time.monotonic() > deadline:
                        raise TimeoutError(f"{path} is not served at {entry.name}")
                    await asyncio.sleep(0.2)

    async def wait_until_ready(self, within_s: float = 30.0) -> None:
        """Wait until all entries count as ready."""
        deadline = time.monotonic() + within_s
        for entry in self.deployment.entries:
            url = f"http://{entry.ip}:{self.deployment.ready_port}{self.deployment.ready_path}"
            while True:
                try:
                    async with self.session.get(
                        url, timeout=aiohttp.ClientTimeout(total=1.0)
                    ) as response:
                        if response.status == 200:
                            break
                except (aiohttp.ClientError, TimeoutError, OSError):
                    pass
                if time.monotonic() > deadline:
                    raise TimeoutError(f"{entry.name} is not ready")
                await asyncio.sleep(0.2)


class OwnerCheck:
    """Watches which workers hold the same keys at the same time.

    The rule OWNER allows half a second; the time between two looks is left out of what is counted.
    It also watches which keys are given to a worker while another is still at work on them.
    """

    LIMIT_S = 0.5
    STEP_S = 0.02

    def __init__(self, workers: list[Worker], record: Record) -> None:
        self.workers = workers
        self.record = record
        #: Start of each overlap by the two workers.
        self.since: dict[tuple[str, str], float] = {}
        #: Longest overlap by the two workers, in seconds, and the keys.
        self.longest: dict[tuple[str, str], tuple[float, tuple[int, int]]] = {}
        #: Grants of keys at which another worker was still at work.
        self.early_grants: list[str] = []
        for worker in workers:
            worker.on_grant = self.grant_taken

    def grant_taken(self, taker: Worker, first: int, last: int) -> None:
        """Check that no other worker is at work on the keys of a new grant within its hold."""
        now = time.monotonic()
        for other in self.workers:
            if other is taker or not other.is_up:
                continue
            for key in other.running:
                if first <= key <= last and other.hold_until(key) > now:
                    found = (
                        f"{taker.identity} was given key {key} at which {other.identity} was still"
                        f" at work, {other.hold_until(key) - now:.2f} s before its hold ran out"
                    )
                    if found not in self.early_grants:
                        self.early_grants.append(found)

    async def run(self) -> None:
        """Look until cancelled."""
        while True:
            self.look()
            await asyncio.sleep(self.STEP_S)

    def look(self) -> None:
        """Look once."""
        now = time.monotonic()
        up = [worker for worker in self.workers if worker.is_up]
        current = set()
        for one, other in itertools.combinations(up, 2):
            common = common_keys(one, other)
            if common is None:
                continue
            pair = (one.identity, other.identity)
            current.add(pair)
            if pair not in self.since:
                self.since[pair] = now
                self.record.add("both hold", workers=pair, first=common[0], last=common[1])
            length = now - self.since[pair]
            if length > self.longest.get(pair, (0.0, common))[0]:
                self.longest[pair] = (length, common)
        for pair in self.since.keys() - current:
            self.record.add(
                "no longer both", workers=pair, seconds=round(now - self.since.pop(pair), 3)
            )

    def violations(self) -> list[str]:
        """Return what breaks the rule."""
        return self.early_grants + [
            f"{one} and {other} both held keys {keys[0]} to {keys[1]} for {seconds:.2f} s"
            for (one, other), (seconds, keys) in self.longest.items()
            if seconds > self.LIMIT_S
        ]


def common_keys(one: Worker, other: Worker) -> tuple[int, int] | None:
    """Return a range of keys that both workers hold now."""
    for first, last, _ in one.held():
        for low, high, _ in other.held():
            if max(first, low) <= min(last, high):
                return max(first, low), min(last, high)
    return None
