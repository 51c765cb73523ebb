"""Flow of enquiries: idempotent requests to the owner of a key."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass_daemon.entry.callers.attempts import first_answer
from medlarpass_daemon.entry.callers.caller_request import EnquiryRequest
from medlarpass_daemon.entry.callers.flow import handle
from medlarpass_daemon.entry.callers.relay import relay

if TYPE_CHECKING:
    from aiohttp import web

    from medlarpass_daemon.entry.callers.request_path import RequestPath


@handle.register(EnquiryRequest)
async def _(request: EnquiryRequest, path: RequestPath) -> web.StreamResponse:
    state = await path.admission.enter(request.route, request.deadline)
    try:
        length = request.body.length
        if length is not None and length <= path.settings.buffer:
            # A body that is held can be sent again to another server.
            await request.body.hold(request.remaining)
        delivery = await first_answer(path, request, state, prefetch=path.settings.buffer)
        return await relay(path, request, delivery)
    finally:
        path.admission.leave(state)
