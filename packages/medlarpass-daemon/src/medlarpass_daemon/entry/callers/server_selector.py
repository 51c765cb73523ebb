"""Choice of servers and limits per server."""

from __future__ import annotations

import asyncio
import math
import random

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
from medlarpass.dispatch import SharedServerLimiter
from medlarpass_daemon.entry.callers.exceptions import DeadlineExceededError
from medlarpass_daemon.entry.callers.exceptions import ServersBusyError
from medlarpass_daemon.entry.callers.exceptions import ServerUnreachableError
from medlarpass_daemon.entry.callers.loop_lag import TIMER_RESOLUTION_SECONDS
from medlarpass_daemon.entry.callers.loop_lag import LoopLag
from medlarpass_daemon.entry.callers.server_permit import ServerPermit

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence
    from collections.abc import Set

    from medlarpass import Clock
    from medlarpass.dispatch import PeerLoads as ReportedLoads
    from medlarpass_daemon.entry.callers.interfaces import PeerLoads
    from medlarpass_daemon.entry.callers.interfaces import Target

#: Seconds after which a waiting request looks at the servers again: new servers and ended
#: ejections wake nobody.
RECHECK_INTERVAL_SECONDS = 0.05
#: Requests for each slot of a server that its entries may always have in flight together: those
#: that run, and a queue that is worked off within the usual target.
MIN_REQUESTS_PER_SLOT_RATIO = 2.0
#: Entries from which what one of them has in flight says nothing about a server. A server is then
#: drawn by its weight alone: the least recently used one would give slow servers an equal share.
MANY_ENTRIES_COUNT = 12
MANY_ENTRIES_CHOICE_COUNT = 1
#: Seconds for which a server gets nothing after a connection to it could not be opened.
UNREACHABLE_PAUSE_SECONDS = 0.3
#: Longest time for which other servers are preferred to one that was not reached again and again;
#: each try at a lost server costs its caller a connection that fails.
MAX_UNREACHABLE_BACKOFF_SECONDS = 5.0
#: A server is taken for stalled when it owes at least this many answers, ...
MIN_STALLED_ATTEMPT_COUNT = 2
#: ... and nothing came from it for this many seconds ...
STALL_TIMEOUT_SECONDS = 0.4
#: ... and for this many times its usual latency.
STALL_LATENCY_RATIO = 3.0


class ConnectionBackoff:
    """A life of a server that was not reached.

    :param incarnation: the life
    :param failures: tries in a row that did not reach it
    :param backoff_until: reading of the clock until which other servers are preferred
    """

    __slots__ = ("backoff_until", "failures", "incarnation")

    def __init__(self, incarnation: int, failures: int, backoff_until: float) -> None:
        self.incarnation = incarnation
        self.failures = failures
        self.backoff_until = backoff_until


class ServerSelector:
    """Hands out places at servers and takes the results of attempts.

    :param peer_loads: in-flight requests told by peers
    :param clock: source of time
    :param max_wait: seconds that a request waits for room at most; the deadline alone bounds
        it by default
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
        "max_wait",
        "paused_until",
        "waiting",
    )

    def __init__(self, peer_loads: PeerLoads, clock: Clock, max_wait: float = math.inf) -> None:
        self.clock = clock
        self.max_wait = max_wait
        self.balancer = Balancer(BalancerSettings(), clock, random.Random())
        # The balancer only asks for the requests in flight.
        self.balancer.peers = cast("ReportedLoads", peer_loads)
        self.ejector = Ejector(EjectorSettings(), clock)
        self.loop_lag = LoopLag(clock)
        #: Entries that send to the servers, 0 while unknown.
        self.entry_count = 0
        #: Answers and the sum of their seconds by server, since the last report.
        self.latency_totals: dict[str, tuple[int, float]] = {}
        #: Reading of the clock until which a server gets nothing, by identity.
        self.paused_until: dict[str, float] = {}
        #: What keeps a life of a server from being preferred, by identity.
        self.connection_backoffs: dict[str, ConnectionBackoff] = {}
        #: Reading of the clock of the last answer, by identity.
        self.last_response_at: dict[str, float] = {}
        self.limiters: dict[str, ConcurrencyLimiter] = {}
        self.waiting: dict[str, dict[asyncio.Future[None], None]] = {}

    def entries_seen(self, entry_count: int) -> None:
        """Take the number of entries that send to the servers."""
        self.entry_count = entry_count
        usual = BalancerSettings().choices
        self.balancer.settings.choices = (
            MANY_ENTRIES_CHOICE_COUNT if entry_count >= MANY_ENTRIES_COUNT else usual
        )

    async def acquire(
        self,
        candidates: Callable[[], Sequence[Target]],
        tried: Set[str],
        deadline: float,
        target_latency: float | None = None,
    ) -> ServerPermit:
        """Return a place at the best server, waiting for room when all are busy.

        :param candidates: returns the servers that may be chosen at present
        :param tried: identities that earlier attempts used; avoided while there are others
        :param deadline: reading of the clock when the answer is due
        :param target_latency: seconds within which an answer is worth most, where that is known
        :raises NoServerError: when there is no candidate
        :raises DeadlineExceededError: when the deadline passed during the wait
        :raises ServersBusyError: when the longest wait is over
        """
        self._check_only_server(candidates())
        has_waited = False
        wait_until = self.clock.now() + self.max_wait
        while True:
            targets = candidates()
            if not targets:
                raise NoServerError("no server of the pool may get new work")
            permit = self._try_acquire(targets, tried, has_waited)
            if permit is not None:
                permit.limiter.aim = target_latency or 0.0
                return permit
            remaining = deadline - self.clock.now()
            if remaining <= 0:
                raise DeadlineExceededError("the deadline passed while all servers were busy")
            remaining_wait = wait_until - self.clock.now()
            if remaining_wait <= 0:
                raise ServersBusyError("all servers that may run the request are busy")
            max_delay = min(remaining, remaining_wait, self._recheck_delay(targets))
            await self._wait([target.identity for target in targets], max_delay)
            has_waited = True

    def prefer_domain(
        self, targets: Sequence[Target], domain: str, tried: Set[str]
    ) -> Sequence[Target]:
        """Return the servers of a failure domain that are free and healthy, or else all.

        Long answers should not cross the links between domains without need.
        """
        local = [
            target
            for target in targets
            if target.domain == domain
            and target.identity not in tried
            and self._has_free_slot(target)
            and not self.ejector.is_ejected(target.identity)
            and not self.is_unresponsive(target.identity)
            and not self.is_backing_off(target)
        ]
        return local or targets

    def _has_free_slot(self, target: Target) -> bool:
        load = self.balancer.loads.get(target.identity)
        return load is None or load.in_flight < max(target.slots // 2, 1)

    def record_unreachable(self, target: Target) -> None:
        """Send a server nothing for a moment after it was not reached.

        Other servers are preferred for longer, twice as long each time.
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
        """Return whether other servers are preferred, since this one was not reached."""
        previous = self.connection_backoffs.get(target.identity)
        if previous is None or previous.incarnation != target.incarnation:
            return False
        return self.clock.now() < previous.backoff_until

    def record_response(self, identity: str) -> None:
        """Note that a server has answered something."""
        self.last_response_at[identity] = self.clock.now()
        self.paused_until.pop(identity, None)
        self.connection_backoffs.pop(identity, None)

    def record_latency(self, identity: str, seconds: float) -> None:
        """Count the time of an answer for the next report."""
        count, total = self.latency_totals.get(identity, (0, 0.0))
        self.latency_totals[identity] = (count + 1, total + seconds)

    def take_times(self) -> dict[str, tuple[int, float]]:
        """Return answers and their seconds by server since the last call."""
        taken, self.latency_totals = self.latency_totals, {}
        return taken

    def is_unresponsive(self, identity: str) -> bool:
        """Return whether a request to a server would most likely only wait for its deadline.

        A server behind a cut answers nothing, and a connection to it is not refused either.
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
        """Refuse at once what only a server that does not answer could run.

        :raises ServerUnreachableError: the only server is avoided
        """
        if len(targets) == 1 and self.is_unresponsive(targets[0].identity):
            raise ServerUnreachableError(f"{targets[0].identity} does not answer at present")

    def wake_waiters(self, identity: str) -> None:
        """Let as many waiting requests look again as the server has room for."""
        waiting = self.waiting.get(identity)
        limiter = self.limiters[identity]
        room = max(int(limiter.limit), 1) - limiter.in_flight
        while waiting and room > 0:
            waiter = next(iter(waiting))
            del waiting[waiter]
            if not waiter.done():
                waiter.set_result(None)
                room -= 1

    def known_identities(self) -> set[str]:
        """Return the identities of all servers that something is known about."""
        return {*self.limiters, *self.balancer.loads, *self.ejector.records}

    def forget(self, identity: str) -> None:
        """Drop what is known about a server that left."""
        self.balancer.forget(identity)
        self.paused_until.pop(identity, None)
        self.connection_backoffs.pop(identity, None)
        self.last_response_at.pop(identity, None)
        self.ejector.forget(identity)
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
            and (has_waited or not self.waiting.get(target.identity))
            and self._has_room(target)
        ]
        free = [target for target in free if not self.is_backing_off(target)] or free
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
        """Take a place at a server that can't be replaced, such as the owner of a key.

        Neither its health nor an earlier attempt matters then.
        """
        # A new request does not overtake those that wait for the same server.
        if not has_waited and self.waiting.get(target.identity):
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
        try:
            chosen = self.balancer.choose(candidates)
        except NoServerError:
            return None
        return next(target for target in free if target.identity == chosen.identity)

    def _has_room(self, target: Target) -> bool:
        # A limit below 1 spaces requests in time; compared with a count it would admit none.
        return self._limiter_for(target).ready_in() == 0.0

    def _limiter_for(self, target: Target) -> ConcurrencyLimiter:
        limiter = self.limiters.get(target.identity)
        if limiter is None:
            limiter = self._new_limiter(target.slots)
            self.limiters[target.identity] = limiter
        elif limiter.slots != target.slots:
            # Places that are open hold this limiter, so it is changed and not replaced.
            limiter.slots = target.slots
            limiter.limit = min(limiter.limit, float(target.slots))
        if self.entry_count:
            limiter.floor = min(
                target.slots * MIN_REQUESTS_PER_SLOT_RATIO / self.entry_count, float(target.slots)
            )
            limiter.limit = max(limiter.limit, limiter.floor)
        return limiter

    def _new_limiter(self, slots: int) -> ConcurrencyLimiter:
        # Without a number of entries, the server tells by its refusals how much each may send.
        policy = SharedServerLimiter if self.entry_count else ConcurrencyLimiter
        return policy(LimiterSettings(), self.clock, slots)

    def is_queue_short(self, identity: str) -> bool:
        """Return whether the latest answers of a server came without a long wait in its queue."""
        limiter = self.limiters.get(identity)
        return limiter is not None and limiter.is_quick

    def _recheck_delay(self, targets: Sequence[Target]) -> float:
        """Return the seconds until a limiter that spaces its requests admits the next one."""
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
