"""Sends a request to servers, with retries, until one responds."""

from __future__ import annotations

import asyncio

from functools import singledispatch
from typing import TYPE_CHECKING

from medlarpass import MedlarpassError
from medlarpass import Outcome
from medlarpass.dispatch import RetryDecision
from medlarpass.dispatch import kind_of
from medlarpass_daemon.entry.callers.attempt_result import AttemptResult
from medlarpass_daemon.entry.callers.caller_request import CallerRequest
from medlarpass_daemon.entry.callers.caller_request import DownloadRequest
from medlarpass_daemon.entry.callers.caller_request import EnquiryRequest
from medlarpass_daemon.entry.callers.events import ATTEMPT_FAILED
from medlarpass_daemon.entry.callers.exceptions import AnswerLostError
from medlarpass_daemon.entry.callers.exceptions import DeadlineExceededError
from medlarpass_daemon.entry.callers.exceptions import KeyMovedError
from medlarpass_daemon.entry.callers.exceptions import NoOwnerError
from medlarpass_daemon.entry.callers.exceptions import OwnerChangedError
from medlarpass_daemon.entry.callers.exceptions import RouteMovedError
from medlarpass_daemon.entry.callers.exceptions import ServerNotAcceptingError
from medlarpass_daemon.entry.callers.exceptions import ServerRefusedError
from medlarpass_daemon.entry.callers.exceptions import ServerUnreachableError
from medlarpass_daemon.entry.callers.exchange import Exchange
from medlarpass_daemon.entry.callers.route_refresh import refresh_route

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from medlarpass_daemon.entry.callers.domain_router import DomainRouter
    from medlarpass_daemon.entry.callers.interfaces import Target
    from medlarpass_daemon.entry.callers.owner_watch import WatchedAttempt
    from medlarpass_daemon.entry.callers.request_context import RequestContext
    from medlarpass_daemon.entry.callers.route_state import RouteState
    from medlarpass_daemon.entry.callers.server_permit import ServerPermit

#: Refusals after which another server has to be used; they cost the server almost no work.
REROUTING_REFUSALS = frozenset({"stale-fence", "not-owner", "draining"})
#: Maximum number of attempts that follow a moved key or a draining server.
MAX_REROUTE_COUNT = 16
#: Time to wait for the ownership view to catch up when a server refuses a key that it owns
#: according to the view.
OWNER_VIEW_LAG_SECONDS = 0.02


async def send_with_retries(
    context: RequestContext, request: CallerRequest, state: RouteState, prefetch: int
) -> AttemptResult:
    """Send a request until a server responds, with the retries that its request class allows.

    :param prefetch: bytes of the body to read before the response counts as received
    :raises MedlarpassError: the error of the last attempt
    """
    tried: set[str] = set()
    while True:
        request.attempts += 1
        try:
            return await _send_attempt(context, request, tried, prefetch)
        except MedlarpassError as error:
            if error.outcome is Outcome.UNKNOWN:
                request.may_have_run = True
            will_retry = await _may_retry(context, request, state, error, request.attempts)
            _log_failure(context, request, error, will_retry)
            if not will_retry:
                _raise_if_owner_busy(context, request, error)
                raise
        context.metrics.retries.labels(request.route.name).inc()


def _log_failure(
    context: RequestContext, request: CallerRequest, error: MedlarpassError, will_retry: bool
) -> None:
    target = request.target
    ATTEMPT_FAILED.log(
        request_id=request.request_id,
        route=request.route.name,
        pool=request.pool.name,
        key=request.owned_key,
        attempt=request.attempts,
        server=target.identity if target is not None else None,
        fence=target.fence if target is not None else None,
        revision=context.routing.revision,
        view_age=context.view_age(),
        code=error.code,
        reason=error.message,
        outcome=error.outcome.value,
        remaining=round(request.remaining, 4),
        repeats=will_retry,
    )


async def _send_attempt(
    context: RequestContext, request: CallerRequest, tried: set[str], prefetch: int
) -> AttemptResult:
    permit = await _acquire_permit(context, request, tried)
    pool = request.pool.name
    request.target = permit.target
    tried.add(permit.target.identity)
    watched = _watch_owner(request, context, permit.target)
    try:
        exchange = _build_exchange(context, request, permit.target, pool)
        if context.domain_router is not None and request.owned_key is None:
            exchange.keeps_connection = context.domain_router.keeps_connections(pool, permit.target)
        response = await context.client.send(exchange)
        permit.headers_received()
        permit.load = exchange.load
        if context.owner_queue is not None:
            context.owner_queue.turns.record_response(permit.target)
        body_start = await response.prefetch(prefetch)
        if not may_forward_response(request, context, permit.target):
            response.close()
            raise OwnerChangedError("the key moved before the response arrived")
    except MedlarpassError as error:
        permit.failed(error)
        queue = context.owner_queue
        if queue is not None and queue.is_load_refusal(request, error):
            queue.record_refusal(permit.target)
        raise
    except asyncio.CancelledError:
        permit.cancelled()
        if watched is None or not watched.was_cancelled_by_watch():
            raise
        raise OwnerChangedError("the key moved while the request waited for the response") from None
    except BaseException:
        permit.cancelled()
        raise
    finally:
        if watched is not None:
            context.owner_watch.unwatch(watched)
    return AttemptResult(response, permit, body_start)


def _watch_owner(
    request: CallerRequest, context: RequestContext, target: Target
) -> WatchedAttempt | None:
    """Watch the owner of an enquiry; an order is never cancelled, because it may be running."""
    key = request.owned_key
    if key is None or not isinstance(request, EnquiryRequest):
        return None
    if not context.owners.cancels_attempts_on_owner_change:
        return None
    return context.owner_watch.watch(lambda: context.owners.is_current(request.pool, key, target))


async def _acquire_permit(
    context: RequestContext, request: CallerRequest, tried: set[str]
) -> ServerPermit:
    refresh_route(context, request)
    thinning = context.thinning
    if request.owned_key is None:
        # One number for the whole attempt: each new one would be another chance of a cold server.
        draw = thinning.draw()

        def usable_targets() -> Sequence[Target]:
            refresh_route(context, request)
            targets = context.servers.available_servers(request.pool.name)
            return thinning.admitted_targets(
                targets,
                draw,
                lambda target: target.identity not in tried
                and context.server_selector.can_take(target),
            )

        if context.domain_router is not None:
            return await _acquire_by_domain(
                context, context.domain_router, request, tried, usable_targets
            )
        if isinstance(request, DownloadRequest):
            return await context.server_selector.acquire(
                lambda: context.server_selector.prefer_domain(
                    usable_targets(), context.domain, tried
                ),
                tried,
                request.deadline,
                request.route.target_latency,
            )
        return await context.server_selector.acquire(
            usable_targets, tried, request.deadline, request.route.target_latency
        )
    key = request.owned_key
    owner = await _wait_for_owner(context, request, key)
    thinning.check_owner(owner, context.view_age())
    if context.owner_queue is not None:
        await context.owner_queue.wait_for_turn(request, owner)

    def owner_only() -> tuple[Target]:
        refresh_route(context, request)
        # The owner may change during the wait, for example when the owner is lost.
        if not context.owners.is_current(request.pool, key, owner):
            raise KeyMovedError("the key moved while the request waited for its owner")
        return (owner,)

    return await context.server_selector.acquire(
        owner_only, frozenset(), request.deadline, request.route.target_latency
    )


async def _acquire_by_domain(
    context: RequestContext,
    router: DomainRouter,
    request: CallerRequest,
    tried: set[str],
    usable_targets: Callable[[], Sequence[Target]],
) -> ServerPermit:
    domain = router.next_domain(request.pool.name)

    def preferred_targets() -> Sequence[Target]:
        targets = usable_targets()
        return router.prefer(request.pool.name, domain, targets, tried)

    permit = await context.server_selector.acquire(
        preferred_targets, tried, request.deadline, request.route.target_latency
    )
    router.record(request.pool.name, domain, permit.target)
    return permit


async def _wait_for_owner(context: RequestContext, request: CallerRequest, key: str) -> Target:
    wait_until = context.clock.now() + context.settings.owner_wait
    while True:
        try:
            owner = context.owners.owner_of(request.pool, key)
            if context.notices.has_left(owner):
                raise NoOwnerError(f"{owner.identity} leaves and its keys have not been moved yet")
            return owner
        except NoOwnerError as error:
            if request.remaining <= 0:
                raise DeadlineExceededError(
                    "no server owned the key before the deadline"
                ) from error
            remaining_wait = wait_until - context.clock.now()
            if remaining_wait <= 0:
                raise
            await context.owners.wait_for_change(min(request.remaining, remaining_wait))


def _build_exchange(
    context: RequestContext, request: CallerRequest, target: Target, pool: str
) -> Exchange:
    web = request.web
    request_headers = context.dialect.request_headers(
        web.headers, request.request_id, web.remote or "unknown", web.scheme, target
    )
    body = request.body.content_for_attempt()
    if request.body.is_streamed and request.body.length is not None:
        request_headers["Content-Length"] = str(request.body.length)

    def check_sendable() -> None:
        request.check_caller_connected()
        refresh_route(context, request)
        if request.pool.name != pool:
            raise RouteMovedError("the route moved to another pool before the request was sent")
        key = request.owned_key
        if key is not None and not context.owners.is_current(request.pool, key, target):
            raise KeyMovedError("the key moved before the request was sent")
        if key is None and not context.servers.may_send_to(target):
            raise ServerNotAcceptingError("the server was evacuated before the request was sent")

    return Exchange(
        target,
        web.method,
        request.path,
        request_headers,
        body,
        request.request_id,
        request.deadline,
        context.clock,
        check_sendable,
        context.dialect,
    )


@singledispatch
def may_forward_response(request: CallerRequest, context: RequestContext, target: Target) -> bool:
    """Return whether a response of the target may be forwarded to the caller.

    The response to an order is always forwarded, because it reports that the order ran.
    """
    return True


@may_forward_response.register(EnquiryRequest)
def _(request: EnquiryRequest, context: RequestContext, target: Target) -> bool:
    key = request.owned_key
    if key is None or not context.owners.cancels_attempts_on_owner_change:
        return True
    return context.owners.is_current(request.pool, key, target)


async def _may_retry(
    context: RequestContext,
    request: CallerRequest,
    state: RouteState,
    error: MedlarpassError,
    attempts: int,
) -> bool:
    if not request.body.can_resend or request.is_caller_gone or request.remaining <= 0:
        return False
    if isinstance(error, RouteMovedError | ServerNotAcceptingError):
        # Nothing was sent; the next selection leaves the server out.
        return attempts < MAX_REROUTE_COUNT
    if isinstance(error, KeyMovedError) or (
        _is_rerouting(error) and not context.dialect.counts_reroutes
    ):
        if request.owned_key is None:
            return attempts < MAX_REROUTE_COUNT
        if isinstance(error, ServerRefusedError):
            await context.owners.wait_for_change(min(OWNER_VIEW_LAG_SECONDS, request.remaining))
        # A key that is moving has a new owner soon, so only the deadline ends the retries.
        return request.remaining > 0
    if not isinstance(error, ServerUnreachableError | ServerRefusedError | AnswerLostError):
        return False
    queue = context.owner_queue
    if queue is not None and queue.is_load_refusal(request, error):
        # The request is sent again only in its turn, see _acquire_permit.
        if request.target is None or not queue.can_wait(request, request.target):
            return False
    elif request.owned_key is not None and _is_owner_busy(context, request, error):
        # No other server can run the request, and the owner would refuse it again.
        return False
    if _is_rerouting(error):
        await context.owners.wait_for_change(min(context.settings.owner_wait, request.remaining))
    kind = kind_of(request.route.request_class)
    decision = state.retry_policy.decide(kind, error.outcome, attempts, request.remaining)
    return decision is RetryDecision.RETRY


def _raise_if_owner_busy(
    context: RequestContext, request: CallerRequest, error: MedlarpassError
) -> None:
    """Raise the error with the time at which the owner is expected to accept a request.

    :raises OwnerBusyError: the owner refused the request because of its load
    """
    queue = context.owner_queue
    if queue is not None and queue.is_load_refusal(request, error) and request.target is not None:
        raise queue.busy_error(request.target) from error


def _is_owner_busy(context: RequestContext, request: CallerRequest, error: MedlarpassError) -> bool:
    if isinstance(error, ServerUnreachableError):
        return True
    if not isinstance(error, ServerRefusedError) or error.refusal in REROUTING_REFUSALS:
        return False
    # A server that refuses although its queue is short may accept the next attempt.
    return request.target is None or not context.server_selector.is_queue_short(
        request.target.identity
    )


def _is_rerouting(error: MedlarpassError) -> bool:
    if isinstance(error, ServerRefusedError):
        return error.refusal in REROUTING_REFUSALS
    return isinstance(error, KeyMovedError | OwnerChangedError)
