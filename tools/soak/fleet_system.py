"""System of control replicas and entries as separate processes, with stand-in servers."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
import time

from collections import Counter
from ipaddress import ip_address
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

import aiohttp
import yaml

from tools.bench.ports import LOOPBACK
from tools.soak.stand_in_server import COLD_SECONDS
from tools.soak.stand_in_server import SERVERS_IP
from tools.soak.stand_in_server import StandInServer

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from tools.bench.relay import RelayNetwork

ROOT = Path(__file__).resolve().parents[2]
SOURCE_FOLDERS = [
    ROOT / "packages/medlarpass/src",
    ROOT / "packages/medlarpass-daemon/src",
    ROOT / "platform",
]
#: First IP addresses of the control replicas and of the entries; the others follow. The gRPC port
#: is the same on all of them.
FIRST_CONTROL_IP = ip_address("127.0.0.11")
FIRST_ENTRY_IP = ip_address("127.0.1.21")
#: Far above the time that any awaited condition takes.
CONDITION_TIMEOUT_SECONDS = 60.0
#: Overlap of two leases for the same keys that is tolerated while a call is in transit.
MAX_OVERLAP_SECONDS = 0.5


def free_port(addresses: Sequence[str]) -> int:
    """Return a port that is free on all addresses."""
    while True:
        with socket.socket() as first:
            first.bind((addresses[0], 0))
            port: int = first.getsockname()[1]
        try:
            for address in addresses:
                with socket.socket() as probe:
                    probe.bind((address, port))
        except OSError:
            continue
        return port


class FleetSystem:
    """A number of control replicas and entries.

    :param folder: empty folder
    :param entries: number of entries
    :param relays: relays between the processes and to the servers, for injecting network faults
    :param controls: number of control replicas
    """

    #: Interval between the heartbeats of a server.
    heartbeat_seconds = 0.3

    def __init__(
        self,
        folder: Path,
        entries: int = 1,
        relays: RelayNetwork | None = None,
        controls: int = 3,
    ) -> None:
        self.folder = folder
        self.relays = relays
        self.control_ips = [str(FIRST_CONTROL_IP + number) for number in range(controls)]
        self.addresses = {f"control-{number}": ip for number, ip in enumerate(self.control_ips)}
        entry_names = (
            ["entry"] if entries == 1 else [f"entry-{number}" for number in range(entries)]
        )
        self.addresses |= {
            name: str(FIRST_ENTRY_IP + number) for number, name in enumerate(entry_names)
        }
        all_ips = list(self.addresses.values())
        ports = ("rpc", "control", "platform", "operators", "front")
        self.ports = {name: free_port(all_ips) for name in ports}
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.servers: list[StandInServer] = []
        self.session: aiohttp.ClientSession | None = None
        self.requests = 0
        #: Number of starts of each process.
        self.start_counts: Counter[str] = Counter()
        #: Number of executions of each request.
        self.run_counts: Counter[str] = Counter()
        #: Time at which each request was sent, and the entry that got it.
        self.sent_at: dict[str, float] = {}
        self.sent_to: dict[str, str] = {}
        #: Begin and end of the times in which the loop of the servers and callers did not run.
        self.stalls: list[tuple[float, float]] = []
        #: Tells whether a fault since a time excuses what an entry sends to a server.
        self.is_excused: Callable[[str, str, float], bool] = lambda *_: False
        #: Time at which the evacuation of a failure domain was confirmed; None while there is none.
        self.evacuated_at: float | None = None
        #: Requests per second that a cold server bears; 0 if servers are never cold.
        self.warmup_rate = 0.0
        #: Descriptions of violated guarantees.
        self.violations: list[str] = []

    @property
    def entries(self) -> list[str]:
        """Names of the entries."""
        return [name for name in self.addresses if name.startswith("entry")]

    @property
    def controls(self) -> list[str]:
        """Names of the control replicas."""
        return [name for name in self.addresses if name.startswith("control")]

    def settings_for(self, name: str, first_start: bool) -> dict[str, Any]:
        """Return the settings of a process."""
        ip = self.addresses[name]
        settings: dict[str, Any] = {
            "name": name,
            "domain": "north",
            "rpc": f"{ip}:{self.ports['rpc']}",
            "platform": f"{ip}:{self.ports['platform']}",
            "security": {"between_processes": {"mode": "unauthenticated"}},
            "fleet": {
                "adapter": "medlarpass_platform",
                "seeds": [f"{ip}:{self.ports['control']}" for ip in self.control_ips],
                "first_start": first_start,
                "heartbeat": f"{round(self.heartbeat_seconds * 1000)}ms",
                "hold": "3s",
            },
            "log": {"file": str(self.folder / f"{name}.log")},
            "address_translation": self._address_translation(name),
        }
        if name in self.entries:
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

    def _address_translation(self, name: str) -> list[dict[str, str]]:
        if self.relays is None:
            return []
        port = self.ports["rpc"]
        return [
            {
                "address": f"{ip}:{port}",
                "via": f"{LOOPBACK}:{self.relays.add(name, target, port, ip)}",
            }
            for target, ip in self.addresses.items()
            if target in self.controls and target != name
        ]

    def announced_address_of(self, server: StandInServer) -> str:
        """Return the address that a server announces; with relays, that of its relay."""
        if self.relays is None:
            return server.address
        if server.announced_address:
            return server.announced_address
        port = int(server.address.rpartition(":")[2])
        return f"{LOOPBACK}:{self.relays.add('all', server.identity, port, SERVERS_IP)}"

    async def start(self) -> None:
        """Start all processes for the first time."""
        self.session = aiohttp.ClientSession()
        for name in self.controls:
            await self.start_process(name, first_start=True)
        for name in self.entries:
            await self.start_process(name)

    async def start_process(self, name: str, first_start: bool = False) -> None:
        """Start or restart a process."""
        file = self.folder / f"{name}.yaml"
        if not file.exists():
            settings = self.settings_for(name, first_start)
            file.write_text(yaml.safe_dump(settings), encoding="utf-8")
        elif not first_start:
            settings = yaml.safe_load(file.read_text(encoding="utf-8"))
            settings["fleet"]["first_start"] = False
            file.write_text(yaml.safe_dump(settings), encoding="utf-8")
        self.start_counts[name] += 1
        self.processes[name] = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "medlarpass_daemon",
            "--settings",
            str(file),
            env={**os.environ, "PYTHONPATH": os.pathsep.join(map(str, SOURCE_FOLDERS))},
        )

    async def stop(self) -> None:
        """Stop all processes and servers."""
        for server in self.servers:
            await server.stop()
        for process in self.processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGKILL)
                await process.wait()
        if self.session is not None:
            await self.session.close()

    async def add_server(self, pool: str, identity: str, owned: bool = False) -> StandInServer:
        """Start a stand-in server."""
        server = StandInServer(self, pool, identity, owned)
        self.servers.append(server)
        await server.start()
        return server

    def record_run(self, request_id: str) -> None:
        """Record an execution of a request."""
        self.run_counts[request_id] += 1

    def record_forbidden_arrival(
        self, entry: str, server: StandInServer, since: float, when: str
    ) -> None:
        """Record that a server got a request of an entry that it must not get, unless excused."""
        if not self.is_excused(entry, server.identity, since):
            stalls = [
                f"{begin - since:.2f} to {end - since:.2f}"
                for begin, end in self.stalls
                if end > since
            ]
            self.violations.append(
                f"{server.identity} got a request of {entry} {when}; stalls: {stalls}"
            )

    def check_holders(self, new_holder: StandInServer, first: int, last: int) -> None:
        """Record a violation if a server receives keys that another server still holds."""
        latest_expiry = time.monotonic() + MAX_OVERLAP_SECONDS
        for other in self.servers:
            if (
                other is not new_holder
                and other.is_up
                and other.held_until(first, last) > latest_expiry
            ):
                self.violations.append(
                    f"{new_holder.identity} gets keys {first} to {last} of {other.identity}"
                )

    async def call_control(self, call: str, body: Any) -> tuple[int, str]:
        """Call control, trying its replicas in turn; the status is 0 when none responds.

        :param body: JSON document; None for a call without a body
        """
        assert self.session is not None
        data = json.dumps(body).encode() if body is not None else None
        for ip in self.control_ips:
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
        """Publish a route for each kind of request, retrying until it is confirmed."""
        await self.wait_until(
            lambda: self.publish_once(version, **timeouts), lambda result: result[0] == 200
        )

    async def publish_once(self, version: int, **timeouts: float) -> tuple[int, str]:
        """Send a publication once."""
        return await self.call_control("config.put", self.configuration(version, **timeouts))

    def configuration(self, version: int, **timeouts: float) -> dict[str, Any]:
        """Return a publication with a route for each kind of request."""
        request_types = {"stock": "safe", "orders": "unsafe", "art": "download"}
        pool_names = {"bookings": "stock"}
        routes = [
            {
                "name": name,
                "host": "rolls.example",
                "path_prefix": f"/{name}/",
                "type": request_type,
                "timeout_s": timeouts.get(name, 5),
                "target_latency_s": 1,
                "priority": 1,
                "upstream": pool_names.get(name, name),
                "max_attempts": 2,
            }
            for name, request_type in [*request_types.items(), ("bookings", "unsafe")]
        ]
        pools = [
            {"name": pool_name, "max_connections": 100, "sharded": pool_name == "stock"}
            for pool_name in request_types
        ]
        if self.warmup_rate:
            for pool in pools:
                pool |= {"slow_start_s": COLD_SECONDS, "warmup_per_s": self.warmup_rate}
        return {"version": f"r{version}", "routes": routes, "upstreams": pools, "limits": {}}

    async def send_request(
        self, path: str, method: str = "GET", key: int = 0, **options: Any
    ) -> Any:
        """Send a request of a caller; the status is 0 when there is no response.

        :param options: ``entry``, ``request_id``, ``session``, or options of the HTTP client
        """
        self.requests += 1
        session = options.pop("session", self.session)
        assert session is not None
        entry = options.pop("entry", self.entries[0])
        request_id = options.pop("request_id", f"a{self.requests}")
        self.sent_at[request_id] = time.monotonic()
        self.sent_to[request_id] = entry
        headers = {
            "Host": "rolls.example",
            "Medlarpass-Attempt-Id": request_id,
            "Medlarpass-Deadline-Ms": "5000",
            "Medlarpass-Shard-Key": str(key),
        }
        url = f"http://{self.addresses[entry]}:{self.ports['front']}{path}"
        try:
            async with session.request(method, url, headers=headers, **options) as response:
                return response.status, await response.text(), response.headers
        except (aiohttp.ClientError, TimeoutError):
            return 0, "", {}

    async def wait_until_served(self, path: str, **options: Any) -> Any:
        """Repeat a request until it is served and return the response."""
        return await self.wait_until(
            lambda: self.send_request(path, **options), lambda result: result[0] == 200
        )

    async def wait_until(
        self, action: Callable[[], Any], is_accepted: Callable[[Any], bool]
    ) -> Any:
        """Repeat an action until its result is accepted and return the result."""
        deadline = time.monotonic() + CONDITION_TIMEOUT_SECONDS
        while True:
            result = await action()
            if is_accepted(result):
                return result
            assert time.monotonic() < deadline, f"condition not met in time; last result: {result}"
            await asyncio.sleep(0.1)

    def log_of(self, name: str) -> list[dict[str, Any]]:
        """Return the parsed log of a process."""
        text = (self.folder / f"{name}.log").read_text(encoding="utf-8")
        return [json.loads(line) for line in text.splitlines()]
