"""Records of servers in the control log."""

from __future__ import annotations

from medlarpass import ManualClock
from medlarpass.control import ControlState
from medlarpass.fleet import FleetDirectory
from medlarpass.fleet import ServerHeartbeat
from medlarpass.fleet import ServerRecords
from medlarpass.rpc import control_pb2


def record(identity: str, incarnation: int = 1, port: int = 80) -> control_pb2.RecordServer:
    """Return the record of a server."""
    heartbeat = ServerHeartbeat(identity, incarnation, 5, "p", "10.0.0.1", port, "d", 3, False, 0.0)
    return heartbeat.to_record()


def test_a_late_record_does_not_replace_a_newer_incarnation() -> None:
    """Guards against a leader that uses an incarnation that has ended."""
    records = ServerRecords()
    records.record(record("s", incarnation=2))
    records.record(record("s", incarnation=1))
    assert records.has("s", 2)


def test_an_address_belongs_to_the_newest_server() -> None:
    """Guards against two servers at one address after a change of leader."""
    records = ServerRecords()
    records.record(record("a"))
    records.record(record("b", incarnation=2))
    assert [kept.identity for kept in records.all()] == ["b"]


def test_the_record_of_a_server_that_leaves_is_removed() -> None:
    """Guards against a new leader that uses a server whose leave was confirmed."""
    state = ControlState()
    state.apply(1, control_pb2.Command(record_server=record("s")).SerializeToString())
    retire = control_pb2.RetireServer(identity="s", life=1)
    state.apply(2, control_pb2.Command(retire_server=retire).SerializeToString())
    assert not list(state.servers.all())


def test_a_snapshot_keeps_the_records() -> None:
    """Guards against records lost when the log is truncated."""
    state = ControlState()
    state.apply(1, control_pb2.Command(record_server=record("s")).SerializeToString())
    restored = ControlState()
    restored.restore(state.snapshot())
    assert restored.servers.has("s", 1)


def test_any_heartbeat_is_newer_than_the_record() -> None:
    """Guards against a server that keeps the values from its record."""
    directory = FleetDirectory(ManualClock(0.0))
    directory.record_heartbeat(ServerHeartbeat.from_record(record("s")))
    heartbeat = ServerHeartbeat("s", 1, 0, "p", "10.0.0.1", 80, "d", 7, False, 0.0)
    directory.record_heartbeat(heartbeat)
    assert directory.members["s"].heartbeat.slots == 7
