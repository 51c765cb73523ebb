from __future__ import annotations

from medlarpass.capacity import ColdTime


def test_heartbeats_that_agree_are_not_sent_again() -> None:
    """Guards against a message to all entries for each heartbeat of a cold server."""
    cold = ColdTime()
    assert cold.update(10.0, now=100.0)
    sent_ms = cold.sent_ms
    assert sent_ms >= 10_000
    assert not any(cold.update(10.0 - passed, now=100.2 + passed) for passed in range(1, 10))
    assert cold.sent_ms == sent_ms


def test_a_change_is_sent_at_once() -> None:
    """Guards against entries that learn late that a server is cold longer, shorter or warm."""
    cold = ColdTime()
    assert cold.update(5.0, now=100.0)
    assert cold.update(7.0, now=100.0)
    assert cold.update(4.0, now=100.0)
    assert cold.update(0.0, now=101.0)
    assert not cold.is_cold
    assert not cold.update(0.0, now=102.0)


def test_a_second_cold_time_of_the_same_length_is_another_message() -> None:
    """Guards against a restart within the cold time that entries take for the known one."""
    cold = ColdTime()
    cold.update(10.0, now=100.0)
    first = cold.sent_ms
    cold.update(10.0, now=105.0)
    assert cold.sent_ms > first


def test_the_time_ends_without_heartbeats() -> None:
    """Guards against a server that stays cold for late entries because it sends no heartbeat."""
    cold = ColdTime()
    cold.update(10.0, now=100.0)
    assert not cold.expire(now=110.0)
    assert cold.expire(now=110.4)
    assert not cold.expire(now=111.0)
    assert not cold.is_cold


def test_a_huge_time_fits_the_message() -> None:
    """Guards against a heartbeat that stops the leader because 32 bits can't hold its time."""
    cold = ColdTime()
    cold.update(1e300, now=100.0)
    assert cold.sent_ms < 1 << 32
