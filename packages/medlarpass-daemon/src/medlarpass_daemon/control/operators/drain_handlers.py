"""Request handlers that drain servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from medlarpass_daemon.control.operators.body import EMPTY_SCHEMA
from medlarpass_daemon.control.operators.body import read_body
from medlarpass_daemon.control.operators.body import validate_server_identity
from medlarpass_daemon.control.operators.body import validate_text
from medlarpass_daemon.control.operators.query import Query

if TYPE_CHECKING:
    from medlarpass_daemon.control.operators.interfaces import ControlBackend
    from medlarpass_daemon.control.operators.proposer import Proposer


class DrainHandlers:
    """Handles ``/v1/drains``.

    :param backend: access to the replicated log
    :param proposer: proposes commands for changes
    """

    def __init__(self, backend: ControlBackend, proposer: Proposer) -> None:
        self.backend = backend
        self.proposer = proposer

    def register(self, router: web.UrlDispatcher) -> None:
        """Register the handlers with a router."""
        router.add_get("/v1/drains", self.list_drains)
        router.add_put("/v1/drains/{server}", self.drain)
        router.add_delete("/v1/drains/{server}", self.undrain)

    async def list_drains(self, request: web.Request) -> web.Response:
        """Return the drained servers."""
        query = Query(request, "stale")
        state = await self.backend.read_state(stale=query.flag("stale"))
        return web.json_response({"servers": sorted(state.tables.drained)})

    async def drain(self, request: web.Request) -> web.Response:
        """Drain a server, which need not be registered yet."""
        return await self._set_drain(request, drained=True)

    async def undrain(self, request: web.Request) -> web.Response:
        """End the drain of a server."""
        return await self._set_drain(request, drained=False)

    async def _set_drain(self, request: web.Request, drained: bool) -> web.Response:
        server = validate_text(validate_server_identity, "server", request.match_info["server"])
        body = await read_body(request, EMPTY_SCHEMA)
        return await self.proposer.set_drain(request, body["change_id"], server, drained)
