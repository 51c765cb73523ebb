"""Handler of enquiries: idempotent requests to the owner of a key."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass_daemon.entry.callers.attempts import send_with_retries
from medlarpass_daemon.entry.callers.caller_request import EnquiryRequest
from medlarpass_daemon.entry.callers.flow import handle
from medlarpass_daemon.entry.callers.relay import relay

if TYPE_CHECKING:
    from aiohttp import web

    from medlarpass_daemon.entry.callers.request_context import RequestContext


@handle.register(EnquiryRequest)
async def _(request: EnquiryRequest, context: RequestContext) -> web.StreamResponse:
    state = await context.admission.admit(request.route, request.deadline)
    try:
        length = request.body.length
        if length is not None and length <= context.settings.buffer:
            # A buffered body can be sent again to another server.
            await request.body.buffer(request.remaining)
        attempt_result = await send_with_retries(
            context, request, state, prefetch=context.settings.buffer
        )
        return await relay(context, request, attempt_result)
    finally:
        request.body.release()
        context.admission.release(state)
