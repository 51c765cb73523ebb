"""Runs a plan of faults while callers and operators check the guarantees of the system."""

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
from tools.soak.soak_plan import PLANNED_KINDS
from tools.soak.soak_plan import Fault
from tools.soak.soak_plan import FaultKind
from tools.soak.soak_plan import soak_plan
from tools.soak.stand_in_server import WARMUP_RATE

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

    from tools.bench.relay import Link
    from tools.soak.stand_in_server import StandInServer

ENTRY_COUNT = 3
CALLER_COUNT = 6
#: Statuses that guarantee that the request was not run and never will be.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
#: Maximum file size of a process while its disk is simulated as full.
FULL_DISK_FILE_BYTES = 1
SLOW_LINK_DELAY_SECONDS = 0.15
#: Time after a confirmation until every read returns the version.
APPLY_TIMEOUT_SECONDS = 2.0
#: Time that a server keeps serving after it announced that it leaves.
DRAIN_SECONDS = 2.0
LOOP_CHECK_SECONDS = 0.02
MAX_LOOP_LAG_SECONDS = 0.1
#: Time for which it is checked afterwards that no request arrives.
LEAVING_CHECK_SECONDS = 1.0
#: Time before a request within which an unplanned fault excuses a broken connection.
EXCUSE_WINDOW_SECONDS = 3.0
#: Limit from the requirements of the users for serving all requests after the last fault.
RECOVERY_TIMEOUT_SECONDS = 15.0
#: Log event of a process that starts listening.
LISTENING_EVENT = "medlarpass:platform_started"
#: Kinds of request that run at most once.
ORDER_KINDS = frozenset({"orders", "bookings"})
SERVER_COUNTS = {"stock": 4, "orders": 2, "art": 2}
#: Failure domain that is evacuated in turn with half of the servers, and bounds of the times for
#: which it is evacuated and used again. The former is longer than the 5 s after which servers of an
#: evacuated domain must get no requests.
EVACUATED_DOMAIN = "south"
EVACUATION_SECONDS = (6.0, 8.0)
RETURN_SECONDS = (1.0, 3.0)


class Request:
    """Result of a request as observed by its caller."""

    __slots__ = ("begin", "end", "entry", "kind", "request_id", "status")

    def __init__(self, request_id: str, kind: str, entry: str) -> None:
        self.request_id = request_id
        self.kind = kind
        self.entry = entry
        self.begin = time.monotonic()
        self.end = 0.0
        self.status = 0


class Soak:
    """Run of one plan against one system.

    :param seed: seed of the plan and of the callers
    :param folder: empty folder for settings, data and logs
    :param seconds: duration of the plan
    :param has_pauses: whether servers also ask for no requests when they refuse one
    :param has_evacuations: whether a failure domain with half of the servers is also evacuated, and
        servers are cold after a start and after an evacuation
    """

    def __init__(
        self,
        seed: int,
        folder: Path,
        seconds: float,
        has_pauses: bool = False,
        has_evacuations: bool = False,
    ) -> None:
        self.seed = seed
        self.has_pauses = has_pauses
        self.has_evacuations = has_evacuations
        self.rng = random.Random(seed)
        self.seconds = seconds
        self.relays = RelayNetwork()
        self.system = FleetSystem(folder, ENTRY_COUNT, self.relays)
        identities = [f"{pool}-{n}" for pool, count in SERVER_COUNTS.items() for n in range(count)]
        self.plan = soak_plan(seed, seconds, self.system.controls, self.system.entries, identities)
        self.system.is_excused = self._is_arrival_excused
        self.started_at = 0.0
        self.requests: list[Request] = []
        #: Version and time of each confirmed publication.
        self.confirmed: list[tuple[int, float]] = []
        self.sent_version = 1
        #: Processes that a fault keeps stopped.
        self.stopped_processes: set[str] = set()

    async def run(self) -> list[str]:
        """Run the plan and return descriptions of violated guarantees."""
        try:
            await self._start()
            self.started_at = time.monotonic()
            background_tasks = [
                *(asyncio.create_task(self._run_caller()) for _ in range(CALLER_COUNT)),
                asyncio.create_task(self._publish_versions()),
                asyncio.create_task(self._read_publications()),
                asyncio.create_task(self._keep_running()),
                asyncio.create_task(self._watch_loop()),
            ]
            if self.has_evacuations:
                background_tasks.append(asyncio.create_task(self._evacuate_in_turn()))
            await asyncio.gather(*(self._inject_fault(fault) for fault in self.plan))
            recovered = await self._recover()
            for task in background_tasks:
                task.cancel()
            await asyncio.gather(*background_tasks, return_exceptions=True)
            self.system.evacuated_at = None
            if recovered:
                await self._check_last_version()
            self._check_requests()
        finally:
            await self.system.stop()
            self.relays.close()
        return self.system.violations

    async def _start(self) -> None:
        if self.has_evacuations:
            self.system.warmup_rate = WARMUP_RATE
        await self.system.start()
        await self.system.publish(1)
        for pool, count in SERVER_COUNTS.items():
            for number in range(count):
                server = await self.system.add_server(pool, f"{pool}-{number}", pool == "stock")
                server.delay = self.rng.uniform(0.0, 0.2)
                if self.has_evacuations and number % 2:
                    server.zone = EVACUATED_DOMAIN
                if pool == "stock":
                    server.faults = random.Random(f"{self.seed} {server.identity}")
                    server.has_pauses = self.has_pauses
        for entry in self.system.entries:
            for pool in SERVER_COUNTS:
                await self.system.wait_until_served(f"/{pool}/1", entry=entry)

    async def _inject_fault(self, fault: Fault) -> None:
        await asyncio.sleep(self.started_at + fault.begin - time.monotonic())
        server = next(
            (candidate for candidate in self.system.servers if candidate.identity == fault.target),
            None,
        )
        duration = fault.end - fault.begin
        if fault.kind in (FaultKind.CUT, FaultKind.CUT_BACK, FaultKind.DELAY, FaultKind.RESET):
            await self._disturb_links(fault, duration)
        elif server is not None:
            await self._restart_server(server, fault.kind, duration)
        else:
            await self._disturb_process(fault, duration)

    async def _disturb_links(self, fault: Fault, duration: float) -> None:
        links = list(self._links_of(fault.target))
        for link in links:
            link.is_blocked = fault.kind is FaultKind.CUT
            link.is_return_blocked = fault.kind is FaultKind.CUT_BACK
            link.delay_seconds = SLOW_LINK_DELAY_SECONDS if fault.kind is FaultKind.DELAY else 0.0
            if fault.kind is FaultKind.RESET:
                self.relays.reset(link)
        await asyncio.sleep(duration)
        for link in links:
            link.is_blocked = link.is_return_blocked = False
            link.delay_seconds = 0.0

    def _links_of(self, target: str) -> Iterable[Link]:
        return (link for link in self.relays.links.values() if target in (link.source, link.target))

    async def _restart_server(
        self, server: StandInServer, kind: FaultKind, duration: float
    ) -> None:
        if kind is FaultKind.LEAVE:
            server.state = "draining"
            server.says_leaving = True
            if await server.send_heartbeat():
                await asyncio.sleep(DRAIN_SECONDS + LEAVING_CHECK_SECONDS)
        await server.stop()
        await asyncio.sleep(duration)
        await server.restart()

    async def _disturb_process(self, fault: Fault, duration: float) -> None:
        name = fault.target
        process = self.system.processes[name]
        if fault.kind is FaultKind.RELOAD:
            process.send_signal(signal.SIGHUP)
        elif fault.kind is FaultKind.PAUSE:
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(duration)
            process.send_signal(signal.SIGCONT)
        elif fault.kind is FaultKind.FULL_DISK:
            _, hard = resource.prlimit(process.pid, resource.RLIMIT_FSIZE)
            resource.prlimit(process.pid, resource.RLIMIT_FSIZE, (FULL_DISK_FILE_BYTES, hard))
            await asyncio.sleep(duration)
            if process.returncode is None:
                resource.prlimit(process.pid, resource.RLIMIT_FSIZE, (hard, hard))
        else:
            self.stopped_processes.add(name)
            is_planned = fault.kind is FaultKind.STOP
            process.send_signal(signal.SIGTERM if is_planned else signal.SIGKILL)
            has_listened = self._count_listening_starts(name) == self.system.start_counts[name]
            status = await process.wait()
            # A process that is not listening yet has no signal handler and no requests.
            if is_planned and status and has_listened:
                self.system.violations.append(f"{name} ended with status {status} after SIGTERM")
            await asyncio.sleep(duration)
            await self.system.start_process(name)
            self.stopped_processes.discard(name)

    def _count_listening_starts(self, name: str) -> int:
        """Return how many times a process has started and reached the listening state."""
        return sum(line["message_type"] == LISTENING_EVENT for line in self.system.log_of(name))

    async def _keep_running(self) -> None:
        """Restart processes that ended by themselves, as the VMs do."""
        while True:
            for name, process in self.system.processes.items():
                if process.returncode is not None and name not in self.stopped_processes:
                    await self.system.start_process(name)
            await asyncio.sleep(0.2)

    async def _watch_loop(self) -> None:
        """Record stalls of this process, in which arrivals are noticed late."""
        while True:
            begin = time.monotonic()
            await asyncio.sleep(LOOP_CHECK_SECONDS)
            end = time.monotonic()
            if end - begin > LOOP_CHECK_SECONDS + MAX_LOOP_LAG_SECONDS:
                self.system.stalls.append((begin, end))

    async def _run_caller(self) -> None:
        """Send requests over persistent connections."""
        timeout = aiohttp.ClientTimeout(total=6.0)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                await self._send_request(session)
                await asyncio.sleep(self.rng.uniform(0.0, 0.04))

    async def _send_request(self, session: aiohttp.ClientSession) -> None:
        kind = self.rng.choice(["stock", "stock", "bookings", "orders", "art"])
        request = Request(f"r{len(self.requests)}", kind, self.rng.choice(self.system.entries))
        self.requests.append(request)
        path = f"/{kind}/{request.request_id}"
        status, body, headers = await self.system.send_request(
            path,
            "POST" if kind in ORDER_KINDS else "GET",
            self.rng.randrange(65_536),
            entry=request.entry,
            request_id=request.request_id,
            session=session,
            data=request.request_id if kind in ORDER_KINDS else None,
        )
        request.status, request.end = status, time.monotonic()
        if status != 200:
            return
        expected = f"{path} {request.request_id if kind in ORDER_KINDS else ''}"
        is_own = body.partition(" ")[2] == expected
        if not is_own or "Medlarpass-Server-Signature" not in headers:
            self._record_violation(f"{request.request_id} got {body!r}")

    async def _publish_versions(self) -> None:
        """Publish versions one after the other, retrying each until it is confirmed."""
        while True:
            self.sent_version += self.rng.randint(1, 3)
            await self.system.publish(self.sent_version)
            self.confirmed.append((self.sent_version, time.monotonic()))
            await asyncio.sleep(self.rng.uniform(0.0, 1.0))

    async def _evacuate_in_turn(self) -> None:
        """Evacuate a failure domain and take it back, again and again."""
        rng = random.Random(f"{self.seed} evacuations")
        while True:
            await asyncio.sleep(rng.uniform(*RETURN_SECONDS))
            await self._order_evacuation("start")
            self.system.evacuated_at = time.monotonic()
            await asyncio.sleep(rng.uniform(*EVACUATION_SECONDS))
            self.system.evacuated_at = None
            for server in self.system.servers:
                if server.zone == EVACUATED_DOMAIN:
                    server.become_cold()
            await self._order_evacuation("end")

    async def _order_evacuation(self, order: str) -> None:
        await self.system.wait_until(
            lambda: self.system.call_control(f"evacuate.{order}&of={EVACUATED_DOMAIN}", None),
            lambda result: result[0] == 200,
        )

    async def _read_publications(self) -> None:
        """Read the publication repeatedly."""
        while True:
            started_at = time.monotonic()
            status, text = await self.system.call_control("config.get", {})
            due_versions = [
                version
                for version, confirmed_at in self.confirmed
                if confirmed_at + APPLY_TIMEOUT_SECONDS <= started_at
            ]
            if (
                status == 200
                and due_versions
                and int(json.loads(text)["version"][1:]) < due_versions[-1]
            ):
                self._record_violation(
                    f"version {due_versions[-1]} was confirmed and then read as {text[:40]}"
                )
            await asyncio.sleep(0.1)

    async def _recover(self) -> bool:
        """Wait until every entry serves every kind of request; return False after the limit."""
        deadline = time.monotonic() + RECOVERY_TIMEOUT_SECONDS
        for entry in self.system.entries:
            for pool in SERVER_COUNTS:
                while (await self.system.send_request(f"/{pool}/1", entry=entry))[0] != 200:
                    if time.monotonic() > deadline:
                        self._record_violation(f"{entry} does not serve {pool} after the faults")
                        return False
                    await asyncio.sleep(0.1)
        return True

    async def _check_last_version(self) -> None:
        _, text = await self.system.wait_until(
            lambda: self.system.call_control("config.get", {}), lambda result: result[0] == 200
        )
        version = int(json.loads(text)["version"][1:])
        newest_confirmed = self.confirmed[-1][0] if self.confirmed else 1
        if not newest_confirmed <= version <= self.sent_version:
            self._record_violation(
                f"version {newest_confirmed} was confirmed, but {version} is in force"
            )

    def _check_requests(self) -> None:
        for request in self.requests:
            runs = self.system.run_counts[request.request_id]
            if request.kind in ORDER_KINDS and runs > 1:
                self._record_violation(f"{request.request_id} ran {runs} times")
            if request.kind in ORDER_KINDS and runs and request.status in NOT_RUN_STATUSES:
                self._record_violation(
                    f"{request.request_id} was refused with {request.status} and ran"
                )
            if request.end and not request.status and runs and not self._is_excused(request):
                self._record_violation(
                    f"{request.request_id} was cut off during planned operations"
                )

    def _is_excused(self, request: Request) -> bool:
        """Return whether any unplanned fault occurred during the request or shortly before."""
        begin = request.begin - self.started_at - EXCUSE_WINDOW_SECONDS
        end = request.end - self.started_at
        return any(
            fault.kind not in PLANNED_KINDS and fault.begin < end and begin < fault.end
            for fault in self.plan
        )

    def _is_arrival_excused(self, entry: str, server: str, since: float) -> bool:
        """Return whether a fault disturbed an entry or a server since shortly before a time.

        A reload of an entry and the leave of a server are no excuse.
        """
        begin = since - self.started_at - EXCUSE_WINDOW_SECONDS
        return any(
            fault.target in (entry, server)
            and fault.kind not in (FaultKind.LEAVE, FaultKind.RELOAD)
            and fault.end > begin
            and fault.begin < time.monotonic() - self.started_at
            for fault in self.plan
        )

    def _record_violation(self, text: str) -> None:
        self.system.violations.append(f"{time.monotonic() - self.started_at:.2f} {text}")
