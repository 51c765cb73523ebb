"""Dispatch of requests to the handler of their class."""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from aiohttp import web

    from medlarpass_daemon.entry.callers.caller_request import CallerRequest
    from medlarpass_daemon.entry.callers.request_context import RequestContext


@singledispatch
async def handle(request: CallerRequest, context: RequestContext) -> web.StreamResponse:
    """Handle a request and return the response to the caller.

    :raises MedlarpassError: when there is no response to forward
    """
    raise NotImplementedError(type(request).__name__)
