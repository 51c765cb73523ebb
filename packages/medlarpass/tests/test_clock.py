"""Guards against measuring leases with a clock that stops or goes backwards."""

from __future__ import annotations

from medlarpass import BootClock
from medlarpass import ManualClock


def test_boot_clock_never_goes_back() -> None:
    clock = BootClock()
    readings = [clock.now() for _ in range(100)]
    assert readings == sorted(readings)


def test_manual_clock_moves_only_by_advance() -> None:
    clock = ManualClock(start=5.0)
    assert clock.now() == 5.0
    clock.advance(0.25)
    assert clock.now() == 5.25
