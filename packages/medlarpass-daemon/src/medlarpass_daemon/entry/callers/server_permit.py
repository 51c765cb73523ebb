"""Permit for one attempt at a server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass import Outcome
from medlarpass.dispatch import AttemptOutcome
from medlarpass_daemon.entry.callers.exceptions import DeadlineOutcomeUnknownError
from medlarpass_daemon.entry.callers.exceptions import OwnerChangedError
from medlarpass_daemon.entry.callers.exceptions import ServerRefusedError
from medlarpass_daemon.entry.callers.exceptions import ServerUnreachableError

if TYPE_CHECKING:

    from medlarpass import MedlarpassError
    from medlarpass.dispatch import ConcurrencyLimiter
    from medlarpass.dispatch import ServerLoadReport
    from medlarpass_daemon.entry.callers.interfaces import Target
    from medlarpass_daemon.entry.callers.server_selector import ServerSelector

#: Refusals that depend on key ownership and do not indicate the load of the server.
OWNERSHIP_REFUSALS = frozenset({"stale-fence", "not-owner"})


class ServerPermit:
    """Counts one attempt as in flight until it ends; only the first reported end takes effect.

    :param selector: selector that issued the permit
    :param target: the server
    :param limiter: concurrency limiter of the server
    :param candidates: identities of all servers that could have been chosen
    """

    __slots__ = (
        "attempt",
        "candidates",
        "is_open",
        "latency",
        "limiter",
        "load",
        "selector",
        "target",
    )

    def __init__(
        self,
        selector: ServerSelector,
        target: Target,
        limiter: ConcurrencyLimiter,
        candidates: frozenset[str],
    ) -> None:
        self.selector = selector
        self.target = target
        self.limiter = limiter
        self.candidates = candidates
        self.attempt = selector.balancer.started(target.identity)
        selector.loop_lag.attempt_started()
        #: Seconds until the response headers arrived, less the lag of this process's event loop.
        self.latency: float | None = None
        #: Load that the server reported in its response.
        self.load: ServerLoadReport | None = None
        self.is_open = True

    def headers_received(self) -> None:
        """Measure the latency up to the response headers.

        The time for the body is not counted, because it also depends on the caller.
        """
        self.selector.record_response(self.target.identity)
        self.latency = self.selector.loop_lag.latency_without_lag(self.attempt.started_at)

    def finished(self, status: int) -> None:
        """Record a complete response."""
        if not self._close():
            return
        if self.latency is None:
            self.headers_received()
        assert self.latency is not None
        self.limiter.finished(self.latency)
        self._record_load(self.load, self.latency)
        self.selector.balancer.finished(self.attempt)
        self._record(Outcome.RUN, status)

    def failed(self, error: MedlarpassError) -> None:
        """Record an attempt that ended with an error."""
        if isinstance(error, ServerUnreachableError) or self._is_replaced(error):
            self.selector.record_unreachable(self.target)
        elif isinstance(error, ServerRefusedError):
            self.selector.record_response(self.target.identity)
        if isinstance(error, ServerRefusedError) and error.refusal not in OWNERSHIP_REFUSALS:
            self._refused(error)
        elif _counts_as_server_failure(error):
            self._abandoned(error)
        else:
            self.cancelled()

    def _is_replaced(self, error: MedlarpassError) -> bool:
        """Return whether another server now uses the address.

        Without a key, that is the only reason for a server to refuse a request as not its own.
        """
        is_moved = isinstance(error, ServerRefusedError) and error.refusal in OWNERSHIP_REFUSALS
        return is_moved and self.target.fence is None

    def cancelled(self) -> None:
        """Record an attempt that ended for a reason outside the server."""
        if not self._close():
            return
        self.limiter.in_flight -= 1
        self.selector.balancer.abandoned(self.attempt)
        self.selector.wake_waiters(self.target.identity)

    def _refused(self, error: ServerRefusedError) -> None:
        if not self._close():
            return
        self.limiter.refused()
        self.selector.reported_loads.record_refusal(self.target.identity, self.target.incarnation)
        self.selector.balancer.refused(self.attempt)
        self._record(Outcome.NOT_RUN, error.http_status)

    def _abandoned(self, error: MedlarpassError) -> None:
        if not self._close():
            return
        self.limiter.abandoned()
        self.selector.balancer.abandoned(self.attempt)
        if isinstance(error, DeadlineOutcomeUnknownError):
            # The queue of the server was too long; the latency would have been at least this time.
            self.selector.record_latency(self.target.identity, self._elapsed())
        self._record(error.outcome, None)

    def _record_load(self, load: ServerLoadReport | None, latency: float) -> None:
        identity, incarnation = self.target.identity, self.target.incarnation
        loads = self.selector.reported_loads
        if load is not None:
            usual = self.selector.usual_latency(self.candidates) if load.is_busy else None
            loads.record_response(identity, incarnation, load, latency, usual)
        self.selector.record_latency(
            identity, latency, loads.is_unqueued(identity, incarnation, load)
        )

    def _record(self, outcome: Outcome, status: int | None) -> None:
        identity = self.target.identity
        result = AttemptOutcome(outcome, self._elapsed(), status)
        self.selector.ejector.record(identity, result, self.candidates)
        self.selector.wake_waiters(identity)

    def _close(self) -> bool:
        if not self.is_open:
            return False
        self.is_open = False
        self.selector.loop_lag.attempt_ended()
        return True

    def _elapsed(self) -> float:
        return self.selector.clock.now() - self.attempt.started_at


def _counts_as_server_failure(error: MedlarpassError) -> bool:
    if isinstance(error, OwnerChangedError):
        return False
    return error.outcome is Outcome.UNKNOWN or isinstance(error, ServerUnreachableError)
