"""Handler of downloads: idempotent requests with large responses."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass_daemon.entry.callers.attempts import send_with_retries
from medlarpass_daemon.entry.callers.caller_request import DownloadRequest
from medlarpass_daemon.entry.callers.flow import handle
from medlarpass_daemon.entry.callers.relay import relay

if TYPE_CHECKING:
    from aiohttp import web

    from medlarpass_daemon.entry.callers.request_context import RequestContext

#: Bytes read before the response counts as received; an attempt can be repeated until the first
#: byte is sent to the caller.
MIN_PREFETCH_BYTES = 1


@handle.register(DownloadRequest)
async def _(request: DownloadRequest, context: RequestContext) -> web.StreamResponse:
    state = await context.admission.admit(request.route, request.deadline)
    try:
        length = request.body.length
        if length is not None and length <= context.settings.buffer:
            # A buffered body can be sent again to another server.
            await request.body.buffer(request.remaining)
        attempt_result = await send_with_retries(
            context, request, state, prefetch=MIN_PREFETCH_BYTES
        )
        return await relay(context, request, attempt_result)
    finally:
        request.body.release()
        context.admission.release(state)
