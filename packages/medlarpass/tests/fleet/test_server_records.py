"""Servers in the control log."""

from __future__ import annotations

from medlarpass import ManualClock
from medlarpass.control import ControlState
from medlarpass.fleet import FleetDirectory
from medlarpass.fleet import ServerNotice
from medlarpass.fleet import ServerRecords
from medlarpass.rpc import control_pb2


def record(identity: str, life: int = 1, port: int = 80) -> control_pb2.RecordServer:
    """Return the record of a server."""
    notice = ServerNotice(identity, life, 5, "p", "10.0.0.1", port, "d", 3, False, 0.0)
    return notice.to_record()


def test_a_late_record_does_not_replace_a_newer_life() -> None:
    """Guards against a leader that sends requests to a life that has ended."""
    records = ServerRecords()
    records.record(record("s", life=2))
    records.record(record("s", life=1))
    assert records.has("s", 2)


def test_an_address_belongs_to_the_newest_server() -> None:
    """Guards against two servers at one address after a change of leader."""
    records = ServerRecords()
    records.record(record("a"))
    records.record(record("b", life=2))
    assert [each.identity for each in records.all()] == ["b"]


def test_a_server_that_leaves_is_forgotten() -> None:
    """Guards against a new leader that offers a server whose leave was confirmed."""
    state = ControlState()
    state.apply(1, control_pb2.Command(record_server=record("s")).SerializeToString())
    retire = control_pb2.RetireServer(identity="s", life=1)
    state.apply(2, control_pb2.Command(retire_server=retire).SerializeToString())
    assert not list(state.servers.all())


def test_a_snapshot_keeps_the_records() -> None:
    """Guards against records that are lost when the log is cut."""
    state = ControlState()
    state.apply(1, control_pb2.Command(record_server=record("s")).SerializeToString())
    restored = ControlState()
    restored.restore(state.snapshot())
    assert restored.servers.has("s", 1)


def test_any_heartbeat_is_newer_than_the_record() -> None:
    """Guards against a server that stays as the log knew it."""
    directory = FleetDirectory(ManualClock(0.0))
    directory.observe(ServerNotice.from_record(record("s")))
    heard = ServerNotice("s", 1, 0, "p", "10.0.0.1", 80, "d", 7, False, 0.0)
    directory.observe(heard)
    assert directory.members["s"].notice.slots == 7
