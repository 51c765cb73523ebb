"""Flow of orders: requests that run at most once."""

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
from medlarpass_daemon.entry.callers.attempts import first_answer
from medlarpass_daemon.entry.callers.caller_request import OrderRequest
from medlarpass_daemon.entry.callers.caller_request import UploadRequest
from medlarpass_daemon.entry.callers.flow import handle
from medlarpass_daemon.entry.callers.relay import relay

if TYPE_CHECKING:
    from medlarpass_daemon.entry.callers.delivery import Delivery
    from medlarpass_daemon.entry.callers.request_path import RequestPath
    from medlarpass_daemon.entry.callers.route_state import RouteState

#: Bytes of an answer's headers that are stored; more would swell the control log.
MAX_STORED_HEADERS = 16 * 1024


@handle.register(OrderRequest)
async def _(request: OrderRequest, path: RequestPath) -> web.StreamResponse:
    """Run the order in its own task, which goes on when the caller is gone.

    An order that may have run must not be cancelled before its outcome is stored.
    """
    task = asyncio.get_running_loop().create_task(_run(request, path))
    path.orders.add(task)
    task.add_done_callback(path.orders.discard)
    task.add_done_callback(_take_error)
    try:
        return await asyncio.shield(task)
    except asyncio.CancelledError:
        request.is_gone = True
        raise


def _take_error(task: asyncio.Task[web.StreamResponse]) -> None:
    """Take the error of an order whose caller is gone; nobody else asks for it."""
    if not task.cancelled():
        task.exception()


async def _run(request: OrderRequest, path: RequestPath) -> web.StreamResponse:
    key = path.dialect.idempotency_key_of(request.web.headers)
    # Until the ledger has answered, an earlier request with the same key may have run the order.
    request.may_have_run = key is not None
    state = await path.admission.enter(request.route, request.deadline)
    try:
        # A body that can't be held was no order before either.
        request.may_have_run = False
        await _receive(request, path)
        if key is None:
            delivery = await first_answer(path, request, state, prefetch=MAX_STORED_BODY_BYTES + 1)
            return await relay(path, request, delivery)
        return await _run_claimed(request, path, state, key)
    finally:
        path.admission.leave(state)


@singledispatch
async def _receive(request: OrderRequest, path: RequestPath) -> None:
    """Read the body as far as it is held; a held order can go to another server after a refusal."""
    await request.body.hold(request.remaining)


@_receive.register(UploadRequest)
async def _(request: UploadRequest, path: RequestPath) -> None:
    # The claim of an order with a key contains the digest of its whole body.
    has_key = path.dialect.idempotency_key_of(request.web.headers) is not None
    most = None if has_key else path.settings.upload_held
    await request.body.hold(request.remaining, most)


async def _run_claimed(
    request: OrderRequest, path: RequestPath, state: RouteState, key: str
) -> web.StreamResponse:
    attempt = uuid.uuid4().hex
    request.may_have_run = True
    result = await _claim(request, path, key, attempt)
    request.may_have_run = False
    if result.status != control_pb2.CLAIM_STATUS_CLAIMED:
        return _repeated(request, result)
    route = request.route.name
    try:
        delivery = await first_answer(path, request, state, prefetch=MAX_STORED_BODY_BYTES + 1)
    except MedlarpassError as error:
        if error.outcome is Outcome.NOT_RUN and not request.may_have_run:
            await path.recorder.release(route, key, attempt)
        raise
    if delivery.answer.is_complete:
        await path.recorder.complete(route, key, attempt, _record_of(delivery, delivery.data))
        return await relay(path, request, delivery)
    response = await relay(path, request, delivery)
    if delivery.answer.is_complete:
        await path.recorder.complete(route, key, attempt, _record_of(delivery, None))
    return response


async def _claim(
    request: OrderRequest, path: RequestPath, key: str, attempt: str
) -> control_pb2.ClaimResult:
    route = request.route.name
    request.check_caller()
    try:
        return await path.claims.claim(route, key, digest_of(request), attempt, request.deadline)
    except Exception as error:
        # The claim may have been accepted all the same. The release may take as long as control
        # is away, so the caller does not wait for it.
        path.recorder.release_later(route, key, attempt)
        if isinstance(error, LedgerUnavailableError):
            raise
        raise LedgerUnavailableError("the claim of the order could not be confirmed") from error


def _repeated(request: OrderRequest, result: control_pb2.ClaimResult) -> web.Response:
    if result.status == control_pb2.CLAIM_STATUS_CONFLICT:
        raise IdempotencyKeyConflictError("the idempotency key was used for another order")
    if result.status != control_pb2.CLAIM_STATUS_RECORDED:
        raise OrderInProgressError("an earlier attempt of the order has no recorded outcome")
    if result.answer.body_omitted:
        raise AnswerNotStoredError("the order ran; its answer was too large to be stored")
    stored: CIMultiDict[str] = CIMultiDict()
    for header in result.answer.headers:
        stored.add(header.name, header.value)
    stored[headers.REQUEST_ID] = request.request_id
    stored[headers.REPLAYED] = "true"
    return web.Response(status=result.answer.status, headers=stored, body=result.answer.body)


def _record_of(delivery: Delivery, body: bytes | None) -> control_pb2.RecordedAnswer:
    """Return the record of an answer.

    :param body: the whole body, None when it is too large to be stored
    """
    passed = headers.end_to_end(delivery.answer.headers)
    size = sum(len(name) + len(value) for name, value in passed.items())
    if body is None or len(body) > MAX_STORED_BODY_BYTES or size > MAX_STORED_HEADERS:
        return control_pb2.RecordedAnswer(status=delivery.answer.status, body_omitted=True)
    return control_pb2.RecordedAnswer(
        status=delivery.answer.status,
        headers=[control_pb2.Header(name=name, value=value) for name, value in passed.items()],
        body=body,
    )


def digest_of(request: OrderRequest) -> bytes:
    """Return the digest of method, path, query and body."""
    digest = hashlib.sha256()
    for part in (request.web.method.encode(), request.path.encode(), request.body.data or b""):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()
