"""The three measures of a failure domain, kept by its coordinator."""

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


class DomainMeasures:
    """Imbalance, churn of ownership and time without an owner.

    :param metrics: metrics of the process
    :param clock: clock of this process
    """

    __slots__ = ("clock", "free_since", "known", "metrics", "moving")

    def __init__(self, metrics: Metrics, clock: Clock) -> None:
        self.metrics = metrics
        self.clock = clock
        #: When each assignment was first seen without an owner.
        self.free_since: dict[Assignment, float] = {}
        #: Assignments that had an owner in this term of office.
        self.known: set[Assignment] = set()
        self.moving: set[Assignment] = set()

    def reset(self) -> None:
        """Forget everything at the start of a term of office."""
        self.free_since.clear()
        self.known.clear()
        self.moving.clear()

    def without_owner(self, assignments: Iterable[Assignment]) -> None:
        """Note which assignments have no owner now.

        :param assignments: all assignments without owner
        """
        now = self.clock.now()
        present = set(assignments)
        self.free_since = {each: at for each, at in self.free_since.items() if each in present} | {
            each: now for each in present if each not in self.free_since
        }

    def release_started(self, assignment: Assignment) -> None:
        """Note the start of a planned move."""
        self.moving.add(assignment)

    def granted(self, assignment: Assignment) -> None:
        """Count a new owner and the time without one."""
        reason = self._reason(assignment)
        self.moving.discard(assignment)
        self.known.add(assignment)
        free_since = self.free_since.pop(assignment, self.clock.now())
        elapsed = self.clock.now() - free_since
        self.metrics.grant_changes.labels(assignment.pool, reason).inc()
        self.metrics.unavailable_intervals.labels(assignment.pool, reason).observe(elapsed)
        self.metrics.unavailable_seconds.labels(assignment.pool).inc(elapsed)

    def loads(
        self,
        pool: str,
        owners: Mapping[Assignment, str],
        loads: Mapping[Assignment, float],
        candidates: Iterable[Candidate],
    ) -> None:
        """Set the imbalance of a pool: largest load per slot divided by the mean.

        :param pool: name of the pool
        :param owners: owner of each assignment
        :param loads: requests per second of each assignment
        :param candidates: servers of the pool
        """
        slots = {each.server: each.slots for each in candidates if not each.draining}
        totals = dict.fromkeys(slots, 0.0)
        for assignment, server in owners.items():
            if server in totals:
                totals[server] += loads.get(assignment, 0.0)
        total = sum(totals.values())
        if total == 0:
            return
        mean = total / sum(slots.values())
        largest = max(totals[server] / slots[server] for server in slots)
        self.metrics.imbalance.labels(pool).set(largest / mean)
        for server, load in totals.items():
            self.metrics.server_utilisation.labels(pool, server).set(load / slots[server])

    def _reason(self, assignment: Assignment) -> str:
        if assignment in self.moving:
            return REASON_MOVE
        return REASON_LOSS if assignment in self.known else REASON_FIRST
