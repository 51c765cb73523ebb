from __future__ import annotations

import json

from types import SimpleNamespace
from typing import TYPE_CHECKING
from typing import Any

import aiohttp
import pytest

from medlarpass.publication import InvalidPublicationError
from medlarpass.publication import Publication
from medlarpass_daemon.control.fleet.exceptions import NotLeadingError
from medlarpass_daemon.control.fleet.exceptions import NotPublishedError
from medlarpass_daemon.exceptions import UnknownResultError
from medlarpass_daemon.settings import ListenerSettings
from medlarpass_platform.control_listener import ControlListener

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

HEARTBEAT = {
    "upstream": "rolls",
    "address": "10.128.0.9:8080",
    "zone": "north",
    "slots": 4,
    "state": "ready",
    "sequence": 4,
    "born": 17,
}
CONFIGURATION = {"version": "r7", "routes": [], "upstreams": [], "limits": {}}


class Operations:
    """Records what the listener asks of control."""

    def __init__(self) -> None:
        self.calls: list[tuple[Any, ...]] = []
        self.error: Exception | None = None

    async def handle_heartbeat(self, heartbeat: Any) -> None:
        self._note("handle_heartbeat", heartbeat.identity, heartbeat.is_leaving)

    async def retire(self, identity: str, life: int | None) -> None:
        self._note("retire", identity, life)

    async def publish(self, document: Any, source: bytes) -> int:
        Publication.from_document(document)
        self._note("publish", document["version"], source)
        return int(document["version"])

    async def read_publication(self) -> bytes:
        self._note("read_publication")
        return b'{"version":"r7"}'

    def _note(self, *call: Any) -> None:
        if self.error is not None:
            raise self.error
        self.calls.append(call)


class Spoken:
    """A listener and a client that speaks the platform's calls."""

    def __init__(self) -> None:
        self.operations = Operations()
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
async def spoken() -> AsyncIterator[Spoken]:
    made = Spoken()
    await made.listener.start()
    async with aiohttp.ClientSession() as session:
        made.session = session
        yield made
    await made.listener.stop()


async def test_calls_reach_control(spoken: Spoken) -> None:
    """Guards against a call that does something else than its name says."""
    source = json.dumps(CONFIGURATION).encode()
    assert (await spoken.call("instances.heartbeat", HEARTBEAT, "i-1"))[0] == 200
    draining = {**HEARTBEAT, "state": "draining"}
    assert (await spoken.call("instances.heartbeat", draining, "i-1"))[0] == 200
    assert (await spoken.call("instances.deregister", {"born": 17}, "i-1"))[0] == 200
    assert (await spoken.call("instances.deregister", b"", "i-2"))[0] == 200
    assert (await spoken.call("config.put", source))[0] == 200
    status, _, text = await spoken.call("config.get")
    assert (status, text) == (200, '{"version":"r7"}')
    assert spoken.operations.calls == [
        ("handle_heartbeat", "i-1", False),
        ("handle_heartbeat", "i-1", True),
        ("retire", "i-1", 17),
        ("retire", "i-2", None),
        ("publish", 7, source),
        ("read_publication",),
    ]


async def test_another_replica_names_the_leader(spoken: Spoken) -> None:
    """Guards against callers that have to guess which replica leads."""
    spoken.operations.error = NotLeadingError("10.2.0.9:7540")
    status, headers, _ = await spoken.call("instances.heartbeat", HEARTBEAT, "i-1")
    assert status == 307
    assert headers["Location"].startswith("http://10.2.0.9:")
    assert headers["Location"].endswith("/api/rpc?call=instances.heartbeat&of=i-1")


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
    spoken: Spoken, error: Exception, status: int
) -> None:
    """Guards against a confirmation of what did not happen."""
    spoken.operations.error = error
    assert (await spoken.call("config.put", CONFIGURATION))[0] == status


@pytest.mark.parametrize("body", [b"", b"{", b"[]", b'{"version":"r7","routes":["..."]}'])
async def test_an_unreadable_configuration_is_refused(spoken: Spoken, body: bytes) -> None:
    """Guards against a part of a configuration that is confirmed."""
    assert (await spoken.call("config.put", body))[0] == 400
    assert spoken.operations.calls == []


async def test_an_unknown_call_is_not_found(spoken: Spoken) -> None:
    """Guards against a misspelt call that seems to succeed."""
    assert (await spoken.call("config.push", {}))[0] == 404
