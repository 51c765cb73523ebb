"""Test doubles for servers, callers and the rest of the entry."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING
from typing import Any

import aiohttp
import pytest

from multidict import CIMultiDict
from prometheus_client import CollectorRegistry

from medlarpass import BootClock
from medlarpass.dispatch import PeerLoads
from medlarpass.ledger import LedgerUnavailableError
from medlarpass.ledger import OrderLedger
from medlarpass.rpc import control_pb2
from medlarpass.tables import Pool
from medlarpass.tables import Route
from medlarpass.tables import RouteMatcher
from medlarpass_daemon.entry.callers import CallersMetrics
from medlarpass_daemon.entry.callers import CallersServer
from medlarpass_daemon.entry.callers import NoOwnerError
from medlarpass_daemon.entry.callers import Target
from medlarpass_daemon.settings import DaemonSettings
from medlarpass_daemon.settings.schema import SETTINGS_SCHEMA

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable
    from collections.abc import Callable

#: Maximum time of any single wait in a test.
TEST_TIMEOUT_SECONDS = 20.0


def entry_settings(**entry: Any) -> DaemonSettings:
    """Return settings of an entry that listens on a free port."""
    member = {"name": "e1", "domain": "d1", "address": "127.0.0.1:7001"}
    listener = {"ip": "127.0.0.1", "port": 1}
    document = {
        "name": "e1",
        "domain": "d1",
        "roles": ["entry"],
        "rpc": listener,
        "platform": listener,
        "security": {"between_processes": {"mode": "unauthenticated"}},
        "entry": {
            "callers": listener,
            "servers": listener,
            "peers": [member],
            "control": ["127.0.0.1:7002"],
            **entry,
        },
    }
    settings = DaemonSettings(SETTINGS_SCHEMA(document))
    assert settings.entry is not None
    settings.entry.callers.port = 0
    return settings


class OffsetClock:
    """The boot clock with an offset; a test increases it to simulate a suspension."""

    def __init__(self) -> None:
        self.clock = BootClock()
        self.offset = 0.0

    def now(self) -> float:
        return self.clock.now() + self.offset


class RecordedRequest:
    """A request as received by a server."""

    def __init__(self, line: str, headers: CIMultiDict[str]) -> None:
        self.method, self.path, _ = line.split(" ")
        self.headers = headers
        self.body = b""


Behaviour = (
    "Callable[[RecordedRequest, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]"
)


def response_bytes(
    body: bytes = b"done", status: str = "200 OK", headers: str = "", length: int | None = None
) -> bytes:
    """Return the bytes of an HTTP response."""
    size = len(body) if length is None else length
    return f"HTTP/1.1 {status}\r\nContent-Length: {size}\r\n{headers}\r\n".encode() + body


def respond_with(data: bytes, closes: bool = False) -> Any:
    """Return a behaviour that writes fixed bytes."""

    async def behave(
        request: RecordedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(data)
        if closes:
            writer.close()

    return behave


async def reset_connection(
    request: RecordedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Reset the connection after the request was read."""
    writer.transport.abort()


class ScriptedServer:
    """A server that records requests and responds with scripted behaviours.

    Behaviours are used in order; the last one is used for all further requests.
    """

    def __init__(self, behaviours: list[Any], reads_body: bool = True) -> None:
        self.behaviours = behaviours
        self.reads_body = reads_body
        self.requests: list[RecordedRequest] = []
        self.connections = 0
        self.connection_lost = asyncio.Event()
        self.writers: set[asyncio.StreamWriter] = set()
        self.port = 0
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve_connection, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(0)

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self.writers.add(writer)
        try:
            while True:
                await self._serve_request(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            self.connection_lost.set()
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _serve_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        headers: CIMultiDict[str] = CIMultiDict()
        for line in head[1:-2]:
            name, _, value = line.partition(":")
            headers.add(name, value.strip())
        request = RecordedRequest(head[0], headers)
        self.requests.append(request)
        if self.reads_body:
            request.body = await _read_body(reader, headers)
        index = min(len(self.requests), len(self.behaviours)) - 1
        await self.behaviours[index](request, reader, writer)
        await writer.drain()


async def _read_body(reader: asyncio.StreamReader, headers: CIMultiDict[str]) -> bytes:
    if "Content-Length" in headers:
        return await reader.readexactly(int(headers["Content-Length"]))
    if "Transfer-Encoding" not in headers:
        return b""
    parts = []
    while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
        parts.append(await reader.readexactly(size))
        await reader.readexactly(2)
    await reader.readexactly(2)
    return b"".join(parts)


class FakeRouting:
    """The configuration in force."""

    def __init__(self) -> None:
        self.routes: dict[str, Route] = {}
        self.pools: dict[str, Pool] = {}
        self.revision = 0
        self.matcher = RouteMatcher(())

    def pool_of(self, route: Route) -> Pool:
        return self.pools[route.pool]

    def add(self, name: str, owned: bool = False, **document: Any) -> Route:
        pool = f"{name}-pool"
        self.pools[pool] = Pool.from_document(pool, {"owned": owned})
        self.routes[name] = Route.from_document(name, {"pool": pool, **document})
        self.matcher = RouteMatcher(self.routes.values())
        self.revision += 1
        return self.routes[name]


class FakeOwners:
    """Owners of keys, set by the test."""

    cancels_attempts_on_owner_change = True

    def __init__(self) -> None:
        self.owners: dict[str, Target] = {}
        self.changed = asyncio.Event()

    def owner_of(self, pool: Pool, key: str) -> Target:
        if key not in self.owners:
            raise NoOwnerError(f"no server owns {key}")
        return self.owners[key]

    def is_current(self, pool: Pool, key: str, target: Target) -> bool:
        return self.owners.get(key) == target

    async def wait_for_change(self, timeout: float) -> None:
        await asyncio.wait([asyncio.ensure_future(self.changed.wait())], timeout=timeout)

    def move(self, key: str, target: Target | None) -> None:
        if target is None:
            self.owners.pop(key, None)
        else:
            self.owners[key] = target
        self.changed.set()
        self.changed = asyncio.Event()


class FakeServers:
    """Servers of all pools."""

    def __init__(self) -> None:
        self.targets: list[Target] = []
        self.evacuated: set[str] = set()

    def available_servers(self, pool_name: str) -> list[Target]:
        return list(self.targets)

    def may_send_to(self, target: Target) -> bool:
        return target.identity not in self.evacuated


class InMemoryClaims:
    """Claims in an in-memory ledger, with faults set by the test."""

    def __init__(self) -> None:
        self.ledger = OrderLedger()
        self.before_claim: Callable[[], Awaitable[None]] | None = None
        self.after_claim: Callable[[], Awaitable[None]] | None = None
        self.is_unavailable = False
        self.failing_completions = 0
        self.completions = 0
        self.releases = 0

    async def claim(
        self, route: str, idempotency_key: str, digest: bytes, attempt: str, deadline: float
    ) -> control_pb2.ClaimResult:
        if self.before_claim:
            await self.before_claim()
        if self.is_unavailable:
            raise LedgerUnavailableError("no majority")
        request = control_pb2.ClaimOrder(
            route=route,
            idempotency_key=idempotency_key,
            body_digest=digest,
            attempt=attempt,
            entry="e1",
        )
        result = self.ledger.claim(request, 0)
        if self.after_claim:
            await self.after_claim()
        return result

    async def complete(
        self, route: str, idempotency_key: str, attempt: str, answer: control_pb2.RecordedAnswer
    ) -> None:
        if self.failing_completions:
            self.failing_completions -= 1
            raise LedgerUnavailableError("no majority")
        self.completions += 1
        request = control_pb2.CompleteOrder(
            route=route, idempotency_key=idempotency_key, attempt=attempt, answer=answer
        )
        self.ledger.complete(request, 0)

    async def release(self, route: str, idempotency_key: str, attempt: str) -> None:
        if self.is_unavailable:
            raise LedgerUnavailableError("no majority")
        self.releases += 1
        request = control_pb2.ReleaseOrder(
            route=route, idempotency_key=idempotency_key, attempt=attempt
        )
        self.ledger.release(request, 0)


class CallerResponse:
    """A response as received by a caller."""

    def __init__(self, status: int, headers: Any, body: bytes, document: Any) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.document = document


class EntryHarness:
    """Starts entries and servers and sends requests as a caller."""

    def __init__(self) -> None:
        self.clock = OffsetClock()
        self.routing = FakeRouting()
        self.owners = FakeOwners()
        self.servers = FakeServers()
        self.claims = InMemoryClaims()
        self.peer_loads = PeerLoads(2.0)
        self.entries: list[CallersServer] = []
        self.scripted_servers: list[ScriptedServer] = []
        self.callers = aiohttp.ClientSession(
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=TEST_TIMEOUT_SECONDS),
        )

    async def start_server(self, *behaviours: Any, slots: int = 4, reads_body: bool = True) -> Any:
        """Start a server and add it to all pools."""
        scripted_server = ScriptedServer(
            list(behaviours) or [respond_with(response_bytes())], reads_body
        )
        await scripted_server.start()
        self.scripted_servers.append(scripted_server)
        self.servers.targets.append(self.target(scripted_server.port, slots))
        return scripted_server

    def target(self, port: int, slots: int = 4, fence: int | None = None) -> Target:
        """Return a server as the entry knows it."""
        shard = None if fence is None else 7
        return Target(f"s{port}", 1, "127.0.0.1", port, slots, 100, shard, fence)

    async def start_entry(self, **settings: Any) -> CallersServer:
        """Start an entry."""
        entry = CallersServer(
            entry_settings(**settings),
            self.routing,
            self.owners,
            self.servers,
            self.claims,
            self.peer_loads,
            self.clock,
            CallersMetrics(CollectorRegistry()),
        )
        await entry.start()
        self.entries.append(entry)
        return entry

    def allow_retries(self, name: str, entry: CallersServer | None = None) -> None:
        """Fill the retry budget of a route as 100 earlier requests would."""
        entry = entry or self.entries[0]
        state = entry.context.admission.state_of(self.routing.routes[name])
        for _ in range(100):
            state.retry_policy.budget.request_started()

    async def send(
        self,
        path: str,
        method: str = "GET",
        entry: CallersServer | None = None,
        headers: dict[str, str] | None = None,
        **options: Any,
    ) -> CallerResponse:
        """Send a request as a caller and return the complete response."""
        entry = entry or self.entries[0]
        url = f"http://127.0.0.1:{entry.port}{path}"
        async with self.callers.request(
            method, url, headers=headers, allow_redirects=False, **options
        ) as response:
            body = await response.read()
            is_error = "Medlarpass-Outcome" in response.headers
            document = await response.json() if is_error and body else None
            return CallerResponse(response.status, response.headers, body, document)

    async def connect(
        self, entry: CallersServer | None = None
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a TCP connection to an entry."""
        entry = entry or self.entries[0]
        return await asyncio.open_connection("127.0.0.1", entry.port)

    async def wait_until(self, condition: Callable[[], object]) -> None:
        """Wait until a condition holds."""
        limit = asyncio.get_running_loop().time() + TEST_TIMEOUT_SECONDS
        while True:
            if condition():
                return
            assert asyncio.get_running_loop().time() < limit, "the condition did not become true"
            await asyncio.sleep(0.005)

    async def close(self) -> None:
        await self.callers.close()
        for entry in self.entries:
            await entry.finish(0)
        for scripted_server in self.scripted_servers:
            await scripted_server.stop()


class Builders:
    """Helpers for tests, provided as a fixture because test modules can't import each other."""

    response_bytes = staticmethod(response_bytes)
    respond_with = staticmethod(respond_with)
    reset_connection = staticmethod(reset_connection)
    entry_settings = staticmethod(entry_settings)
    EntryHarness = EntryHarness


@pytest.fixture
def builders() -> type[Builders]:
    """Return the helpers that build responses, behaviours and settings."""
    return Builders


@pytest.fixture
async def harness() -> AsyncIterator[EntryHarness]:
    """Return a harness with the routes that most tests use."""
    harness = EntryHarness()
    harness.routing.add(
        "stock",
        owned=True,
        path="/stock/{roll}",
        methods=["GET", "POST"],
        key={"from": "path", "name": "roll"},
        **{"class": "enquiry"},
    )
    harness.routing.add("orders", path="/orders", methods=["POST"], **{"class": "order"})
    harness.routing.add(
        "spots",
        path="/spots",
        methods=["POST"],
        limits={"body_bytes": 16 << 20},
        **{"class": "upload"},
    )
    harness.routing.add(
        "art",
        path="/art/**",
        methods=["GET", "HEAD", "PUT"],
        deadline_ms=60_000,
        limits={"body_bytes": 1 << 40},
        **{"class": "download"},
    )
    yield harness
    await harness.close()
