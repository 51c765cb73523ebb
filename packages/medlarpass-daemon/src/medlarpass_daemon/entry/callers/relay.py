"""Passes answers on to callers."""

from __future__ import annotations

import asyncio
import socket
import struct

from typing import TYPE_CHECKING
from typing import Any

from aiohttp import web

from medlarpass import MedlarpassError
from medlarpass_daemon.entry.callers.events import ANSWER_ABORTED
from medlarpass_daemon.entry.callers.exceptions import DeadlineOutcomeUnknownError

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from medlarpass_daemon.entry.callers.caller_request import CallerRequest
    from medlarpass_daemon.entry.callers.delivery import Delivery
    from medlarpass_daemon.entry.callers.request_path import RequestPath

NO_LINGER = struct.pack("ii", 1, 0)


async def relay(
    path: RequestPath, request: CallerRequest, delivery: Delivery
) -> web.StreamResponse:
    """Pass an answer to the caller, streaming what has not arrived yet.

    When the body breaks off, the caller's connection is aborted, so that the part is not taken
    for the whole.
    """
    response = response_for(path, request, delivery)
    if delivery.answer.is_complete:
        delivery.place.finished(delivery.answer.status)
        return response
    try:
        async with asyncio.timeout(max(request.remaining, 0)):
            await _stream(path, request, delivery, response)
    except (MedlarpassError, TimeoutError) as error:
        _abort(request, delivery, error)
    except BaseException:
        delivery.answer.close()
        delivery.place.dropped()
        raise
    else:
        delivery.place.finished(delivery.answer.status)
    return response


def response_for(
    path: RequestPath, request: CallerRequest, delivery: Delivery
) -> web.StreamResponse:
    """Return the response to the caller; it has its body if the answer is complete."""
    answer = delivery.answer
    passed = path.dialect.to_caller(answer.headers, request.request_id)
    if answer.is_complete and delivery.data:
        return web.Response(
            status=answer.status,
            reason=answer.response.reason,
            headers=passed,
            body=delivery.data,
        )
    return web.StreamResponse(status=answer.status, reason=answer.response.reason, headers=passed)


async def _stream(
    path: RequestPath, request: CallerRequest, delivery: Delivery, response: web.StreamResponse
) -> None:
    if path.is_draining:
        response.force_close()
    await _to_caller(request, response.prepare(request.web))
    if delivery.data:
        await _to_caller(request, response.write(delivery.data))
    async for chunk in delivery.answer.chunks():
        await _to_caller(request, response.write(chunk))
    await _to_caller(request, response.write_eof())


async def _to_caller(request: CallerRequest, write: Coroutine[Any, Any, object]) -> None:
    if request.is_gone:
        write.close()
        return
    try:
        await write
    except ConnectionError:
        request.is_gone = True
        if not request.reads_to_end:
            raise


def _abort(request: CallerRequest, delivery: Delivery, error: Exception) -> None:
    delivery.answer.close()
    if isinstance(error, MedlarpassError):
        delivery.place.failed(error)
    else:
        delivery.place.failed(DeadlineOutcomeUnknownError("the deadline passed in the answer"))
    request.is_cut = True
    ANSWER_ABORTED.log(
        route=request.route.name, request_id=request.request_id, error=type(error).__name__
    )
    _reset(request.web.transport)


def _reset(transport: asyncio.Transport | None) -> None:
    """End a connection with a reset.

    Closing it would look like the regular end of a body that has no length, as HTTP/1.0 callers
    get it.
    """
    if transport is None:
        return
    connection = transport.get_extra_info("socket")
    if connection is not None:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    transport.abort()
