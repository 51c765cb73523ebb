"""Attempts of a request until one is answered."""

from __future__ import annotations

import asyncio

from functools import singledispatch
from typing import TYPE_CHECKING

from medlarpass import MedlarpassError
from medlarpass import Outcome
from medlarpass.dispatch import RetryDecision
from medlarpass.dispatch import kind_of
from medlarpass_daemon.entry.callers.caller_request import CallerRequest
from medlarpass_daemon.entry.callers.caller_request import DownloadRequest
from medlarpass_daemon.entry.callers.caller_request import EnquiryRequest
from medlarpass_daemon.entry.callers.delivery import Delivery
from medlarpass_daemon.entry.callers.events import ATTEMPT_FAILED
from medlarpass_daemon.entry.callers.exceptions import AnswerLostError
from medlarpass_daemon.entry.callers.exceptions import DeadlineExceededError
from medlarpass_daemon.entry.callers.exceptions import KeyMovedError
from medlarpass_daemon.entry.callers.exceptions import NoOwnerError
from medlarpass_daemon.entry.callers.exceptions import OwnerChangedError
from medlarpass_daemon.entry.callers.exceptions import RouteMovedError
from medlarpass_daemon.entry.callers.exceptions import ServerRefusedError
from medlarpass_daemon.entry.callers.exceptions import ServerUnreachableError
from medlarpass_daemon.entry.callers.exchange import Exchange
from medlarpass_daemon.entry.callers.route_following import follow_route

if TYPE_CHECKING:
    from collections.abc import Sequence

    from medlarpass_daemon.entry.callers.interfaces import Target
    from medlarpass_daemon.entry.callers.owner_watch import WatchedAttempt
    from medlarpass_daemon.entry.callers.place import Place
    from medlarpass_daemon.entry.callers.request_path import RequestPath
    from medlarpass_daemon.entry.callers.route_state import RouteState

#: Refusals that mean another server has to be used; they cost a server nearly nothing.
REROUTING = frozenset({"stale-fence", "not-owner", "draining"})
#: Bound of attempts that follow a moved key or a draining server.
MOST_REROUTES = 16
#: Seconds to wait for the view to follow, when a server refuses a key that the view gives it.
VIEW_LAG = 0.02


async def first_answer(
    path: RequestPath, request: CallerRequest, state: RouteState, prefetch: int
) -> Delivery:
    """Send a request until a server answers it, as far as its class allows.

    :param prefetch: bytes of the body to read before the answer counts as received
    :raises MedlarpassError: the error of the last attempt
    """
    tried: set[str] = set()
    while True:
        request.attempts += 1
        try:
            return await _attempt(path, request, tried, prefetch)
        except MedlarpassError as error:
            if error.outcome is Outcome.UNKNOWN:
                request.may_have_run = True
            repeats = await _may_retry(path, request, state, error, request.attempts)
            _log_failure(path, request, error, repeats)
            if not repeats:
                raise
        path.metrics.retries.labels(request.route.name).inc()


def _log_failure(
    path: RequestPath, request: CallerRequest, error: MedlarpassError, repeats: bool
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
        revision=path.routing.revision,
        view_age=path.view_age(),
        code=error.code,
        reason=error.message,
        outcome=error.outcome.value,
        remaining=round(request.remaining, 4),
        repeats=repeats,
    )


async def _attempt(
    path: RequestPath, request: CallerRequest, tried: set[str], prefetch: int
) -> Delivery:
    place = await _place(path, request, tried)
    pool = request.pool.name
    request.target = place.target
    tried.add(place.target.identity)
    watched = _watch(request, path, place.target)
    try:
        exchange = _exchange(path, request, place.target, pool)
        answer = await path.client.send(exchange)
        place.answered()
        data = await answer.prefetch(prefetch)
        if not may_pass(request, path, place.target):
            answer.close()
            raise OwnerChangedError("the key moved before the answer arrived")
    except MedlarpassError as error:
        place.failed(error)
        raise
    except asyncio.CancelledError:
        place.dropped()
        if watched is None or not watched.was_ended():
            raise
        raise OwnerChangedError("the key moved while its server owed the answer") from None
    except BaseException:
        place.dropped()
        raise
    finally:
        if watched is not None:
            path.owner_watch.end(watched)
    return Delivery(answer, place, data)


def _watch(request: CallerRequest, path: RequestPath, target: Target) -> WatchedAttempt | None:
    """Watch the owner of an enquiry; an order is never given up, because it may run."""
    key = request.owned_key
    if key is None or not isinstance(request, EnquiryRequest):
        return None
    if not path.owners.ends_lost_attempts:
        return None
    return path.owner_watch.begin(lambda: path.owners.is_current(request.pool, key, target))


async def _place(path: RequestPath, request: CallerRequest, tried: set[str]) -> Place:
    follow_route(path, request)
    if request.owned_key is None:

        def usable() -> Sequence[Target]:
            follow_route(path, request)
            return path.servers.usable(request.pool.name)

        if isinstance(request, DownloadRequest):
            return await path.places.take(
                lambda: path.places.near(usable(), path.domain, tried),
                tried,
                request.deadline,
                request.route.target_latency,
            )
        return await path.places.take(usable, tried, request.deadline, request.route.target_latency)
    key = request.owned_key
    owner = await _owner(path, request, key)

    def owner_only() -> tuple[Target]:
        follow_route(path, request)
        # The wait may outlast the ownership, for example when the owner is lost.
        if not path.owners.is_current(request.pool, key, owner):
            raise KeyMovedError("the key moved while the request waited for its owner")
        return (owner,)

    return await path.places.take(
        owner_only, frozenset(), request.deadline, request.route.target_latency
    )


async def _owner(path: RequestPath, request: CallerRequest, key: str) -> Target:
    wait_until = path.clock.now() + path.settings.owner_wait
    while True:
        try:
            return path.owners.owner_of(request.pool, key)
        except NoOwnerError as error:
            if request.remaining <= 0:
                raise DeadlineExceededError("no server owned the key until the deadline") from error
            rest = wait_until - path.clock.now()
            if rest <= 0:
                raise
            await path.owners.wait_for_change(min(request.remaining, rest))


def _exchange(path: RequestPath, request: CallerRequest, target: Target, pool: str) -> Exchange:
    web = request.web
    passed = path.dialect.to_server(
        web.headers, request.request_id, web.remote or "unknown", web.scheme, target
    )
    body = request.body.for_attempt()
    if request.body.is_streamed and request.body.length is not None:
        passed["Content-Length"] = str(request.body.length)

    def check() -> None:
        request.check_caller()
        follow_route(path, request)
        if request.pool.name != pool:
            raise RouteMovedError("the route moved to another pool before the request was sent")
        key = request.owned_key
        if key is not None and not path.owners.is_current(request.pool, key, target):
            raise KeyMovedError("the key moved before the request was sent")

    return Exchange(
        target,
        web.method,
        request.path,
        passed,
        body,
        request.request_id,
        request.deadline,
        path.clock,
        check,
        path.dialect,
    )


@singledispatch
def may_pass(request: CallerRequest, path: RequestPath, target: Target) -> bool:
    """Return whether an answer of the target may be passed to the caller.

    The answer to an order is passed in any case: it tells that the order ran.
    """
    return True


@may_pass.register(EnquiryRequest)
def _(request: EnquiryRequest, path: RequestPath, target: Target) -> bool:
    key = request.owned_key
    if key is None or not path.owners.ends_lost_attempts:
        return True
    return path.owners.is_current(request.pool, key, target)


async def _may_retry(
    path: RequestPath,
    request: CallerRequest,
    state: RouteState,
    error: MedlarpassError,
    attempts: int,
) -> bool:
    if not request.body.can_repeat or request.is_gone or request.remaining <= 0:
        return False
    if isinstance(error, RouteMovedError):
        return attempts < MOST_REROUTES
    if isinstance(error, KeyMovedError) or (
        _is_rerouting(error) and not path.dialect.counts_reroutes
    ):
        if request.owned_key is None:
            return attempts < MOST_REROUTES
        if isinstance(error, ServerRefusedError):
            await path.owners.wait_for_change(min(VIEW_LAG, request.remaining))
        # A key on its way to another server has an owner soon; only the deadline ends the search.
        return request.remaining > 0
    if not isinstance(error, ServerUnreachableError | ServerRefusedError | AnswerLostError):
        return False
    if request.owned_key is not None and _is_owner_busy(path, request, error):
        # There is no other server to try, and the same one would refuse again.
        return False
    if _is_rerouting(error):
        await path.owners.wait_for_change(min(path.settings.owner_wait, request.remaining))
    kind = kind_of(request.route.request_class)
    decision = state.retries.decide(kind, error.outcome, attempts, request.remaining)
    return decision is RetryDecision.RETRY


def _is_owner_busy(path: RequestPath, request: CallerRequest, error: MedlarpassError) -> bool:
    if isinstance(error, ServerUnreachableError):
        return True
    if not isinstance(error, ServerRefusedError) or error.refusal in REROUTING:
        return False
    # A server that refuses although its queue is short may take the next try.
    return request.target is None or not path.places.is_queue_short(request.target.identity)


def _is_rerouting(error: MedlarpassError) -> bool:
    if isinstance(error, ServerRefusedError):
        return error.refusal in REROUTING
    return isinstance(error, KeyMovedError | OwnerChangedError)
