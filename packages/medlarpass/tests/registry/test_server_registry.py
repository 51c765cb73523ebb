"""Guards against requests to servers that are timed out, drained, leaving or replaced."""

from __future__ import annotations

import pytest

from medlarpass import ManualClock
from medlarpass.registry import Server
from medlarpass.registry import ServerRegistry
from medlarpass.registry import ServerState
from medlarpass.registry.exceptions import InvalidAnnouncementError
from medlarpass.rpc import control_pb2 as pb


def status(
    state: str = "ready", incarnation: int = 1, age_ms: int = 0, identity: str = "a", port: int = 80
) -> pb.ServerStatus:
    return pb.ServerStatus(
        identity=identity,
        incarnation=incarnation,
        domain="d1",
        ip="127.0.0.1",
        port=port,
        pools=["stock"],
        slots=3,
        connections=100,
        state=state,
        age_ms=age_ms,
    )


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock(100.0)


@pytest.fixture
def registry(clock: ManualClock) -> ServerRegistry:
    return ServerRegistry(clock)


def usable_incarnations(registry: ServerRegistry) -> list[int]:
    return [server.incarnation for server in registry.available_servers("stock")]


@pytest.mark.parametrize(
    ("state", "expected"),
    [("starting", []), ("ready", [1]), ("draining", []), ("leaving", [])],
)
def test_only_ready_servers_get_requests(
    registry: ServerRegistry, state: str, expected: list[int]
) -> None:
    registry.record_heartbeat(status(state))
    assert usable_incarnations(registry) == expected
    assert list(registry.available_servers("other")) == []


@pytest.mark.parametrize("state", ["draining", "leaving"])
def test_delayed_peer_report_does_not_undo_a_leave(
    clock: ManualClock, registry: ServerRegistry, state: str
) -> None:
    registry.record_heartbeat(status(state))
    for age_ms in (500, 0):
        registry.record_peer_report(status("ready", age_ms=age_ms))
        assert usable_incarnations(registry) == []
    clock.advance(1.0)
    registry.record_heartbeat(status("ready"))
    assert usable_incarnations(registry) == []


def test_older_peer_report_of_a_leave_takes_effect(registry: ServerRegistry) -> None:
    """The state only moves forward, so a reported state is valid whatever its age."""
    registry.record_heartbeat(status("ready"))
    registry.record_peer_report(status("draining", age_ms=900))
    assert usable_incarnations(registry) == []


def test_a_new_incarnation_replaces_the_old_one(registry: ServerRegistry) -> None:
    registry.record_heartbeat(status("leaving", incarnation=1))
    registry.record_heartbeat(status("ready", incarnation=2))
    registry.record_peer_report(status("ready", incarnation=1))
    assert usable_incarnations(registry) == [2]


def test_a_timed_out_server_is_not_used(clock: ManualClock, registry: ServerRegistry) -> None:
    registry.record_heartbeat(status())
    clock.advance(2.9)
    assert usable_incarnations(registry) == [1]
    clock.advance(0.2)
    assert usable_incarnations(registry) == []
    registry.record_heartbeat(status())
    assert usable_incarnations(registry) == [1]


def test_peer_report_keeps_its_age(clock: ManualClock, registry: ServerRegistry) -> None:
    registry.record_peer_report(status(age_ms=2500))
    assert usable_incarnations(registry) == [1]
    clock.advance(0.6)
    assert usable_incarnations(registry) == []


def test_older_peer_report_does_not_change_address_or_age(
    clock: ManualClock, registry: ServerRegistry
) -> None:
    registry.record_heartbeat(status(port=81))
    registry.record_peer_report(status(port=80, age_ms=2000))
    clock.advance(2.0)
    assert [server.port for server in registry.available_servers("stock")] == [81]


def test_drained_servers_get_no_requests(registry: ServerRegistry) -> None:
    registry.record_heartbeat(status())
    registry.set_drained(["a"])
    assert usable_incarnations(registry) == []
    registry.set_drained([])
    assert usable_incarnations(registry) == [1]


def test_peers_get_only_directly_received_heartbeats(
    clock: ManualClock, registry: ServerRegistry
) -> None:
    registry.record_heartbeat(status())
    registry.record_peer_report(status(identity="b"))
    clock.advance(0.5)
    assert registry.direct_statuses() == [status(age_ms=500)]


def test_a_server_is_removed_after_the_retention_time(
    clock: ManualClock, registry: ServerRegistry
) -> None:
    registry.record_heartbeat(status())
    clock.advance(601.0)
    registry.remove_expired()
    assert registry.registered_servers == {}


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("identity", ""),
        ("ip", ""),
        ("port", 0),
        ("port", 70000),
        ("slots", 0),
        ("connections", 0),
        ("state", "tired"),
    ],
)
def test_invalid_announcements_are_refused(
    registry: ServerRegistry, field: str, value: object
) -> None:
    message = status()
    setattr(message, field, value)
    with pytest.raises(InvalidAnnouncementError):
        registry.record_heartbeat(message)
    assert registry.registered_servers == {}


def test_an_announcement_becomes_a_server() -> None:
    server = Server.from_proto(status())
    assert (server.slots, server.pools, server.connections) == (3, ("stock",), 100)
    assert ServerState.parse("leaving").wire_name == "leaving"
