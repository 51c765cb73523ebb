from __future__ import annotations

import pytest

from medlarpass.ranges import ServerSpeeds
from medlarpass.ranges.server_speeds import MAX_WEIGHT_RATIO
from medlarpass.ranges.server_speeds import MIN_WEIGHT_RATIO


def test_a_slow_server_gets_a_lower_weight() -> None:
    """Guards against equal shares for servers with different response times."""
    speeds = ServerSpeeds()
    for identity, seconds in (("slow", 4.0), ("median", 2.0), ("fast", 1.5)):
        speeds.add(identity, 10, seconds)
    slow, median, fast, unknown = speeds.weight_factors(["slow", "median", "fast", "unknown"])
    assert slow < median == 1.0 < fast
    assert unknown == 1.0


@pytest.mark.parametrize(
    ("seconds", "factor"), [(1000.0, MIN_WEIGHT_RATIO), (0.001, MAX_WEIGHT_RATIO)]
)
def test_a_factor_is_bounded(seconds: float, factor: float) -> None:
    """Guards against a server that gets all or no keys because of a few responses."""
    speeds = ServerSpeeds()
    speeds.add("a", 10, 2.0)
    speeds.add("b", 10, 2.0)
    speeds.add("odd", 10, seconds)
    assert speeds.weight_factors(["a", "b", "odd"])[2] == factor


def test_old_response_times_are_dropped() -> None:
    """Guards against a server that counts as slow long after it has recovered."""
    speeds = ServerSpeeds()
    speeds.add("a", 10, 40.0)
    speeds.add("b", 10, 2.0)
    for _ in range(60):
        speeds.apply_decay()
    assert speeds.weight_factors(["a", "b"]) == [1.0, 1.0]
