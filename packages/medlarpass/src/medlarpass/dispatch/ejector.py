"""Outlier ejection of servers that fail their requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.dispatch.events import EJECTION_CAPPED
from medlarpass.dispatch.events import SERVER_EJECTED
from medlarpass.dispatch.events import SERVER_RETURNED
from medlarpass.dispatch.slow_start import SlowStart

if TYPE_CHECKING:
    from collections.abc import Collection

    from medlarpass.clock import Clock
    from medlarpass.dispatch.attempt_outcome import AttemptOutcome
    from medlarpass.dispatch.settings import EjectorSettings


class EjectionRecord:
    """Consecutive failures and ejections of one server."""

    __slots__ = ("ejected_until", "ejections", "failures")

    def __init__(self) -> None:
        self.failures = 0
        self.ejections = 0
        self.ejected_until: float | None = None


class Ejector:
    """Ejects a server after consecutive failures, for a time that doubles with each ejection.

    The share of a pool that is ejected at once is capped: if most servers appear broken, the
    fault is probably in the network between, and the remaining few would be overloaded.

    :param settings: settings of the policy
    :param clock: source of time
    """

    __slots__ = ("clock", "records", "settings", "slow_start")

    def __init__(self, settings: EjectorSettings, clock: Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.records: dict[str, EjectionRecord] = {}
        self.slow_start = SlowStart(settings.ramp, clock)

    def record(self, server: str, outcome: AttemptOutcome, pool: Collection[str]) -> None:
        """Record an attempt and eject the server after too many consecutive failures.

        :param pool: identities of all servers of the pool
        """
        state = self.records.setdefault(server, EjectionRecord())
        if not outcome.is_failure:
            state.failures = 0
            if self.slow_start.weight(server) >= 1.0:
                # Only a success at full weight shows that the server has recovered.
                state.ejections = 0
            return
        state.failures += 1
        if state.failures >= self.settings.consecutive_failures and not self.is_ejected(server):
            self._eject(server, state, pool)

    def is_ejected(self, server: str) -> bool:
        """Return whether a server is ejected; begins its slow start once the ejection has ended."""
        state = self.records.get(server)
        if state is None or state.ejected_until is None:
            return False
        if self.clock.now() < state.ejected_until:
            return True
        state.ejected_until = None
        state.failures = 0
        self.slow_start.started(server)
        SERVER_RETURNED.log(server=server)
        return False

    def weight(self, server: str) -> float:
        """Return 0 while a server is ejected, then a weight that grows to 1 during slow start."""
        return 0.0 if self.is_ejected(server) else self.slow_start.weight(server)

    def forget(self, server: str) -> None:
        """Remove the state of a server that left."""
        self.records.pop(server, None)
        self.slow_start.forget(server)

    def _eject(self, server: str, state: EjectionRecord, pool: Collection[str]) -> None:
        ejected_count = sum(self.is_ejected(other) for other in pool)
        if ejected_count + 1 > int(self.settings.max_ejected_ratio * len(pool)):
            EJECTION_CAPPED.log(server=server, ejected=ejected_count, servers=len(pool))
            state.failures = 0
            return
        duration = min(
            self.settings.base_ejection_time * 2.0 ** min(state.ejections, 30),
            self.settings.max_ejection_time,
        )
        state.ejections += 1
        state.ejected_until = self.clock.now() + duration
        SERVER_EJECTED.log(server=server, seconds=duration, failures=state.failures)
