"""Forwards responses to callers."""

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

    from medlarpass_daemon.entry.callers.attempt_result import AttemptResult
    from medlarpass_daemon.entry.callers.caller_request import CallerRequest
    from medlarpass_daemon.entry.callers.request_context import RequestContext

#: Value of SO_LINGER with a linger time of 0, so that closing the socket sends a TCP reset.
NO_LINGER = struct.pack("ii", 1, 0)


async def relay(
    context: RequestContext, request: CallerRequest, attempt_result: AttemptResult
) -> web.StreamResponse:
    """Forward a response to the caller, streaming the part that has not arrived yet.

    If the body is truncated, the caller's connection is aborted, so that the caller does not take
    the part for the complete body.
    """
    response = response_for(context, request, attempt_result)
    if attempt_result.response.is_complete:
        attempt_result.permit.finished(attempt_result.response.status)
        return response
    try:
        async with asyncio.timeout(max(request.remaining, 0)):
            await _stream(context, request, attempt_result, response)
    except (MedlarpassError, TimeoutError) as error:
        _abort_response(request, attempt_result, error)
    except BaseException:
        attempt_result.response.close()
        attempt_result.permit.cancelled()
        raise
    else:
        attempt_result.permit.finished(attempt_result.response.status)
    return response


def response_for(
    context: RequestContext, request: CallerRequest, attempt_result: AttemptResult
) -> web.StreamResponse:
    """Return the response to the caller, with its body if the server's response is complete."""
    server_response = attempt_result.response
    headers = context.dialect.response_headers(server_response.headers, request.request_id)
    if server_response.is_complete and attempt_result.body_start:
        return web.Response(
            status=server_response.status,
            reason=server_response.http_response.reason,
            headers=headers,
            body=attempt_result.body_start,
        )
    return web.StreamResponse(
        status=server_response.status, reason=server_response.http_response.reason, headers=headers
    )


async def _stream(
    context: RequestContext,
    request: CallerRequest,
    attempt_result: AttemptResult,
    response: web.StreamResponse,
) -> None:
    if context.is_draining:
        response.force_close()
    await _write_to_caller(request, response.prepare(request.web))
    if attempt_result.body_start:
        await _write_to_caller(request, response.write(attempt_result.body_start))
    async for chunk in attempt_result.response.chunks():
        await _write_to_caller(request, response.write(chunk))
    await _write_to_caller(request, response.write_eof())


async def _write_to_caller(request: CallerRequest, write: Coroutine[Any, Any, object]) -> None:
    if request.is_caller_gone:
        write.close()
        return
    try:
        await write
    except ConnectionError:
        request.is_caller_gone = True
        if not request.reads_full_response:
            raise


def _abort_response(
    request: CallerRequest, attempt_result: AttemptResult, error: Exception
) -> None:
    attempt_result.response.close()
    if isinstance(error, MedlarpassError):
        attempt_result.permit.failed(error)
    else:
        attempt_result.permit.failed(
            DeadlineOutcomeUnknownError("the deadline passed while the response was streamed")
        )
    request.is_truncated = True
    ANSWER_ABORTED.log(
        route=request.route.name, request_id=request.request_id, error=type(error).__name__
    )
    _reset_connection(request.web.transport)


def _reset_connection(transport: asyncio.Transport | None) -> None:
    """End a connection with a TCP reset.

    A regular close would look like the end of a body without a length, which HTTP/1.0 callers
    receive.
    """
    if transport is None:
        return
    connection = transport.get_extra_info("socket")
    if connection is not None:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    transport.abort()
