"""Handling of a request by its class."""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from aiohttp import web

    from medlarpass_daemon.entry.callers.caller_request import CallerRequest
    from medlarpass_daemon.entry.callers.request_context import RequestContext


@singledispatch
async def handle(request: CallerRequest, context: RequestContext) -> web.StreamResponse:
    """Answer a request.

    :raises MedlarpassError: when there is no answer to pass on
    """
    raise NotImplementedError(type(request).__name__)
