"""State of servers that left and of deleted routes does not pile up in an entry."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING
from typing import Any

import pytest

from medlarpass import BootClock
from medlarpass.rpc import control_pb2
from medlarpass.tables import Pool
from medlarpass.tables import Route
from medlarpass_daemon.entry import entry_role
from medlarpass_daemon.entry.entry_role import EntryRole
from medlarpass_daemon.observability import Metrics
from medlarpass_daemon.observability import Readiness
from medlarpass_daemon.rpc_channels import RpcChannels
from medlarpass_daemon.settings import DaemonSettings
from medlarpass_daemon.settings.schema import SETTINGS_SCHEMA

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

ROUTE = Route.from_document(
    "art", {"path": "/art/**", "methods": ["GET"], "class": "download", "pool": "files"}
)
POOL = Pool.from_document("files", {})


def settings() -> DaemonSettings:
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
            "peers": [{"name": "e1", "domain": "d1", "address": "127.0.0.1:7001"}],
            "control": ["127.0.0.1:7002"],
        },
    }
    return DaemonSettings(SETTINGS_SCHEMA(document))


@pytest.fixture
async def role() -> AsyncIterator[EntryRole]:
    """Return a role that is not started."""
    given = settings()
    assert given.entry is not None
    made = EntryRole(given, given.entry, RpcChannels(None), Readiness(), Metrics(), BootClock())
    yield made
    await made.callers.context.client.close()


def record_heartbeat(role: EntryRole, state: str) -> None:
    role.registry.record_heartbeat(
        control_pb2.ServerStatus(
            identity="s1",
            incarnation=1,
            domain="d1",
            ip="127.0.0.1",
            port=7100,
            pools=["files"],
            slots=3,
            connections=10,
            state=state,
        )
    )


def configure(role: EntryRole, revision: int, *items: Any) -> None:
    pool = control_pb2.ConfigurationItem(
        kind=control_pb2.ITEM_KIND_POOL, name=POOL.name, document=POOL.to_json()
    )
    role.store.offer(control_pb2.Configuration(revision=revision, items=[pool, *items]))


async def use(role: EntryRole) -> Any:
    """Let a request use the server and the route, as far as a place at the server."""
    context = role.callers.context
    state = await context.admission.admit(ROUTE, role.clock.now() + 9)
    targets = list(context.servers.usable("files"))
    place = await context.server_selector.acquire(
        lambda: targets, frozenset(), role.clock.now() + 9
    )
    context.client._connector(place.target)
    return state, place


def known(role: EntryRole) -> tuple[set[str], set[str], set[str]]:
    context = role.callers.context
    return (
        context.server_selector.known_identities(),
        set(context.client.connectors),
        set(context.admission.routes),
    )


ALL = ({"s1"}, {"s1"}, {"art"})
NOTHING: tuple[set[str], set[str], set[str]] = (set(), set(), set())


async def test_state_of_the_departed_is_dropped_once_idle(role: EntryRole) -> None:
    """Guards against state that grows with each replaced server and route, and against dropping
    what a request still uses."""
    item = control_pb2.ConfigurationItem(
        kind=control_pb2.ITEM_KIND_ROUTE, name=ROUTE.name, document=ROUTE.to_json()
    )
    configure(role, 1, item)
    record_heartbeat(role, "ready")
    state, place = await use(role)
    role.drop_departed()
    assert known(role) == ALL
    record_heartbeat(role, "leaving")
    configure(role, 2)
    role.drop_departed()
    assert known(role) == ({"s1"}, set(), {"art"})
    place.finished(200)
    role.callers.context.admission.release(state)
    role.drop_departed()
    assert known(role) == NOTHING


async def test_role_looks_for_the_departed(
    role: EntryRole, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a cleanup that nothing calls."""
    monkeypatch.setattr(entry_role, "DROP_INTERVAL", 0.001)
    record_heartbeat(role, "ready")
    configure(role, 1)
    state, place = await use(role)
    place.finished(200)
    role.callers.context.admission.release(state)
    record_heartbeat(role, "leaving")
    task = asyncio.create_task(role._drop_departed())
    async with asyncio.timeout(20):
        while True:
            if known(role) == NOTHING:
                break
            await asyncio.sleep(0.001)
    task.cancel()
