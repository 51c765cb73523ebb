"""Flow of downloads: idempotent requests with long answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass_daemon.entry.callers.attempts import first_answer
from medlarpass_daemon.entry.callers.caller_request import DownloadRequest
from medlarpass_daemon.entry.callers.flow import handle
from medlarpass_daemon.entry.callers.relay import relay

if TYPE_CHECKING:
    from aiohttp import web

    from medlarpass_daemon.entry.callers.request_path import RequestPath

#: Bytes read before the answer counts as received: an attempt can be repeated until the first
#: byte goes to the caller.
FIRST_BYTE = 1


@handle.register(DownloadRequest)
async def _(request: DownloadRequest, path: RequestPath) -> web.StreamResponse:
    state = await path.admission.enter(request.route, request.deadline)
    try:
        length = request.body.length
        if length is not None and length <= path.settings.buffer:
            # A body that is held can be sent again to another server.
            await request.body.hold(request.remaining)
        delivery = await first_answer(path, request, state, prefetch=FIRST_BYTE)
        return await relay(path, request, delivery)
    finally:
        path.admission.leave(state)
