"""Removal of the state of departed servers and deleted routes from an entry."""

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
    """Yield a role that is not started."""
    process_settings = settings()
    assert process_settings.entry is not None
    new_role = EntryRole(
        process_settings,
        process_settings.entry,
        RpcChannels(None),
        Readiness(),
        Metrics(),
        BootClock(),
    )
    yield new_role
    await new_role.callers.context.client.close()


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
    role.store.apply_if_newer(control_pb2.Configuration(revision=revision, items=[pool, *items]))


async def start_request(role: EntryRole) -> Any:
    """Admit a request to the route and acquire a permit and a connector for the server."""
    context = role.callers.context
    state = await context.admission.admit(ROUTE, role.clock.now() + 9)
    targets = list(context.servers.available_servers("files"))
    permit = await context.server_selector.acquire(
        lambda: targets, frozenset(), role.clock.now() + 9
    )
    context.client._connector(permit.target)
    return state, permit


def retained_state(role: EntryRole) -> tuple[set[str], set[str], set[str]]:
    context = role.callers.context
    return (
        context.server_selector.known_identities(),
        set(context.client.connectors),
        set(context.admission.routes),
    )


ALL_STATE = ({"s1"}, {"s1"}, {"art"})
NO_STATE: tuple[set[str], set[str], set[str]] = (set(), set(), set())


async def test_state_of_departed_servers_is_removed_once_idle(role: EntryRole) -> None:
    """Guards against state that accumulates with each replaced server and route, and against the
    removal of state that a request still uses."""
    item = control_pb2.ConfigurationItem(
        kind=control_pb2.ITEM_KIND_ROUTE, name=ROUTE.name, document=ROUTE.to_json()
    )
    configure(role, 1, item)
    record_heartbeat(role, "ready")
    state, permit = await start_request(role)
    role.remove_departed()
    assert retained_state(role) == ALL_STATE
    record_heartbeat(role, "leaving")
    configure(role, 2)
    role.remove_departed()
    assert retained_state(role) == ({"s1"}, set(), {"art"})
    permit.finished(200)
    role.callers.context.admission.release(state)
    role.remove_departed()
    assert retained_state(role) == NO_STATE


async def test_role_removes_departed_periodically(
    role: EntryRole, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a cleanup that is never called."""
    monkeypatch.setattr(entry_role, "REMOVAL_INTERVAL_SECONDS", 0.001)
    record_heartbeat(role, "ready")
    configure(role, 1)
    state, permit = await start_request(role)
    permit.finished(200)
    role.callers.context.admission.release(state)
    record_heartbeat(role, "leaving")
    task = asyncio.create_task(role._remove_departed())
    async with asyncio.timeout(20):
        while True:
            if retained_state(role) == NO_STATE:
                break
            await asyncio.sleep(0.001)
    task.cancel()
