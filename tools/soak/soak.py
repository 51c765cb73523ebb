"""Plays a plan of faults while callers and operators check what they are promised."""

from __future__ import annotations

import asyncio
import json
import random
import resource
import signal
import time

from typing import TYPE_CHECKING

import aiohttp

from tools.bench.relay import RelayNetwork
from tools.soak.fleet_system import FleetSystem
from tools.soak.soak_plan import PLANNED
from tools.soak.soak_plan import Fault
from tools.soak.soak_plan import FaultKind
from tools.soak.soak_plan import soak_plan

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

    from tools.bench.relay import Link
    from tools.soak.stand_in_server import StandInServer

ENTRY_COUNT = 3
CALLERS = 6
#: Statuses that promise that a request has not run and never will.
PROMISES = frozenset({408, 421, 429, 503})
#: Bytes that a process may write to one file while its disk counts as full.
FULL = 1
#: Delay of a slow link in seconds.
SLOW = 0.15
#: Seconds from a confirmation until every read shows the version.
APPLY = 2.0
#: Seconds that a server goes on after it has said that it leaves.
DRAIN = 2.0
#: Seconds before a request in which unplanned faults excuse a cut connection.
CALM = 3.0
#: Seconds within which everything is served after the last fault, from the users' bound.
RECOVERY = 15.0
#: Event of a process that begins to listen.
LISTENING = "medlarpass:platform_started"
POOLS = {"stock": 4, "orders": 2, "art": 2}


class Request:
    """What a caller saw of one request."""

    __slots__ = ("begin", "end", "entry", "kind", "request_id", "status")

    def __init__(self, request_id: str, kind: str, entry: str) -> None:
        self.request_id = request_id
        self.kind = kind
        self.entry = entry
        self.begin = time.monotonic()
        self.end = 0.0
        self.status = 0


class Soak:
    """One system under one plan.

    :param seed: seed of the plan and of the callers
    :param folder: empty folder for settings, data and logs
    :param seconds: length of the plan
    """

    def __init__(self, seed: int, folder: Path, seconds: float) -> None:
        self.random = random.Random(seed)
        self.seconds = seconds
        self.relays = RelayNetwork()
        self.system = FleetSystem(folder, ENTRY_COUNT, self.relays)
        identities = [f"{pool}-{n}" for pool, count in POOLS.items() for n in range(count)]
        self.plan = soak_plan(seed, seconds, self.system.controls, self.system.entries, identities)
        self.begun_at = 0.0
        self.requests: list[Request] = []
        #: Version and reading of the clock of each confirmation.
        self.confirmed: list[tuple[int, float]] = []
        self.sent_version = 1
        #: Processes that a fault keeps down.
        self.down: set[str] = set()

    async def run(self) -> list[str]:
        """Play the plan and return what contradicts a promise."""
        try:
            await self._start()
            self.begun_at = time.monotonic()
            work = [
                *(asyncio.create_task(self._call()) for _ in range(CALLERS)),
                asyncio.create_task(self._operate()),
                asyncio.create_task(self._read()),
                asyncio.create_task(self._keep_running()),
            ]
            await asyncio.gather(*(self._play(fault) for fault in self.plan))
            recovered = await self._recover()
            for task in work:
                task.cancel()
            await asyncio.gather(*work, return_exceptions=True)
            if recovered:
                await self._check_last_version()
            self._check_requests()
        finally:
            await self.system.stop()
            self.relays.close()
        return self.system.violations

    async def _start(self) -> None:
        await self.system.start()
        await self.system.publish(1)
        for pool, count in POOLS.items():
            for number in range(count):
                server = await self.system.add_server(pool, f"{pool}-{number}", pool == "stock")
                server.delay = self.random.uniform(0.0, 0.2)
        for entry in self.system.entries:
            for pool in POOLS:
                await self.system.until_served(f"/{pool}/1", entry=entry)

    async def _play(self, fault: Fault) -> None:
        await asyncio.sleep(self.begun_at + fault.begin - time.monotonic())
        server = next((s for s in self.system.servers if s.identity == fault.target), None)
        length = fault.end - fault.begin
        if fault.kind in (FaultKind.CUT, FaultKind.CUT_BACK, FaultKind.DELAY, FaultKind.RESET):
            await self._disturb(fault, length)
        elif server is not None:
            await self._restart_server(server, fault.kind, length)
        else:
            await self._disturb_process(fault, length)

    async def _disturb(self, fault: Fault, length: float) -> None:
        links = list(self._links_of(fault.target))
        for link in links:
            link.is_blocked = fault.kind is FaultKind.CUT
            link.is_return_blocked = fault.kind is FaultKind.CUT_BACK
            link.delay_seconds = SLOW if fault.kind is FaultKind.DELAY else 0.0
            if fault.kind is FaultKind.RESET:
                self.relays.reset(link)
        await asyncio.sleep(length)
        for link in links:
            link.is_blocked = link.is_return_blocked = False
            link.delay_seconds = 0.0

    def _links_of(self, target: str) -> Iterable[Link]:
        return (link for link in self.relays.links.values() if target in (link.source, link.target))

    async def _restart_server(self, server: StandInServer, kind: FaultKind, length: float) -> None:
        if kind is FaultKind.LEAVE:
            server.state = "draining"
            if await server.say():
                await asyncio.sleep(DRAIN)
        await server.stop()
        await asyncio.sleep(length)
        await server.restart()

    async def _disturb_process(self, fault: Fault, length: float) -> None:
        name = fault.target
        process = self.system.processes[name]
        if fault.kind is FaultKind.RELOAD:
            process.send_signal(signal.SIGHUP)
        elif fault.kind is FaultKind.PAUSE:
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(length)
            process.send_signal(signal.SIGCONT)
        elif fault.kind is FaultKind.FULL_DISK:
            _, hard = resource.prlimit(process.pid, resource.RLIMIT_FSIZE)
            resource.prlimit(process.pid, resource.RLIMIT_FSIZE, (FULL, hard))
            await asyncio.sleep(length)
            if process.returncode is None:
                resource.prlimit(process.pid, resource.RLIMIT_FSIZE, (hard, hard))
        else:
            self.down.add(name)
            planned = fault.kind is FaultKind.STOP
            process.send_signal(signal.SIGTERM if planned else signal.SIGKILL)
            has_listened = self._lives(name) == self.system.lives[name]
            status = await process.wait()
            # A process that does not listen yet has no handler for the signal and no request.
            if planned and status and has_listened:
                self.system.violations.append(f"{name} ended with status {status} after SIGTERM")
            await asyncio.sleep(length)
            await self.system.start_process(name)
            self.down.discard(name)

    def _lives(self, name: str) -> int:
        """Return how many lives of a process have begun to listen."""
        return sum(line["message_type"] == LISTENING for line in self.system.log_of(name))

    async def _keep_running(self) -> None:
        """Start processes again that have ended by themselves, as the machines do."""
        while True:
            for name, process in self.system.processes.items():
                if process.returncode is not None and name not in self.down:
                    await self.system.start_process(name)
            await asyncio.sleep(0.2)

    async def _call(self) -> None:
        """Send requests on kept connections."""
        timeout = aiohttp.ClientTimeout(total=6.0)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                await self._send(session)
                await asyncio.sleep(self.random.uniform(0.0, 0.04))

    async def _send(self, session: aiohttp.ClientSession) -> None:
        kind = self.random.choice(["stock", "stock", "orders", "art"])
        request = Request(f"r{len(self.requests)}", kind, self.random.choice(self.system.entries))
        self.requests.append(request)
        path = f"/{kind}/{request.request_id}"
        status, body, headers = await self.system.ask(
            path,
            "POST" if kind == "orders" else "GET",
            self.random.randrange(65_536),
            entry=request.entry,
            request_id=request.request_id,
            session=session,
            data=request.request_id if kind == "orders" else None,
        )
        request.status, request.end = status, time.monotonic()
        if status != 200:
            return
        expected = f"{path} {request.request_id if kind == 'orders' else ''}"
        is_own = body.partition(" ")[2] == expected
        if not is_own or "Medlarpass-Server-Signature" not in headers:
            self._violated(f"{request.request_id} got {body!r}")

    async def _operate(self) -> None:
        """Publish versions one after the other, each until it is confirmed."""
        while True:
            self.sent_version += self.random.randint(1, 3)
            await self.system.publish(self.sent_version)
            self.confirmed.append((self.sent_version, time.monotonic()))
            await asyncio.sleep(self.random.uniform(0.0, 1.0))

    async def _read(self) -> None:
        """Read the publication over and over."""
        while True:
            begun_at = time.monotonic()
            status, text = await self.system.control("config.get", {})
            due = [version for version, at in self.confirmed if at + APPLY <= begun_at]
            if status == 200 and due and int(json.loads(text)["version"][1:]) < due[-1]:
                self._violated(f"version {due[-1]} was confirmed and then read as {text[:40]}")
            await asyncio.sleep(0.1)

    async def _recover(self) -> bool:
        """Wait until each entry serves each kind of request."""
        limit = time.monotonic() + RECOVERY
        for entry in self.system.entries:
            for pool in POOLS:
                while (await self.system.ask(f"/{pool}/1", entry=entry))[0] != 200:
                    if time.monotonic() > limit:
                        self._violated(f"{entry} does not serve {pool} after the faults")
                        return False
                    await asyncio.sleep(0.1)
        return True

    async def _check_last_version(self) -> None:
        _, text = await self.system.until_true(
            lambda: self.system.control("config.get", {}), lambda got: got[0] == 200
        )
        version = int(json.loads(text)["version"][1:])
        newest = self.confirmed[-1][0] if self.confirmed else 1
        if not newest <= version <= self.sent_version:
            self._violated(f"version {newest} was confirmed, {version} is in force")

    def _check_requests(self) -> None:
        for request in self.requests:
            runs = self.system.runs[request.request_id]
            if request.kind == "orders" and runs > 1:
                self._violated(f"{request.request_id} ran {runs} times")
            if request.kind == "orders" and runs and request.status in PROMISES:
                self._violated(f"{request.request_id} was refused with {request.status} and ran")
            if request.end and not request.status and runs and not self._is_excused(request):
                self._violated(f"{request.request_id} was cut off by planned work")

    def _is_excused(self, request: Request) -> bool:
        """Return whether an unplanned fault was near, anywhere."""
        begin = request.begin - self.begun_at - CALM
        end = request.end - self.begun_at
        return any(
            fault.kind not in PLANNED and fault.begin < end and begin < fault.end
            for fault in self.plan
        )

    def _violated(self, text: str) -> None:
        self.system.violations.append(f"{time.monotonic() - self.begun_at:.2f} {text}")
