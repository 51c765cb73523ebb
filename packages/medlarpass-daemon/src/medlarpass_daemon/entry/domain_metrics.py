"""The three quality metrics of a failure domain, maintained by its coordinator."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from medlarpass import Clock
    from medlarpass.ownership import Assignment
    from medlarpass.ownership import Candidate
    from medlarpass_daemon.observability import Metrics

REASON_FIRST = "first"
REASON_LOSS = "loss"
REASON_MOVE = "move"


class DomainMetrics:
    """Imbalance, ownership changes and time without an owner.

    :param metrics: metrics of the process
    :param clock: clock of this process
    """

    __slots__ = ("clock", "metrics", "moving", "previously_owned", "unowned_since")

    def __init__(self, metrics: Metrics, clock: Clock) -> None:
        self.metrics = metrics
        self.clock = clock
        #: Clock reading at which each assignment was first without an owner.
        self.unowned_since: dict[Assignment, float] = {}
        #: Assignments that have had an owner during this tenure.
        self.previously_owned: set[Assignment] = set()
        self.moving: set[Assignment] = set()

    def reset(self) -> None:
        """Clear all state at the start of a tenure."""
        self.unowned_since.clear()
        self.previously_owned.clear()
        self.moving.clear()

    def set_unowned(self, assignments: Iterable[Assignment]) -> None:
        """Record which assignments currently have no owner.

        :param assignments: all assignments without owner
        """
        now = self.clock.now()
        current = set(assignments)
        self.unowned_since = {
            unowned: since for unowned, since in self.unowned_since.items() if unowned in current
        } | {unowned: now for unowned in current if unowned not in self.unowned_since}

    def record_release(self, assignment: Assignment) -> None:
        """Record the start of a planned move."""
        self.moving.add(assignment)

    def record_grant(self, assignment: Assignment) -> None:
        """Count a new owner and the time without one."""
        reason = self._reason(assignment)
        self.moving.discard(assignment)
        self.previously_owned.add(assignment)
        unowned_since = self.unowned_since.pop(assignment, self.clock.now())
        elapsed = self.clock.now() - unowned_since
        self.metrics.grant_changes.labels(assignment.pool, reason).inc()
        self.metrics.unavailable_intervals.labels(assignment.pool, reason).observe(elapsed)
        self.metrics.unavailable_seconds.labels(assignment.pool).inc(elapsed)

    def set_loads(
        self,
        pool: str,
        owners: Mapping[Assignment, str],
        loads: Mapping[Assignment, float],
        candidates: Iterable[Candidate],
    ) -> None:
        """Set the imbalance of a pool: maximum load per slot divided by the mean.

        :param pool: name of the pool
        :param owners: owner of each assignment
        :param loads: requests per second of each assignment
        :param candidates: servers of the pool
        """
        slots = {
            candidate.server: candidate.slots for candidate in candidates if not candidate.draining
        }
        totals = dict.fromkeys(slots, 0.0)
        for assignment, server in owners.items():
            if server in totals:
                totals[server] += loads.get(assignment, 0.0)
        total = sum(totals.values())
        if total == 0:
            return
        mean_load = total / sum(slots.values())
        max_load = max(totals[server] / slots[server] for server in slots)
        self.metrics.imbalance.labels(pool).set(max_load / mean_load)
        for server, load in totals.items():
            self.metrics.server_utilisation.labels(pool, server).set(load / slots[server])

    def _reason(self, assignment: Assignment) -> str:
        if assignment in self.moving:
            return REASON_MOVE
        return REASON_LOSS if assignment in self.previously_owned else REASON_FIRST
