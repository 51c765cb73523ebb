from __future__ import annotations

from medlarpass import ManualClock
from medlarpass.fleet import FleetDirectory
from medlarpass.fleet import ServerHeartbeat


def heartbeat(
    identity: str = "a", incarnation: int = 1, sequence: int = 1, port: int = 80
) -> ServerHeartbeat:
    """Return a heartbeat."""
    return ServerHeartbeat(
        identity, incarnation, sequence, "p", "10.0.0.1", port, "d", 3, False, 0.0
    )


def test_a_late_heartbeat_changes_nothing() -> None:
    """Guards against a delayed heartbeat of an earlier incarnation replacing the current one."""
    directory = FleetDirectory(ManualClock())
    assert directory.record_heartbeat(heartbeat(incarnation=2, sequence=5))
    assert not directory.record_heartbeat(heartbeat(incarnation=1, sequence=9))
    assert not directory.record_heartbeat(heartbeat(incarnation=2, sequence=4))
    assert directory.members["a"].heartbeat.incarnation == 2


def test_a_new_incarnation_is_not_retired() -> None:
    """Guards against a restarted server that stays retired and gets no work."""
    directory = FleetDirectory(ManualClock())
    directory.record_heartbeat(heartbeat(incarnation=1))
    assert directory.retire("a", 1)
    assert list(directory.assignable("p")) == []
    directory.record_heartbeat(heartbeat(incarnation=2))
    assert [member.heartbeat.incarnation for member in directory.assignable("p")] == [2]


def test_a_server_at_the_address_of_another_ends_it() -> None:
    """Guards against waiting for the grants of a server that has certainly ended."""
    directory = FleetDirectory(ManualClock())
    directory.record_heartbeat(heartbeat("a", incarnation=1))
    directory.record_heartbeat(heartbeat("b", incarnation=2))
    assert directory.has_ended("a", 1)
    assert not directory.has_ended("b", 2)


def test_a_late_heartbeat_of_the_former_server_at_an_address_is_ignored() -> None:
    """Guards against work for a crashed server whose heartbeat was delayed by a partition."""
    directory = FleetDirectory(ManualClock())
    directory.record_heartbeat(heartbeat("b", incarnation=2))
    assert not directory.record_heartbeat(heartbeat("a", incarnation=1))
    assert "a" not in directory.members


def test_a_server_without_heartbeats_is_removed_after_a_long_time() -> None:
    """Guards against removing an unreachable server that entries can still reach."""
    clock = ManualClock()
    directory = FleetDirectory(clock)
    directory.record_heartbeat(heartbeat())
    clock.advance(60)
    assert directory.remove_expired() == []
    clock.advance(61)
    assert directory.remove_expired() == ["a"]


def test_a_server_whose_address_was_taken_is_not_current() -> None:
    """Guards against requests to a server that has ended and whose address is used again.

    The new server refuses them immediately, which makes the old one seem idle.
    """
    directory = FleetDirectory(ManualClock())
    directory.record_heartbeat(heartbeat("a", incarnation=1))
    directory.record_heartbeat(heartbeat("b", incarnation=2))
    assert [member.heartbeat.identity for member in directory.current()] == ["b"]


def test_an_incarnation_stays_at_its_address() -> None:
    """Guards against calls to another server after a heartbeat that names its address."""
    directory = FleetDirectory(ManualClock())
    directory.record_heartbeat(heartbeat("a", sequence=1))
    assert not directory.record_heartbeat(heartbeat("a", sequence=2, port=81))
    assert directory.members["a"].heartbeat.port == 80
    assert not directory.is_replaced(directory.members["a"])


def test_the_end_of_a_later_incarnation_is_no_proof_of_the_end_of_the_earlier_one() -> None:
    """Guards against two owners: the earlier incarnation was at another address."""
    directory = FleetDirectory(ManualClock())
    directory.record_heartbeat(heartbeat("a", incarnation=1))
    directory.record_heartbeat(heartbeat("a", incarnation=2, port=81))
    directory.record_heartbeat(heartbeat("b", incarnation=3, port=81))
    assert directory.has_ended("a", 2)
    assert not directory.has_ended("a", 1)
