"""Admission to a pool that is asked for more than it can serve."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from medlarpass.capacity.priority_limit import PriorityLimit

if TYPE_CHECKING:
    from collections.abc import Mapping

#: Weight of the latest period in the demand, for a window of about a second. Bursts last a few
#: seconds, and a longer window would refuse requests long after a burst.
DEMAND_WEIGHT = 0.5
#: Periods from a decision to the report of the first requests that it applied to.
REPORT_DELAY_PERIODS = 2
#: Time between the newest reported requests and the first ones that a decision applies to, in
#: seconds: reports take about 0.3 s to the leader, and decisions about 0.4 s to the entries.
BLIND_SECONDS = 0.7
#: Ratio of the capacity by which the estimated queue shrinks while a limit is in force. Delays make
#: the estimate drift; a real queue that is longer than estimated is worked off with the rest.
CAUTIOUS_RATIO = 0.97
#: The same without a limit: errors of the capacity of up to 2% do not add up to a queue.
TOLERANT_RATIO = 1.02
#: Share of the target latency that requests may spend in queues. The rest is needed for the work
#: itself, whose time varies, and for the network.
QUEUE_RATIO = 0.6
#: Share of the longest queue to which a limit leads the queue. A shorter one would run empty
#: between two decisions while requests are refused.
SETPOINT_RATIO = 0.7
#: Time in which a limit corrects the length of the queue, in seconds. It has to exceed the delay of
#: reports and decisions, or the queue would oscillate.
MIN_CORRECTION_SECONDS = 2.0
#: Bounds of the admitted requests in relation to the capacity.
MIN_ADMITTED_RATIO = 0.7
MAX_ADMITTED_RATIO = 1.3
#: Ratio of demand to capacity above which a limit may begin, because estimates of the capacity vary
#: by a few percent.
START_RATIO = 1.05
#: Part of its fair share that each priority with demand keeps.
FLOOR_RATIO = 0.2
#: Bounds of the rise of a share in a period. Refused callers come back while the share rises, and
#: must not all be admitted at once.
RISE_STEP = 0.1
RISE_RATIO = 1.25
#: Changes of a share below this are not made, except to 1: each change is sent to all entries.
MIN_CHANGE = 0.03
#: Ratio of change from which a new time for the return of callers is sent.
RETRY_CHANGE_RATIO = 1.25
#: Bounds of that time in relation to the target latency of the priority.
MIN_RETRY_RATIO = 0.25
MAX_RETRY_RATIO = 1.5
#: Fastest decrease of that time, in seconds a second. Without a bound, callers refused at different
#: times would come back together as soon as the queue becomes shorter.
MAX_RETRY_DECREASE = 0.5
#: Share of the demand below which the target latency of a priority does not bound the queue.
MIN_DEMAND_RATIO = 0.1
#: Demand in requests per second below which a priority is dropped.
MIN_DEMAND = 0.05


class PoolAdmission:
    """Decides which share of the requests of each priority a pool admits.

    The state is an estimate of the requests that wait: it grows by the admitted requests beyond the
    capacity and shrinks otherwise. Nothing is limited while the demand fits in the capacity, or
    while the queue can be worked off within the target latency. Then the admitted requests follow
    the capacity and keep the queue at a part of its longest length. The highest priority comes
    first; each priority keeps a floor.
    """

    __slots__ = ("backlog", "demands", "in_force", "is_limiting", "limits", "retry_times")

    def __init__(self) -> None:
        #: Estimated number of waiting requests.
        self.backlog = 0.0
        #: Requests per second by priority.
        self.demands: dict[int, float] = {}
        #: Limits by priority; empty while nothing is limited.
        self.limits: dict[int, PriorityLimit] = {}
        #: Times of return in seconds by priority, before small changes are left out.
        self.retry_times: dict[int, float] = {}
        self.is_limiting = False
        #: Limits that entries had during the latest periods, oldest first.
        self.in_force: deque[dict[int, PriorityLimit]] = deque(maxlen=REPORT_DELAY_PERIODS)

    def update(
        self,
        requests: Mapping[int, float],
        capacity: float | None,
        targets: Mapping[int, float],
        seconds: float,
    ) -> dict[int, PriorityLimit]:
        """End a period and return the limits by priority; without a limit a priority is absent.

        :param requests: requests of callers in the period by priority, refused ones included
        :param capacity: requests per second that the pool can serve, None while unknown
        :param targets: target latencies in seconds by priority
        :param seconds: length of the period
        """
        self._observe(requests, seconds)
        if capacity is None or capacity <= 0 or not self.demands:
            self._reset()
            return {}
        limits = self.in_force[0] if len(self.in_force) == REPORT_DELAY_PERIODS else {}
        drained = capacity * seconds * (CAUTIOUS_RATIO if self.is_limiting else TOLERANT_RATIO)
        self.backlog = max(self.backlog + _admitted(requests, limits) - drained, 0.0)
        self._decide(capacity, targets, seconds)
        self.in_force.append(self.limits)
        return {priority: limit for priority, limit in self.limits.items() if limit.share < 1.0}

    def _observe(self, requests: Mapping[int, float], seconds: float) -> None:
        demands = {}
        for priority in self.demands.keys() | requests.keys():
            rate = requests.get(priority, 0.0) / seconds
            previous = self.demands.get(priority, rate)
            demand = previous + DEMAND_WEIGHT * (rate - previous)
            if demand >= MIN_DEMAND:
                demands[priority] = demand
        self.demands = demands

    def _reset(self) -> None:
        self.backlog = 0.0
        self._end_limit()
        self.in_force.clear()

    def _end_limit(self) -> None:
        self.limits = {}
        self.retry_times = {}
        self.is_limiting = False

    def _decide(self, capacity: float, targets: Mapping[int, float], seconds: float) -> None:
        total = sum(self.demands.values())
        longest_wait = QUEUE_RATIO * self._shortest_target(targets, total)
        # Wait of the first requests that this decision applies to.
        growth = (_admitted(self.demands, self.limits) / capacity - 1.0) * BLIND_SECONDS
        wait = max(self.backlog / capacity + growth, 0.0)
        if not self.is_limiting:
            if total <= START_RATIO * capacity or wait <= longest_wait:
                return
            self.is_limiting = True
        correction = max(longest_wait / QUEUE_RATIO, MIN_CORRECTION_SECONDS)
        ratio = 1.0 + (SETPOINT_RATIO * longest_wait - wait) / correction
        admitted = capacity * min(max(ratio, MIN_ADMITTED_RATIO), MAX_ADMITTED_RATIO)
        shares = self._shares(total if total <= capacity else admitted, total, capacity)
        retry_after = wait * total / capacity
        self.limits = {
            priority: PriorityLimit(
                self._next_share(priority, share),
                self._next_retry(priority, retry_after, targets.get(priority, 0.0), seconds),
            )
            for priority, share in shares.items()
        }
        if wait <= SETPOINT_RATIO * longest_wait and all(
            limit.share == 1.0 for limit in self.limits.values()
        ):
            self._end_limit()

    def _shortest_target(self, targets: Mapping[int, float], total: float) -> float:
        """Return the shortest target latency of the priorities that make up the demand."""
        return min(
            (
                targets[priority]
                for priority, demand in self.demands.items()
                if priority in targets and demand >= MIN_DEMAND_RATIO * total
            ),
            default=0.0,
        )

    def _shares(self, admitted: float, total: float, capacity: float) -> dict[int, float]:
        """Return the share of each priority, the highest first after the floors of all."""
        if admitted >= total:
            return dict.fromkeys(self.demands, 1.0)
        # Without priorities, each would get the same part of its demand.
        floor = FLOOR_RATIO * capacity / total
        remaining = admitted - floor * total
        shares = {}
        for priority in sorted(self.demands):
            demand = self.demands[priority]
            extra = min((1.0 - floor) * demand, remaining)
            remaining -= extra
            shares[priority] = floor + extra / demand
        return shares

    def _next_share(self, priority: int, share: float) -> float:
        """Return the next share of a priority, which falls at once and rises in steps."""
        known = self.limits.get(priority)
        previous = known.share if known is not None else 1.0
        share = min(share, max(previous + RISE_STEP, previous * RISE_RATIO), 1.0)
        return previous if share < 1.0 and abs(share - previous) < MIN_CHANGE else share

    def _next_retry(
        self, priority: int, retry_after: float, target: float, seconds: float
    ) -> float:
        """Return the next time of return, which rises at once and falls slowly."""
        previous = self.retry_times.get(priority, 0.0)
        retry_after = max(retry_after, previous - MAX_RETRY_DECREASE * seconds)
        retry_after = min(max(retry_after, MIN_RETRY_RATIO * target), MAX_RETRY_RATIO * target)
        self.retry_times[priority] = retry_after
        known = self.limits.get(priority)
        sent = known.retry_after if known is not None else 0.0
        is_similar = sent / RETRY_CHANGE_RATIO <= retry_after <= sent * RETRY_CHANGE_RATIO
        return sent if is_similar else retry_after


def _admitted(requests: Mapping[int, float], limits: Mapping[int, PriorityLimit]) -> float:
    """Return how many requests are admitted under some limits."""
    return sum(
        count * (limits[priority].share if priority in limits else 1.0)
        for priority, count in requests.items()
    )
