from __future__ import annotations

import pytest

from medlarpass.ranges import ServerSpeeds
from medlarpass.ranges.server_speeds import LEAST_FACTOR
from medlarpass.ranges.server_speeds import MOST_FACTOR


def test_a_slow_server_weighs_less() -> None:
    """Guards against equal shares for servers that differ in speed."""
    speeds = ServerSpeeds()
    for identity, seconds in (("slow", 4.0), ("usual", 2.0), ("fast", 1.5)):
        speeds.add(identity, 10, seconds)
    slow, usual, fast, unknown = speeds.factors(["slow", "usual", "fast", "unknown"])
    assert slow < usual == 1.0 < fast
    assert unknown == 1.0


@pytest.mark.parametrize(("seconds", "factor"), [(1000.0, LEAST_FACTOR), (0.001, MOST_FACTOR)])
def test_a_factor_is_bounded(seconds: float, factor: float) -> None:
    """Guards against a server that gets everything or nothing because of a few answers."""
    speeds = ServerSpeeds()
    speeds.add("a", 10, 2.0)
    speeds.add("b", 10, 2.0)
    speeds.add("odd", 10, seconds)
    assert speeds.factors(["a", "b", "odd"])[2] == factor


def test_old_answers_are_forgotten() -> None:
    """Guards against a server that is taken for slow long after it has recovered."""
    speeds = ServerSpeeds()
    speeds.add("a", 10, 40.0)
    speeds.add("b", 10, 2.0)
    for _ in range(60):
        speeds.apply_decay()
    assert speeds.factors(["a", "b"]) == [1.0, 1.0]
