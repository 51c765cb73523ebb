from __future__ import annotations

import json

from types import SimpleNamespace
from typing import TYPE_CHECKING
from typing import Any

import aiohttp
import pytest

from medlarpass.publication import InvalidPublicationError
from medlarpass.publication import Publication
from medlarpass_daemon.control.fleet.exceptions import DomainNotKnownYetError
from medlarpass_daemon.control.fleet.exceptions import EvacuationNotFollowedError
from medlarpass_daemon.control.fleet.exceptions import NotLeadingError
from medlarpass_daemon.control.fleet.exceptions import NotPublishedError
from medlarpass_daemon.control.fleet.exceptions import UnknownDomainError
from medlarpass_daemon.exceptions import UnknownResultError
from medlarpass_daemon.settings import ListenerSettings
from medlarpass_platform.control_listener import ControlListener

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

HEARTBEAT = {
    "upstream": "rolls",
    "address": "10.128.0.9:8080",
    "zone": "north",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "slow_start_s_time": 0,
    "sequence": 4,
    "born": 17,
}
CONFIGURATION = {"version": "r7", "routes": [], "upstreams": [], "limits": {}}


class FakeOperations:
    """Fake of FleetOperations that records calls."""

    def __init__(self) -> None:
        self.calls: list[tuple[Any, ...]] = []
        self.error: Exception | None = None

    async def handle_heartbeat(self, heartbeat: Any) -> None:
        self._record("handle_heartbeat", heartbeat.identity, heartbeat.is_leaving)

    def check_leading(self) -> None:
        if isinstance(self.error, NotLeadingError):
            raise self.error

    async def retire(self, identity: str, incarnation: int | None) -> None:
        self._record("retire", identity, incarnation)

    async def set_evacuation(self, domain: str, evacuated: bool) -> None:
        self._record("set_evacuation", domain, evacuated)

    async def publish(self, document: Any, source: bytes) -> int:
        Publication.from_document(document)
        self._record("publish", document["version"], source)
        return int(document["version"])

    async def read_publication(self) -> bytes:
        self._record("read_publication")
        return b'{"version":"r7"}'

    def _record(self, *call: Any) -> None:
        if self.error is not None:
            raise self.error
        self.calls.append(call)


class ListenerClient:
    """A listener with fake operations and an HTTP client for it."""

    def __init__(self) -> None:
        self.operations = FakeOperations()
        address = ListenerSettings({"ip": "127.0.0.1", "port": 0})
        settings: Any = SimpleNamespace(fleet=SimpleNamespace(listener=address))
        operations: Any = self.operations
        self.listener = ControlListener(settings, operations)
        self.session: aiohttp.ClientSession | None = None

    async def call(self, name: str, body: Any = None, of: str = "") -> tuple[int, Any, str]:
        """Return status, headers and body of a call."""
        (address,) = self.listener.http.runner.addresses
        url = f"http://127.0.0.1:{address[1]}/api/rpc?call={name}" + (f"&of={of}" if of else "")
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        assert self.session is not None
        async with self.session.post(url, data=data, allow_redirects=False) as response:
            return response.status, response.headers, await response.text()


@pytest.fixture
async def client() -> AsyncIterator[ListenerClient]:
    listener_client = ListenerClient()
    await listener_client.listener.start()
    async with aiohttp.ClientSession() as session:
        listener_client.session = session
        yield listener_client
    await listener_client.listener.stop()


async def test_calls_reach_control(client: ListenerClient) -> None:
    """Guards against a call that is mapped to the wrong operation."""
    source = json.dumps(CONFIGURATION).encode()
    assert (await client.call("instances.heartbeat", HEARTBEAT, "i-1"))[0] == 200
    draining = {**HEARTBEAT, "state": "draining"}
    assert (await client.call("instances.heartbeat", draining, "i-1"))[0] == 200
    assert (await client.call("instances.deregister", {"born": 17}, "i-1"))[0] == 200
    assert (await client.call("instances.deregister", b"", "i-2"))[0] == 200
    assert (await client.call("config.put", source))[0] == 200
    status, _, text = await client.call("config.get")
    assert (status, text) == (200, '{"version":"r7"}')
    assert client.operations.calls == [
        ("handle_heartbeat", "i-1", False),
        ("handle_heartbeat", "i-1", True),
        ("retire", "i-1", 17),
        ("retire", "i-2", None),
        ("publish", 7, source),
        ("read_publication",),
    ]


async def test_another_replica_names_the_leader(client: ListenerClient) -> None:
    """Guards against a follower that does not redirect callers to the leader."""
    client.operations.error = NotLeadingError("10.2.0.9:7540")
    status, headers, _ = await client.call("instances.heartbeat", HEARTBEAT, "i-1")
    assert status == 307
    assert headers["Location"].startswith("http://10.2.0.9:")
    assert headers["Location"].endswith("/api/rpc?call=instances.heartbeat&of=i-1")


async def test_another_replica_does_not_parse_a_configuration(client: ListenerClient) -> None:
    """Guards against a follower that names the leader only after it has checked all routes.

    With thousands of routes the caller gave up meanwhile, and tried the next follower.
    """
    client.operations.error = NotLeadingError("10.2.0.9:7540")
    assert (await client.call("config.put", b"{"))[0] == 307


@pytest.mark.parametrize(
    ("error", "status"),
    [
        (NotLeadingError(""), 503),
        (NotPublishedError(""), 503),
        (UnknownResultError(""), 504),
        (InvalidPublicationError(""), 400),
    ],
)
async def test_an_error_is_answered_with_its_status(
    client: ListenerClient, error: Exception, status: int
) -> None:
    """Guards against reporting success for a failed operation."""
    client.operations.error = error
    assert (await client.call("config.put", CONFIGURATION))[0] == status


@pytest.mark.parametrize("body", [b"", b"{", b"[]", b'{"version":"r7","routes":["..."]}'])
async def test_an_unreadable_configuration_is_refused(client: ListenerClient, body: bytes) -> None:
    """Guards against confirming an incomplete configuration."""
    assert (await client.call("config.put", body))[0] == 400
    assert client.operations.calls == []


@pytest.mark.parametrize(
    "body",
    [
        b"[" * 100_000,
        json.dumps({**HEARTBEAT, "born": 1 << 64}).encode(),
        json.dumps({**HEARTBEAT, "address": "10.128.0.9:70000"}).encode(),
        json.dumps(HEARTBEAT).encode().replace(b"rolls", b"r\xed\xa0\x80"),
    ],
    ids=["nested", "number", "port", "text"],
)
async def test_an_odd_heartbeat_does_not_affect_the_next_one(
    client: ListenerClient, body: bytes
) -> None:
    """Guards against one odd entry that ends processes or keeps them from following the others."""
    assert (await client.call("instances.heartbeat", body, "i-9"))[0] == 400
    assert (await client.call("instances.heartbeat", HEARTBEAT, "i-1"))[0] == 200
    assert client.operations.calls == [("handle_heartbeat", "i-1", False)]


async def test_an_unknown_call_is_not_found(client: ListenerClient) -> None:
    """Guards against a misspelt call that is reported as successful."""
    assert (await client.call("config.push", {}))[0] == 404


async def test_evacuations_reach_control(client: ListenerClient) -> None:
    """Guards against an evacuation that is started in place of ended, or of another domain."""
    assert (await client.call("evacuate.start", b"", "north"))[0] == 200
    assert (await client.call("evacuate.end", b"", "south"))[0] == 200
    assert client.operations.calls == [
        ("set_evacuation", "north", True),
        ("set_evacuation", "south", False),
    ]


@pytest.mark.parametrize("call", ["evacuate.start", "evacuate.end"])
@pytest.mark.parametrize("body", [b"{}", b" ", b"x" * (9 << 20)], ids=["object", "space", "large"])
async def test_an_evacuation_with_a_body_is_refused(
    client: ListenerClient, call: str, body: bytes
) -> None:
    """Guards against a call whose body asks for something that is not done."""
    assert (await client.call(call, body, "north"))[0] == 400
    assert client.operations.calls == []


async def test_an_evacuation_with_a_chunked_body_is_refused(client: ListenerClient) -> None:
    """Guards against a body that is overlooked because its length is not announced."""

    async def chunks() -> AsyncIterator[bytes]:
        yield b"{}"

    (address,) = client.listener.http.runner.addresses
    url = f"http://127.0.0.1:{address[1]}/api/rpc?call=evacuate.start&of=north"
    assert client.session is not None
    async with client.session.post(url, data=chunks()) as response:
        assert response.status == 400
    assert client.operations.calls == []


@pytest.mark.parametrize(
    ("error", "status"),
    [
        (UnknownDomainError(""), 422),
        (DomainNotKnownYetError(""), 503),
        (EvacuationNotFollowedError(""), 503),
        (NotLeadingError("10.2.0.9:7540"), 307),
    ],
)
async def test_an_evacuation_that_fails_is_answered_with_its_status(
    client: ListenerClient, error: Exception, status: int
) -> None:
    """Guards against a command that a caller gives up, or takes for confirmed."""
    client.operations.error = error
    assert (await client.call("evacuate.start", b"", "north"))[0] == status
