"""Thresholds at which a server counts as overloaded or underloaded."""

from __future__ import annotations

from math import sqrt

from medlarpass.base import Value

#: Requests above its fair load that a server must have to count as overloaded. The deviation of a
#: count below one says little: two requests in a second exceeded three deviations.
MIN_EXCESS_REQUEST_COUNT = 4.0


class BalanceRule(Value):
    """Thresholds for moving keys between servers.

    :param overload_ratio: load of a server, relative to its fair load, above which keys are moved
    :param min_deviations: standard deviations of the request count by which a load has to differ
        from the fair load
    :param underload_ratio: load of a server, relative to its fair load, below which it gets keys
        even if no other server is overloaded
    """

    __slots__ = ("min_deviations", "overload_ratio", "underload_ratio")

    def __init__(
        self, overload_ratio: float, min_deviations: float, underload_ratio: float
    ) -> None:
        self.overload_ratio = overload_ratio
        self.min_deviations = min_deviations
        self.underload_ratio = underload_ratio

    def is_underloaded(self, load: float, fair_load: float) -> bool:
        """Return whether a load is far below the fair load by more than random variation."""
        return (
            load < self.underload_ratio * fair_load
            and fair_load - load > self.min_deviations * sqrt(fair_load)
        )

    def is_overloaded(self, load: float, fair_load: float) -> bool:
        """Return whether a load exceeds the fair load by more than random variation."""
        return load - fair_load > max(
            (self.overload_ratio - 1) * fair_load,
            self.min_deviations * sqrt(fair_load),
            MIN_EXCESS_REQUEST_COUNT,
        )


#: An imbalance below 25% costs less than the moves that would remove it.
STEADY_LOAD_RULE = BalanceRule(1.25, 2.0, 0.3)
#: For keys that have just become hot. Hundreds of servers are checked four times a second. The
#: counts decay, so that their deviation is 0.8 times the square root of the mean; three of these
#: roots are almost four deviations.
HOT_KEYS_RULE = BalanceRule(1.5, 3.0, 0.0)
