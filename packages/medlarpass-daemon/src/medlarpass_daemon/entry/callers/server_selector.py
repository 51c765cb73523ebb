"""Server selection and concurrency limits per server."""

from __future__ import annotations

import asyncio
import math
import random

from statistics import median_low
from typing import TYPE_CHECKING
from typing import cast

from medlarpass.dispatch import Balancer
from medlarpass.dispatch import BalancerSettings
from medlarpass.dispatch import Candidate
from medlarpass.dispatch import ConcurrencyLimiter
from medlarpass.dispatch import Ejector
from medlarpass.dispatch import EjectorSettings
from medlarpass.dispatch import LimiterSettings
from medlarpass.dispatch import NoServerError
from medlarpass.dispatch import ReportedLoads
from medlarpass.dispatch import SharedServerLimiter
from medlarpass.dispatch import SubsetBalancer
from medlarpass_daemon.entry.callers.exceptions import DeadlineExceededError
from medlarpass_daemon.entry.callers.exceptions import ServersBusyError
from medlarpass_daemon.entry.callers.exceptions import ServersLeavingError
from medlarpass_daemon.entry.callers.exceptions import ServersPausedError
from medlarpass_daemon.entry.callers.exceptions import ServerUnreachableError
from medlarpass_daemon.entry.callers.loop_lag import TIMER_RESOLUTION_SECONDS
from medlarpass_daemon.entry.callers.loop_lag import LoopLag
from medlarpass_daemon.entry.callers.server_notices import ServerNotices
from medlarpass_daemon.entry.callers.server_permit import ServerPermit

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence
    from collections.abc import Set

    from medlarpass import Clock
    from medlarpass.dispatch import PeerLoads as PeerReports
    from medlarpass_daemon.entry.callers.interfaces import PeerLoads
    from medlarpass_daemon.entry.callers.interfaces import Target

#: Interval at which a waiting request checks the servers again, because a new server or the end of
#: an ejection wakes no waiter.
RECHECK_INTERVAL_SECONDS = 0.05
#: Requests per slot of a server that all entries together may always have in flight: the running
#: requests and a queue that is processed within the usual target latency.
MIN_REQUESTS_PER_SLOT_RATIO = 2.0
#: Number of entries from which the in-flight requests of one entry no longer indicate the load of a
#: server. A server is then chosen at random by weight alone, because choosing the least recently
#: used server would give slow servers an equal share.
MANY_ENTRIES_COUNT = 12
MANY_ENTRIES_CHOICE_COUNT = 1
#: A server receives no requests for this time after a connection to it could not be opened.
UNREACHABLE_PAUSE_SECONDS = 0.3
#: Upper bound of the exponential backoff during which other servers are preferred to one that could
#: not be reached; each attempt at a lost server costs its caller a failed connection.
MAX_UNREACHABLE_BACKOFF_SECONDS = 5.0
#: A server counts as stalled when at least this many attempts wait for its response, ...
MIN_STALLED_ATTEMPT_COUNT = 2
#: ... and it has sent no response for this time ...
STALL_TIMEOUT_SECONDS = 0.4
#: ... and for this many times its usual latency.
STALL_LATENCY_RATIO = 3.0


class ConnectionBackoff:
    """Backoff for one incarnation of a server that could not be reached.

    :param incarnation: incarnation of the server
    :param failures: consecutive connection failures
    :param backoff_until: clock reading until which other servers are preferred
    """

    __slots__ = ("backoff_until", "failures", "incarnation")

    def __init__(self, incarnation: int, failures: int, backoff_until: float) -> None:
        self.incarnation = incarnation
        self.failures = failures
        self.backoff_until = backoff_until


class ServerSelector:
    """Issues permits for attempts at servers and records the results of the attempts.

    :param peer_loads: in-flight requests reported by peers
    :param clock: source of time
    :param max_wait: maximum seconds that a request waits for a permit; bounded only by the
        deadline by default
    :param notices: what the servers have said in their responses
    :param max_pause_wait: maximum seconds that a request waits for the end of a pause of the only
        server that can run it
    """

    __slots__ = (
        "balancer",
        "clock",
        "connection_backoffs",
        "ejector",
        "entry_count",
        "last_response_at",
        "latency_totals",
        "limiters",
        "loop_lag",
        "many_entries_choices",
        "max_pause_wait",
        "max_wait",
        "notices",
        "paused_until",
        "reported_loads",
        "sharing_entries",
        "waiting",
    )

    def __init__(
        self,
        peer_loads: PeerLoads,
        clock: Clock,
        max_wait: float = math.inf,
        notices: ServerNotices | None = None,
        max_pause_wait: float = 0.0,
    ) -> None:
        self.clock = clock
        self.max_wait = max_wait
        self.notices = notices or ServerNotices(clock, math.inf)
        self.max_pause_wait = max_pause_wait
        self.balancer: Balancer = Balancer(BalancerSettings(), clock, random.Random())
        # The balancer only calls in_flight().
        self.balancer.peers = cast("PeerReports", peer_loads)
        self.ejector = Ejector(EjectorSettings(), clock)
        self.reported_loads = ReportedLoads(clock)
        self.loop_lag = LoopLag(clock)
        #: Number of entries that send to the servers, 0 while unknown.
        self.entry_count = 0
        #: Number of entries that prefer a server, by identity; the others count as used by all.
        self.sharing_entries: dict[str, float] = {}
        #: Number of servers that are compared for a request if there are many entries.
        self.many_entries_choices = MANY_ENTRIES_CHOICE_COUNT
        #: Response count and sum of latencies in seconds since the last report, by identity; then
        #: both for the responses of servers that reported an empty queue.
        self.latency_totals: dict[str, tuple[int, float, int, float]] = {}
        #: Clock reading until which a server receives no requests, by identity.
        self.paused_until: dict[str, float] = {}
        #: Backoff of the servers that could not be reached, by identity.
        self.connection_backoffs: dict[str, ConnectionBackoff] = {}
        #: Clock reading of the last response, by identity.
        self.last_response_at: dict[str, float] = {}
        self.limiters: dict[str, ConcurrencyLimiter] = {}
        self.waiting: dict[str, dict[asyncio.Future[None], None]] = {}

    def set_entry_count(self, entry_count: int) -> None:
        """Set the number of entries that send to the servers."""
        self.entry_count = entry_count
        default_choices = BalancerSettings().choices
        self.balancer.settings.choices = (
            self.many_entries_choices if entry_count >= MANY_ENTRIES_COUNT else default_choices
        )

    def use_subset_balancer(self) -> None:
        """Choose among a subset of the servers; called before the first request."""
        peers = self.balancer.peers
        self.balancer = SubsetBalancer(BalancerSettings(), self.clock, random.Random())
        self.balancer.peers = peers
        self.set_entry_count(self.entry_count)

    async def acquire(
        self,
        candidates: Callable[[], Sequence[Target]],
        tried: Set[str],
        deadline: float,
        target_latency: float | None = None,
    ) -> ServerPermit:
        """Return a permit for the best server, waiting for capacity when all are busy.

        :param candidates: returns the servers that may currently be chosen
        :param tried: identities of servers used by earlier attempts; avoided while there are others
        :param deadline: clock reading at which the response is due
        :param target_latency: target latency of the route in seconds, if known
        :raises NoServerError: when there is no candidate
        :raises DeadlineExceededError: when the deadline passed during the wait
        :raises ServersBusyError: when the maximum wait has passed
        :raises ServersLeavingError: when all candidates leave
        :raises ServersPausedError: when all candidates want no requests for longer than the wait
        """
        self._check_only_server(candidates())
        await self._wait_for_only_server(candidates, deadline)
        has_waited = False
        wait_until = self.clock.now() + self.max_wait
        while True:
            targets = candidates()
            if not targets:
                raise NoServerError("no server of the pool accepts new requests")
            self._check_accepting(targets, min(deadline, wait_until), deadline)
            permit = self._try_acquire(targets, tried, has_waited)
            if permit is not None:
                permit.limiter.target_latency = target_latency or 0.0
                return permit
            remaining = deadline - self.clock.now()
            if remaining <= 0:
                raise DeadlineExceededError("the deadline passed while all servers were busy")
            remaining_wait = wait_until - self.clock.now()
            if remaining_wait <= 0:
                raise ServersBusyError("all servers that can run the request are busy")
            max_delay = min(remaining, remaining_wait, self._recheck_delay(targets))
            await self._wait([target.identity for target in targets], max_delay)
            has_waited = True

    def prefer_domain(
        self, targets: Sequence[Target], domain: str, tried: Set[str]
    ) -> Sequence[Target]:
        """Return the free, healthy and accepting servers of a failure domain, or all if none is.

        This keeps long responses off the links between domains where possible.
        """
        local = [
            target
            for target in targets
            if target.domain == domain
            and target.identity not in tried
            and self._has_free_slot(target)
            and not self.ejector.is_ejected(target.identity)
            and not self.notices.is_leaving(target)
            and self.notices.accepts(target)
            and not self.is_unresponsive(target.identity)
            and not self.is_backing_off(target)
        ]
        return local or targets

    def accepts_attempt(self, target: Target, tried: Set[str]) -> bool:
        """Return whether a server would most likely accept an attempt of this entry now.

        :param tried: identities of servers used by earlier attempts
        """
        identity = target.identity
        load = self.balancer.loads.get(identity)
        return (
            identity not in tried
            and not self.ejector.is_ejected(identity)
            and not self.notices.is_leaving(target)
            and self.notices.accepts(target)
            and not self.is_unresponsive(identity)
            and not self.is_backing_off(target)
            and (load is None or load.backoff_until <= self.clock.now())
            and self._has_capacity(target)
        )

    def can_take(self, target: Target) -> bool:
        """Return whether a server would get a request at once."""
        return (
            not self.is_unresponsive(target.identity)
            and self.notices.accepts(target)
            and not self.notices.is_leaving(target)
            and not self.is_backing_off(target)
            and not self.waiting.get(target.identity)
            and self._has_capacity(target)
        )

    def _has_free_slot(self, target: Target) -> bool:
        load = self.balancer.loads.get(target.identity)
        return load is None or load.in_flight < max(target.slots // 2, 1)

    def record_unreachable(self, target: Target) -> None:
        """Pause a server that could not be reached, and prefer other servers for a backoff time.

        The backoff doubles with each consecutive failure.
        """
        now = self.clock.now()
        self.paused_until[target.identity] = now + UNREACHABLE_PAUSE_SECONDS
        previous = self.connection_backoffs.get(target.identity)
        failures = (
            previous.failures if previous and previous.incarnation == target.incarnation else 0
        )
        backoff_seconds = min(
            UNREACHABLE_PAUSE_SECONDS * 2.0 ** min(failures, 30), MAX_UNREACHABLE_BACKOFF_SECONDS
        )
        self.connection_backoffs[target.identity] = ConnectionBackoff(
            target.incarnation, failures + 1, now + backoff_seconds
        )

    def is_backing_off(self, target: Target) -> bool:
        """Return whether other servers are preferred because this one could not be reached."""
        previous = self.connection_backoffs.get(target.identity)
        if previous is None or previous.incarnation != target.incarnation:
            return False
        return self.clock.now() < previous.backoff_until

    def record_response(self, identity: str) -> None:
        """Record that a server has sent a response, which ends its pause and its backoff."""
        self.last_response_at[identity] = self.clock.now()
        self.paused_until.pop(identity, None)
        self.connection_backoffs.pop(identity, None)

    def record_latency(self, identity: str, seconds: float, is_unqueued: bool = False) -> None:
        """Add the latency of a response to the next report.

        :param is_unqueued: whether the server reported that no request waits there
        """
        count, total, unqueued_count, unqueued_total = self.latency_totals.get(
            identity, (0, 0.0, 0, 0.0)
        )
        self.latency_totals[identity] = (
            count + 1,
            total + seconds,
            unqueued_count + is_unqueued,
            unqueued_total + (seconds if is_unqueued else 0.0),
        )

    def take_latencies(self) -> dict[str, tuple[int, float, int, float]]:
        """Return response counts and sums of latencies by identity since the last call.

        The last two figures only include responses of servers that reported an empty queue.
        """
        totals, self.latency_totals = self.latency_totals, {}
        return totals

    def mean_latency(self, identity: str) -> float | None:
        """Return the mean response time of a server in seconds, None while unknown."""
        limiter = self.limiters.get(identity)
        return limiter.mean_latency if limiter is not None else None

    def usual_latency(self, identities: Set[str]) -> float | None:
        """Return the median of the mean latencies of servers in seconds, None while unknown."""
        loads = (self.balancer.loads.get(identity) for identity in identities)
        latencies = [load.latency for load in loads if load is not None and load.latency]
        return median_low(latencies) if latencies else None

    def is_unresponsive(self, identity: str) -> bool:
        """Return whether a request to a server would most likely wait until its deadline.

        A server behind a network partition neither responds nor refuses connections.
        """
        now = self.clock.now()
        if self.paused_until.get(identity, 0.0) > now:
            return True
        load = self.balancer.loads.get(identity)
        if load is None or len(load.attempts) < MIN_STALLED_ATTEMPT_COUNT:
            return False
        oldest = next(iter(load.attempts)).started_at
        stall_timeout = max(STALL_TIMEOUT_SECONDS, STALL_LATENCY_RATIO * (load.latency or 0.0))
        return now - max(oldest, self.last_response_at.get(identity, 0.0)) > stall_timeout

    def _check_only_server(self, targets: Sequence[Target]) -> None:
        """Refuse a request immediately if the only server that can run it is unresponsive.

        :raises ServerUnreachableError: the only server is unresponsive
        """
        if len(targets) == 1 and self.is_unresponsive(targets[0].identity):
            raise ServerUnreachableError(f"{targets[0].identity} is currently not responding")

    async def _wait_for_only_server(
        self, candidates: Callable[[], Sequence[Target]], deadline: float
    ) -> None:
        """Wait for the end of a short pause of the only server that can run a request.

        The response then comes earlier than after a refusal and a retry of the caller.
        """
        targets = candidates()
        if len(targets) != 1:
            return
        now = self.clock.now()
        delay = self.notices.resumes_at(targets[0]) - now
        if 0 < delay <= self.max_pause_wait and now + delay < deadline:
            await asyncio.sleep(delay)

    def _check_accepting(
        self, targets: Sequence[Target], wait_until: float, deadline: float
    ) -> None:
        """Refuse a request at once if no server accepts one in time.

        :param wait_until: clock reading until which the request can wait
        """
        if any(self.notices.accepts(target) for target in targets):
            return
        resumes_at = min(self.notices.resumes_at(target) for target in targets)
        if resumes_at == math.inf:
            raise ServersLeavingError("all servers that can run the request are leaving")
        if resumes_at > wait_until:
            raise ServersPausedError(min(resumes_at, deadline) - self.clock.now())

    def wake_waiters(self, identity: str) -> None:
        """Wake as many waiting requests as the server has capacity for."""
        waiting = self.waiting.get(identity)
        limiter = self.limiters[identity]
        capacity = max(int(limiter.limit), 1) - limiter.in_flight
        while waiting and capacity > 0:
            waiter = next(iter(waiting))
            del waiting[waiter]
            if not waiter.done():
                waiter.set_result(None)
                capacity -= 1

    def known_identities(self) -> set[str]:
        """Return the identities of all servers for which state is kept."""
        return {*self.limiters, *self.balancer.loads, *self.ejector.records}

    def forget(self, identity: str) -> None:
        """Drop the state of a server that left."""
        self.balancer.forget(identity)
        self.paused_until.pop(identity, None)
        self.connection_backoffs.pop(identity, None)
        self.last_response_at.pop(identity, None)
        self.ejector.forget(identity)
        self.sharing_entries.pop(identity, None)
        self.reported_loads.forget(identity)
        limiter = self.limiters.get(identity)
        if limiter is not None and not limiter.in_flight:
            del self.limiters[identity]

    def _try_acquire(
        self, targets: Sequence[Target], tried: Set[str], has_waited: bool = False
    ) -> ServerPermit | None:
        if len(targets) == 1:
            return self._try_acquire_only(targets[0], has_waited)
        free = [
            target
            for target in targets
            if not self.is_unresponsive(target.identity)
            and self.notices.accepts(target)
            and (has_waited or not self.waiting.get(target.identity))
            and self._has_capacity(target)
        ]
        free = [target for target in free if not self.is_backing_off(target)] or free
        free = [target for target in free if not self.notices.is_leaving(target)] or free
        untried = [target for target in free if target.identity not in tried]
        target = self._choose(untried, targets) or self._choose(free, targets)
        if target is None:
            return None
        limiter = self.limiters[target.identity]
        limiter.try_acquire()
        return ServerPermit(
            self, target, limiter, frozenset(candidate.identity for candidate in targets)
        )

    def _try_acquire_only(self, target: Target, has_waited: bool) -> ServerPermit | None:
        """Acquire a permit for a server without alternative, such as the owner of a key.

        Its health and earlier attempts are ignored, because no other server can run the request.
        """
        # A new request must not overtake requests that wait for the same server.
        if not has_waited and self.waiting.get(target.identity):
            return None
        if not self.notices.accepts(target):
            return None
        limiter = self._limiter_for(target)
        if not limiter.try_acquire():
            return None
        return ServerPermit(self, target, limiter, frozenset((target.identity,)))

    def _choose(self, free: Sequence[Target], targets: Sequence[Target]) -> Target | None:
        if not free:
            return None
        candidates = [
            Candidate(
                target.identity,
                target.slots,
                self.ejector.weight(target.identity) * target.weight,
            )
            for target in free
        ]
        candidates = self._prefer_by_report(candidates, free)
        try:
            chosen = self.balancer.choose(candidates)
        except NoServerError:
            return None
        return next(target for target in free if target.identity == chosen.identity)

    def _prefer_by_report(
        self, candidates: list[Candidate], free: Sequence[Target]
    ) -> list[Candidate]:
        """Return the usable servers that report no high load, or the better ones of those that do.

        Ejected servers are no alternative to a loaded one.
        """
        if not self.reported_loads.by_identity:
            return candidates
        usable = {candidate.identity for candidate in candidates if candidate.weight > 0}
        preferred = self.reported_loads.preferred(
            {target.identity: target.incarnation for target in free if target.identity in usable}
        )
        return [candidate for candidate in candidates if candidate.identity in preferred]

    def _has_capacity(self, target: Target) -> bool:
        # A limit below 1 paces requests over time; compared with a count it would admit none.
        return self._limiter_for(target).ready_in() == 0.0

    def _limiter_for(self, target: Target) -> ConcurrencyLimiter:
        limiter = self.limiters.get(target.identity)
        if limiter is None:
            limiter = self._new_limiter(target.slots)
            self.limiters[target.identity] = limiter
        elif limiter.slots != target.slots:
            # Open permits refer to this limiter, so it is updated and not replaced.
            limiter.slots = target.slots
            limiter.limit = min(limiter.limit, float(target.slots))
        if self.entry_count:
            entries = self.sharing_entries.get(target.identity, self.entry_count)
            limiter.min_limit = min(
                target.slots * MIN_REQUESTS_PER_SLOT_RATIO / entries, float(target.slots)
            )
            limiter.limit = max(limiter.limit, limiter.min_limit)
        return limiter

    def _new_limiter(self, slots: int) -> ConcurrencyLimiter:
        # While the number of entries is unknown, the limit follows the refusals of the server.
        policy = SharedServerLimiter if self.entry_count else ConcurrencyLimiter
        return policy(LimiterSettings(), self.clock, slots)

    def is_queue_short(self, identity: str) -> bool:
        """Return whether the latest responses of a server had no long wait in its queue."""
        limiter = self.limiters.get(identity)
        return limiter is not None and limiter.has_short_queue

    def _recheck_delay(self, targets: Sequence[Target]) -> float:
        """Return the seconds until the next check: a pacing limiter may admit a request earlier."""
        delays = [self._limiter_for(target).ready_in() for target in targets]
        return min(
            [
                RECHECK_INTERVAL_SECONDS,
                *(max(delay, TIMER_RESOLUTION_SECONDS) for delay in delays if delay),
            ]
        )

    async def _wait(self, identities: Sequence[str], timeout: float) -> None:
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        for identity in identities:
            self.waiting.setdefault(identity, {})[waiter] = None
        try:
            await asyncio.wait([waiter], timeout=timeout)
        finally:
            for identity in identities:
                waiting = self.waiting.get(identity, {})
                waiting.pop(waiter, None)
                if not waiting:
                    self.waiting.pop(identity, None)
