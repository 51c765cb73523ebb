from __future__ import annotations

from medlarpass import ManualClock
from medlarpass.fleet import FleetDirectory
from medlarpass.fleet import ServerNotice


def notice(identity: str = "a", life: int = 1, sequence: int = 1, port: int = 80) -> ServerNotice:
    """Return a heartbeat."""
    return ServerNotice(identity, life, sequence, "p", "10.0.0.1", port, "d", 3, False, 0.0)


def test_a_late_heartbeat_changes_nothing() -> None:
    """Guards against a delayed heartbeat of an earlier life that replaces the present one."""
    directory = FleetDirectory(ManualClock())
    assert directory.observe(notice(life=2, sequence=5))
    assert not directory.observe(notice(life=1, sequence=9))
    assert not directory.observe(notice(life=2, sequence=4))
    assert directory.members["a"].notice.life == 2


def test_a_new_life_is_no_longer_retired() -> None:
    """Guards against a restarted server that never gets work again."""
    directory = FleetDirectory(ManualClock())
    directory.observe(notice(life=1))
    assert directory.retire("a", 1)
    assert list(directory.usable("p")) == []
    directory.observe(notice(life=2))
    assert [member.notice.life for member in directory.usable("p")] == [2]


def test_a_server_at_the_address_of_another_ends_it() -> None:
    """Guards against keys that wait for the hold of a server that is proven to have ended."""
    directory = FleetDirectory(ManualClock())
    directory.observe(notice("a", life=1))
    directory.observe(notice("b", life=2))
    assert directory.has_ended("a", 1)
    assert not directory.has_ended("b", 2)


def test_a_late_heartbeat_of_the_former_holder_of_an_address_is_ignored() -> None:
    """Guards against work for a crashed server whose heartbeat was held up by a partition."""
    directory = FleetDirectory(ManualClock())
    directory.observe(notice("b", life=2))
    assert not directory.observe(notice("a", life=1))
    assert "a" not in directory.members


def test_a_silent_server_is_forgotten_only_after_long() -> None:
    """Guards against a cut-off server that is dropped while entries still reach it."""
    clock = ManualClock()
    directory = FleetDirectory(clock)
    directory.observe(notice())
    clock.advance(60)
    assert directory.forget_silent() == []
    clock.advance(61)
    assert directory.forget_silent() == ["a"]


def test_a_server_whose_address_was_taken_is_not_present() -> None:
    """Address that is used again: guards against requests to a server that is gone.

    The other server refuses them at once, which makes the lost one look idle.
    """
    directory = FleetDirectory(ManualClock())
    directory.observe(notice("a", life=1))
    directory.observe(notice("b", life=2))
    assert [member.notice.identity for member in directory.present()] == ["b"]
