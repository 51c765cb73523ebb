"""The whole path as real processes on loopback, with stand-ins of servers and the operator."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
import time

from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

import aiohttp
import pytest
import yaml

from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

ROOT = Path(__file__).resolve().parents[2]
SOURCES = [
    ROOT / "packages/medlarpass/src",
    ROOT / "packages/medlarpass-daemon/src",
    ROOT / "platform",
]
#: Addresses of the control replicas; the port between processes is the same on all of them.
CONTROLS = ("127.0.0.11", "127.0.0.12", "127.0.0.13")
ENTRY = "127.0.0.21"
#: Seconds that a condition of a test may take at most; far above what it takes.
PATIENCE = 60.0


def free_port() -> int:
    """Return a port that is free on all addresses of the system."""
    while True:
        with socket.socket() as first:
            first.bind((CONTROLS[0], 0))
            port: int = first.getsockname()[1]
        try:
            for address in (*CONTROLS, ENTRY):
                with socket.socket() as probe:
                    probe.bind((address, port))
        except OSError:
            continue
        return port


class StandInServer:
    """A server that announces itself to control, holds keys and answers requests."""

    def __init__(self, system: System, pool: str, identity: str, owned: bool) -> None:
        self.system = system
        self.pool = pool
        self.identity = identity
        self.owned = owned
        self.life = time.time_ns() // 1_000_000
        self.sequence = 0
        self.state = "ready"
        self.grants: list[tuple[int, int, float]] = []
        self.ran: list[str] = []
        self.delay = 0.0
        self.address = ""
        self.runner: web.AppRunner | None = None
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        application = web.Application()
        application.router.add_post("/api/grant", self.grant)
        application.router.add_post("/api/release", self.release)
        application.router.add_route("*", "/{path:.*}", self.serve)
        self.runner = web.AppRunner(application, handler_cancellation=True, shutdown_timeout=0.1)
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.31", 0).start()
        ip, port = self.runner.addresses[0][:2]
        self.address = f"{ip}:{port}"
        self.task = asyncio.create_task(self.beat())

    async def stop(self) -> None:
        if self.task is not None:
            self.task.cancel()
        if self.runner is not None:
            await self.runner.cleanup()

    async def beat(self) -> None:
        while True:
            await self.say()
            await asyncio.sleep(0.3)

    async def say(self) -> bool:
        """Send one heartbeat and return whether it was confirmed."""
        self.sequence += 1
        body = {
            "upstream": self.pool,
            "address": self.address,
            "zone": "north",
            "version": "v1",
            "slots": 3,
            "state": self.state,
            "slow_start_s_time": 0,
            "sequence": self.sequence,
            "born": self.life,
        }
        call = f"instances.heartbeat&of={self.identity}"
        return (await self.system.control(call, body))[0] == 200

    async def grant(self, request: web.Request) -> web.Response:
        body = await request.json()
        self.grants.append((body["from"], body["to"], time.monotonic() + body["hold_s"]))
        return web.Response()

    async def release(self, request: web.Request) -> web.Response:
        body = await request.json()
        self.grants = [
            each for each in self.grants if each[1] < body["from"] or body["to"] < each[0]
        ]
        return web.Response(headers={"Medlarpass-Handover": "5c0e"})

    def holds(self, key: int) -> bool:
        now = time.monotonic()
        return any(first <= key <= last and until > now for first, last, until in self.grants)

    async def serve(self, request: web.Request) -> web.Response:
        headers = request.headers
        echo = {"Medlarpass-Attempt-Id": headers["Medlarpass-Attempt-Id"]}
        is_meant = headers["Medlarpass-Expected-Instance"] == self.identity
        if not is_meant or (self.owned and not self.holds(int(headers["Medlarpass-Shard-Key"]))):
            return web.Response(status=421, headers={**echo, "Medlarpass-Not-Executed": "1"})
        self.ran.append(headers["Medlarpass-Attempt-Id"])
        await asyncio.sleep(self.delay)
        body = f"{self.identity} {request.path} {await request.text()}"
        return web.Response(text=body, headers={**echo, "Medlarpass-Server-Signature": "3e1b"})


class System:
    """Three control replicas and an entry as processes of their own."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.ports = {name: free_port() for name in ("rpc", "control", "platform", "operators")}
        self.ports["front"] = free_port()
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.servers: list[StandInServer] = []
        self.session: aiohttp.ClientSession | None = None
        self.requests = 0

    def settings_of(self, name: str, ip: str, first_start: bool) -> dict[str, Any]:
        settings: dict[str, Any] = {
            "name": name,
            "domain": "north",
            "rpc": f"{ip}:{self.ports['rpc']}",
            "platform": f"{ip}:{self.ports['platform']}",
            "security": {"between_processes": {"mode": "unauthenticated"}},
            "fleet": {
                "adapter": "medlarpass_platform",
                "seeds": [f"{each}:{self.ports['control']}" for each in CONTROLS],
                "first_start": first_start,
                "heartbeat": "300ms",
                "hold": "3s",
            },
            "log": {"file": str(self.folder / f"{name}.log")},
        }
        if ip == ENTRY:
            settings["roles"] = ["entry"]
            settings["entry"] = {
                "callers": f"{ip}:{self.ports['front']}",
                "connect_timeout": "200ms",
                "owner_wait": "300ms",
                "place_wait": "50ms",
            }
            settings["stop"] = {"balancer_wait": "200ms", "finish_within": "10s"}
            return settings
        settings["roles"] = ["control"]
        settings["security"]["operators"] = {"mode": "unauthenticated"}
        settings["fleet"]["listener"] = f"{ip}:{self.ports['control']}"
        settings["control"] = {
            "operators": f"{ip}:{self.ports['operators']}",
            "data_folder": str(self.folder / name),
        }
        return settings

    async def start(self) -> None:
        self.session = aiohttp.ClientSession()
        for number, ip in enumerate(CONTROLS):
            await self.start_process(f"control-{number}", ip, first_start=True)
        await self.start_process("entry", ENTRY)

    async def start_process(self, name: str, ip: str, first_start: bool = False) -> None:
        file = self.folder / f"{name}.yaml"
        file.write_text(yaml.safe_dump(self.settings_of(name, ip, first_start)), encoding="utf-8")
        self.processes[name] = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "medlarpass_daemon",
            "--settings",
            str(file),
            env={**os.environ, "PYTHONPATH": os.pathsep.join(map(str, SOURCES))},
        )

    async def stop(self) -> None:
        for server in self.servers:
            await server.stop()
        for process in self.processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGKILL)
                await process.wait()
        if self.session is not None:
            await self.session.close()

    async def add_server(self, pool: str, identity: str, owned: bool = False) -> StandInServer:
        server = StandInServer(self, pool, identity, owned)
        self.servers.append(server)
        await server.start()
        return server

    async def control(self, call: str, body: Any) -> tuple[int, str]:
        """Call control, trying its replicas in turn; the status is 0 when none answers."""
        assert self.session is not None
        data = json.dumps(body).encode()
        for ip in CONTROLS:
            url = f"http://{ip}:{self.ports['control']}/api/rpc?call={call}"
            timeout = aiohttp.ClientTimeout(total=2)
            try:
                async with self.session.post(url, data=data, timeout=timeout) as response:
                    text = await response.text()
                    if response.status < 500:
                        return response.status, text
            except (aiohttp.ClientError, TimeoutError):
                continue
        return 0, ""

    async def publish(self, version: int, **timeouts: float) -> None:
        """Publish a route for each kind of request."""
        kinds = {"stock": "safe", "orders": "unsafe", "art": "download"}
        routes = [
            {
                "name": name,
                "host": "rolls.example",
                "path_prefix": f"/{name}/",
                "type": kind,
                "timeout_s": timeouts.get(name, 5),
                "target_latency_s": 1,
                "priority": 1,
                "upstream": name,
                "max_attempts": 2,
            }
            for name, kind in kinds.items()
        ]
        pools = [{"name": n, "max_connections": 100, "sharded": n == "stock"} for n in kinds]
        body = {"version": f"r{version}", "routes": routes, "upstreams": pools, "limits": {}}
        await self.until_true(lambda: self.control("config.put", body), lambda got: got[0] == 200)

    async def ask(self, path: str, method: str = "GET", key: int = 0, **more: Any) -> Any:
        """Send a request of a caller; the status is 0 when there is no answer."""
        assert self.session is not None
        self.requests += 1
        headers = {
            "Host": "rolls.example",
            "Medlarpass-Attempt-Id": more.pop("request_id", f"a{self.requests}"),
            "Medlarpass-Deadline-Ms": "5000",
            "Medlarpass-Shard-Key": str(key),
        }
        url = f"http://{ENTRY}:{self.ports['front']}{path}"
        try:
            async with self.session.request(method, url, headers=headers, **more) as response:
                return response.status, await response.text(), response.headers
        except aiohttp.ClientError:
            return 0, "", {}

    async def until_served(self, path: str, **more: Any) -> Any:
        """Ask until a request is served and return the answer."""
        return await self.until_true(lambda: self.ask(path, **more), lambda got: got[0] == 200)

    async def until_true(self, act: Callable[[], Any], accept: Callable[[Any], bool]) -> Any:
        """Repeat an action until its result is accepted."""
        limit = time.monotonic() + PATIENCE
        while True:
            result = await act()
            if accept(result):
                return result
            assert time.monotonic() < limit, f"waited in vain; last result: {result}"
            await asyncio.sleep(0.1)

    def log_of(self, name: str) -> list[dict[str, Any]]:
        """Return the log of a process."""
        text = (self.folder / f"{name}.log").read_text(encoding="utf-8")
        return [json.loads(line) for line in text.splitlines()]


@pytest.fixture
async def system(tmp_path: Path) -> AsyncIterator[System]:
    """Return a system that serves all three kinds of request."""
    made = System(tmp_path)
    try:
        await made.start()
        await made.publish(1)
        for name, pool, owned in (
            ("i-1", "stock", True),
            ("i-2", "stock", True),
            ("i-3", "orders", False),
            ("i-4", "art", False),
        ):
            await made.add_server(pool, name, owned)
        for path in ("/stock/7", "/orders/7", "/art/7"):
            await made.until_served(path)
        yield made
    finally:
        await made.stop()
