"""System of the size of a deployment, whose control gets a share of its processor time."""

from __future__ import annotations

import asyncio
import itertools
import os
import random
import signal
import sys
import time

from collections import Counter
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

import aiohttp

from tools.soak.change import Change
from tools.soak.fleet_system import ROOT
from tools.soak.fleet_system import FleetSystem

if TYPE_CHECKING:
    from tools.soak.site_settings import SiteSettings
    from tools.soak.stand_in_server import StandInServer

#: Users' limit for the confirmation of a change while nothing is disturbed.
MAX_CONFIRMATION_SECONDS = 4.0
#: Users' limit for requests to a server after the confirmation that it leaves.
DRAIN_SECONDS = 2.0
#: Time after a disturbance in which a change may take longer.
STABILITY_SECONDS = 4.0
#: Time after which an operator or a server tries the next replica.
CALL_TIMEOUT_SECONDS = 1.0
CHANGE_INTERVAL_SECONDS = 2.0
LEAVING_COUNT = 3
STOP_SECONDS = 2.5
STOP_INTERVAL_SECONDS = 5.0
BUSY_PROGRAM = "while True: pass"
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


class DeployedSite(FleetSystem):
    """Processes, servers, callers and the operator of a site.

    :param folder: empty folder
    :param site: size and load
    :param seed: seed of the callers and of the choice of servers
    """

    heartbeat_seconds = 0.87

    def __init__(self, folder: Path, site: SiteSettings, seed: int) -> None:
        super().__init__(folder, site.entries, controls=site.controls)
        self.site = site
        self.rng = random.Random(seed)
        self.changes: list[Change] = []
        self.version = 1
        #: Address of the replica that each kind of call was answered by last.
        self.answering: dict[str, str] = {}
        #: Times at which a process was stopped or continued.
        self.disturbed_at: list[float] = []
        #: Time of the confirmation that a server leaves.
        self.left_at: dict[str, float] = {}
        self.statuses: Counter[int] = Counter()
        self.share_process: asyncio.subprocess.Process | None = None
        self.busy: list[asyncio.subprocess.Process] = []
        self.began_at = 0.0

    def domain_of(self, name: str) -> str:
        """Return the failure domain of a process or server; they alternate."""
        return f"domain-{int(name.rpartition('-')[2]) % self.site.controls}"

    def settings_for(self, name: str, first_start: bool) -> dict[str, Any]:
        """Return the settings of a process as the deployment has them."""
        settings = super().settings_for(name, first_start)
        settings["domain"] = self.domain_of(name)
        settings["fleet"] |= {"hold": "6s", "longest_hold": "10s", "apply_within": "2s"}
        if "control" in settings:
            settings["control"] |= {
                "heartbeat": "150ms",
                "election_timeout": "600ms",
                "snapshot_records": 500,
                "tolerated_losses": 1,
            }
        return settings

    async def call_control(self, call: str, body: Any) -> tuple[int, str]:
        """Call control once at the replica that answered last, else at any."""
        assert self.session is not None
        kind = call.partition("&")[0]
        ip = self.answering.get(kind) or self.rng.choice(self.control_ips)
        url = f"http://{ip}:{self.ports['control']}/api/rpc?call={call}"
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS)
        try:
            async with self.session.post(url, json=body, timeout=timeout) as response:
                text = await response.text()
                if response.status < 500:
                    self.answering[kind] = str(response.url.host)
                    return response.status, text
        except (aiohttp.ClientError, TimeoutError):
            pass
        self.answering.pop(kind, None)
        return 0, ""

    async def start_site(self) -> None:
        """Start everything and wait until the site serves."""
        await self.start()
        await self.publish(1)
        for pool, count in self.site.server_counts.items():
            for number in range(count):
                await self.add_site_server(pool, f"{pool}-{number}")
        for pool in self.site.server_counts:
            for entry in (self.entries[0], self.entries[-1]):
                await self.wait_until_served(f"/{pool}/1", entry=entry)
        await self._start_disturbers()
        self.began_at = time.monotonic()

    async def add_site_server(self, pool: str, identity: str) -> StandInServer:
        """Start a server in the failure domain of its number."""
        server = await self.add_server(pool, identity, owned=pool == "stock")
        server.zone = self.domain_of(identity)
        server.delay = self.rng.uniform(0.05, 0.2)
        return server

    async def _start_disturbers(self) -> None:
        controls = [self.processes[name] for name in self.controls]
        self.share_process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(ROOT / "tools/soak/processor_share.py"),
            str(self.site.control_share),
            *(str(process.pid) for process in controls),
            stdin=asyncio.subprocess.PIPE,
        )
        for _ in range(self.site.busy_processes):
            self.busy.append(
                await asyncio.create_subprocess_exec(sys.executable, "-c", BUSY_PROGRAM)
            )

    async def stop(self) -> None:
        """Stop all processes and servers."""
        for process in (self.share_process, *self.busy):
            if process is not None:
                process.send_signal(signal.SIGKILL)
                await process.wait()
        await super().stop()

    async def run(self) -> list[str]:
        """Load and disturb the site, and return descriptions of broken rules."""
        tasks = [
            asyncio.create_task(self._send_requests()),
            asyncio.create_task(self._change_configuration()),
            asyncio.create_task(self._let_servers_leave()),
        ]
        if self.site.stops_controls:
            tasks.append(asyncio.create_task(self._stop_controls()))
        await asyncio.sleep(self.site.seconds + self.site.calm_seconds)
        for task in tasks:
            task.cancel()
        for ended in await asyncio.gather(*tasks, return_exceptions=True):
            # A task that has failed has checked nothing since.
            if isinstance(ended, Exception):
                raise ended
        return [*self._late_changes(), *self._late_arrivals()]

    async def _send_requests(self) -> None:
        running: set[asyncio.Task[None]] = set()
        kinds = {"stock": "GET", "orders": "POST", "art": "GET"}
        while True:
            kind = self.rng.choice(["stock", "stock", "stock", "orders", "art"])
            task = asyncio.create_task(self._send_counted(kind, kinds[kind]))
            running.add(task)
            task.add_done_callback(running.discard)
            await asyncio.sleep(self.rng.expovariate(self.site.requests_per_second))

    async def _send_counted(self, kind: str, method: str) -> None:
        status, _, _ = await self.send_request(
            f"/{kind}/{self.requests}",
            method,
            self.rng.randrange(65_536),
            entry=self.rng.choice(self.entries),
            timeout=aiohttp.ClientTimeout(total=5.0),
        )
        self.statuses[status] += 1

    def configuration(self, version: int, **timeouts: float) -> dict[str, Any]:
        """Return a publication; every second one has more routes."""
        body = super().configuration(version, **timeouts)
        model = body["routes"][0]
        for number in range(self.site.extra_routes if version % 2 else 0):
            name = f"more-{version}-{number}"
            body["routes"].append(model | {"name": name, "path_prefix": f"/{name}/"})
        return body

    async def _change_configuration(self) -> None:
        while True:
            await asyncio.sleep(CHANGE_INTERVAL_SECONDS)
            self.version += 1
            change = Change(self.version)
            self.changes.append(change)
            body = self.configuration(self.version)
            await self.wait_until(
                partial(self.call_control, "config.put", body), lambda result: result[0] == 200
            )
            change.confirmed_at = time.monotonic()

    async def _let_servers_leave(self) -> None:
        for turn in itertools.count():
            await asyncio.sleep((self.site.seconds + self.site.calm_seconds) / 4)
            pools = list(self.site.server_counts)
            pool = pools[turn % len(pools)]
            staying = [
                server for server in self.servers if server.pool == pool and server.state == "ready"
            ]
            leaving = self.rng.sample(staying, min(LEAVING_COUNT, len(staying) // 2))
            for server in leaving:
                server.state = "draining"
            await asyncio.gather(*(self._confirm_leave(server) for server in leaving))

    async def _confirm_leave(self, server: StandInServer) -> None:
        await self.wait_until(server.send_heartbeat, bool)
        self.left_at[server.identity] = time.monotonic()

    async def _stop_controls(self) -> None:
        assert self.share_process is not None and self.share_process.stdin is not None
        for name in itertools.cycle(self.controls):
            await asyncio.sleep(STOP_INTERVAL_SECONDS - STOP_SECONDS)
            if time.monotonic() + STOP_SECONDS > self.began_at + self.site.seconds:
                return
            pid = self.processes[name].pid
            for command in ("hold", "free"):
                self.disturbed_at.append(time.monotonic())
                self.share_process.stdin.write(f"{command} {pid}\n".encode())
                if command == "hold":
                    await asyncio.sleep(STOP_SECONDS)

    def _late_changes(self) -> list[str]:
        """Return the changes that took too long in calm, also if they began in a disturbance."""
        now = time.monotonic()
        late = []
        for change in self.changes:
            change.calm_seconds = self._calm_seconds(change, now)
            if change.calm_seconds > MAX_CONFIRMATION_SECONDS:
                late.append(
                    f"version {change.version}, sent {change.began_at - self.began_at:.1f} s after "
                    f"the start, took {change.calm_seconds:.1f} s in calm"
                    + (" and was not confirmed" if change.confirmed_at is None else "")
                )
        return late

    def _calm_seconds(self, change: Change, now: float) -> float:
        """Return the seconds that a change took after the last disturbance before its end."""
        end = now if change.confirmed_at is None else change.confirmed_at
        calm_since = max(
            (at + STABILITY_SECONDS for at in self.disturbed_at if at < end), default=0.0
        )
        return max(end - max(change.began_at, calm_since), 0.0)

    def _late_arrivals(self) -> list[str]:
        late: list[str] = []
        for server in self.servers:
            left_at = self.left_at.get(server.identity)
            if left_at is None:
                continue
            late.extend(
                f"{server.identity} got {request_id}, sent "
                f"{self.sent_at[request_id] - left_at:.1f} s after its leave was confirmed"
                for request_id in server.arrived_requests
                if self.sent_at[request_id] > left_at + DRAIN_SECONDS
            )
        return late

    def longest_calm_change(self) -> float:
        """Return the seconds of the longest change in calm."""
        return max((change.calm_seconds for change in self.changes), default=0.0)

    def processor_seconds(self) -> dict[str, float]:
        """Return the processor time that each control process has used."""
        used = {}
        for name in self.controls:
            status = Path(f"/proc/{self.processes[name].pid}/stat").read_text(encoding="ascii")
            fields = status.rpartition(")")[2].split()
            used[name] = (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND
        return used

    def event_counts(self) -> Counter[str]:
        """Return the number of events of control since the start of the load, by name."""
        since = time.time() - (time.monotonic() - self.began_at)
        return Counter(
            line["message_type"].removeprefix("medlarpass:")
            for name in self.controls
            for line in self.log_of(name)
            if line["timestamp"] > since
        )
