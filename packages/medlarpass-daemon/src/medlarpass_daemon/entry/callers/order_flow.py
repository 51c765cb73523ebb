"""Handler of orders: requests that run at most once."""

from __future__ import annotations

import asyncio
import hashlib
import uuid

from functools import singledispatch
from typing import TYPE_CHECKING

from aiohttp import web
from multidict import CIMultiDict

from medlarpass import MedlarpassError
from medlarpass import Outcome
from medlarpass.ledger import MAX_STORED_BODY_BYTES
from medlarpass.ledger import AnswerNotStoredError
from medlarpass.ledger import IdempotencyKeyConflictError
from medlarpass.ledger import LedgerUnavailableError
from medlarpass.ledger import OrderInProgressError
from medlarpass.rpc import control_pb2
from medlarpass_daemon.entry.callers import headers
from medlarpass_daemon.entry.callers.attempts import send_with_retries
from medlarpass_daemon.entry.callers.caller_request import OrderRequest
from medlarpass_daemon.entry.callers.caller_request import UploadRequest
from medlarpass_daemon.entry.callers.flow import handle
from medlarpass_daemon.entry.callers.relay import relay

if TYPE_CHECKING:
    from medlarpass_daemon.entry.callers.attempt_result import AttemptResult
    from medlarpass_daemon.entry.callers.request_context import RequestContext
    from medlarpass_daemon.entry.callers.route_state import RouteState

#: Maximum size of the response headers that are recorded; bounds the growth of the control log.
MAX_STORED_HEADERS_BYTES = 16 * 1024


@handle.register(OrderRequest)
async def _(request: OrderRequest, context: RequestContext) -> web.StreamResponse:
    """Run the order in its own task, which continues when the caller disconnects.

    An order that may have run must not be cancelled before its outcome is recorded.
    """
    task = asyncio.get_running_loop().create_task(_run_order(request, context))
    context.order_tasks.add(task)
    task.add_done_callback(context.order_tasks.discard)
    task.add_done_callback(_retrieve_exception)
    try:
        return await asyncio.shield(task)
    except asyncio.CancelledError:
        request.is_caller_gone = True
        raise


def _retrieve_exception(task: asyncio.Task[web.StreamResponse]) -> None:
    """Retrieve the exception of an order whose caller disconnected, as nothing awaits the task."""
    if not task.cancelled():
        task.exception()


async def _run_order(request: OrderRequest, context: RequestContext) -> web.StreamResponse:
    key = context.dialect.idempotency_key_of(request.web.headers)
    # Until the ledger has responded, an earlier request with the same key may have run the order.
    request.may_have_run = key is not None
    state = await context.admission.admit(request.route, request.deadline)
    try:
        # A body that can't be buffered can't have been accepted by an earlier request either.
        request.may_have_run = False
        await _buffer_body(request, context)
        if key is None:
            attempt_result = await send_with_retries(
                context, request, state, prefetch=MAX_STORED_BODY_BYTES + 1
            )
            return await relay(context, request, attempt_result)
        return await _run_claimed(request, context, state, key)
    finally:
        request.body.release()
        context.admission.release(state)


@singledispatch
async def _buffer_body(request: OrderRequest, context: RequestContext) -> None:
    """Buffer the body, so that the order can be sent to another server after a refusal."""
    await request.body.buffer(request.remaining)


@_buffer_body.register(UploadRequest)
async def _(request: UploadRequest, context: RequestContext) -> None:
    # The claim of an order with a key contains the digest of its whole body.
    has_key = context.dialect.idempotency_key_of(request.web.headers) is not None
    max_bytes = None if has_key else context.settings.upload_held
    await request.body.buffer(request.remaining, max_bytes)


async def _run_claimed(
    request: OrderRequest, context: RequestContext, state: RouteState, key: str
) -> web.StreamResponse:
    attempt = uuid.uuid4().hex
    request.may_have_run = True
    result = await _claim(request, context, key, attempt)
    request.may_have_run = False
    if result.status != control_pb2.CLAIM_STATUS_CLAIMED:
        return _replay_response(request, result)
    route = request.route.name
    try:
        attempt_result = await send_with_retries(
            context, request, state, prefetch=MAX_STORED_BODY_BYTES + 1
        )
    except MedlarpassError as error:
        if error.outcome is Outcome.NOT_RUN and not request.may_have_run:
            await context.claim_recorder.release(route, key, attempt)
        raise
    if attempt_result.response.is_complete:
        await context.claim_recorder.complete(
            route, key, attempt, _to_recorded_answer(attempt_result, attempt_result.body_start)
        )
        return await relay(context, request, attempt_result)
    response = await relay(context, request, attempt_result)
    if attempt_result.response.is_complete:
        await context.claim_recorder.complete(
            route, key, attempt, _to_recorded_answer(attempt_result, None)
        )
    return response


async def _claim(
    request: OrderRequest, context: RequestContext, key: str, attempt: str
) -> control_pb2.ClaimResult:
    route = request.route.name
    request.check_caller_connected()
    try:
        return await context.claims.claim(route, key, digest_of(request), attempt, request.deadline)
    except Exception as error:
        # The claim may have been accepted nevertheless. The release may take as long as control is
        # unreachable, so the caller does not wait for it.
        context.claim_recorder.release_later(route, key, attempt)
        if isinstance(error, LedgerUnavailableError):
            raise
        raise LedgerUnavailableError("the claim of the order could not be confirmed") from error


def _replay_response(request: OrderRequest, result: control_pb2.ClaimResult) -> web.Response:
    if result.status == control_pb2.CLAIM_STATUS_CONFLICT:
        raise IdempotencyKeyConflictError("the idempotency key was used for another order")
    if result.status != control_pb2.CLAIM_STATUS_RECORDED:
        raise OrderInProgressError("an earlier attempt of the order has no recorded outcome")
    if result.answer.body_omitted:
        raise AnswerNotStoredError("the order ran, but its response was too large to be stored")
    stored: CIMultiDict[str] = CIMultiDict()
    for header in result.answer.headers:
        stored.add(header.name, header.value)
    stored[headers.REQUEST_ID] = request.request_id
    stored[headers.REPLAYED] = "true"
    return web.Response(status=result.answer.status, headers=stored, body=result.answer.body)


def _to_recorded_answer(
    attempt_result: AttemptResult, body: bytes | None
) -> control_pb2.RecordedAnswer:
    """Return the record of a response for the ledger.

    :param body: the complete body, None when it is too large to be stored
    """
    end_to_end_headers = headers.end_to_end(attempt_result.response.headers)
    size = sum(len(name) + len(value) for name, value in end_to_end_headers.items())
    if body is None or len(body) > MAX_STORED_BODY_BYTES or size > MAX_STORED_HEADERS_BYTES:
        return control_pb2.RecordedAnswer(status=attempt_result.response.status, body_omitted=True)
    return control_pb2.RecordedAnswer(
        status=attempt_result.response.status,
        headers=[
            control_pb2.Header(name=name, value=value) for name, value in end_to_end_headers.items()
        ],
        body=body,
    )


def digest_of(request: OrderRequest) -> bytes:
    """Return the digest of method, path, query and body."""
    digest = hashlib.sha256()
    for part in (request.web.method.encode(), request.path.encode(), request.body.data or b""):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()
