"""Request handlers that evacuate failure domains."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from medlarpass_daemon.control.operators.body import EMPTY_SCHEMA
from medlarpass_daemon.control.operators.body import read_body
from medlarpass_daemon.control.operators.body import validate_domain
from medlarpass_daemon.control.operators.body import validate_text
from medlarpass_daemon.control.operators.exceptions import EvacuationNotSupportedError
from medlarpass_daemon.control.operators.query import Query

if TYPE_CHECKING:
    from medlarpass_daemon.control.operators.interfaces import ControlBackend
    from medlarpass_daemon.control.operators.proposer import Proposer
    from medlarpass_daemon.settings import DaemonSettings


class EvacuationHandlers:
    """Handles ``/v1/evacuations``.

    :param settings: settings of the process
    :param backend: access to the replicated log
    :param proposer: proposes commands for changes
    """

    def __init__(
        self, settings: DaemonSettings, backend: ControlBackend, proposer: Proposer
    ) -> None:
        self.settings = settings
        self.backend = backend
        self.proposer = proposer

    def register(self, router: web.UrlDispatcher) -> None:
        """Register the handlers with a router."""
        router.add_get("/v1/evacuations", self.list_evacuations)
        router.add_put("/v1/evacuations/{domain}", self.evacuate)
        router.add_delete("/v1/evacuations/{domain}", self.end_evacuation)

    async def list_evacuations(self, request: web.Request) -> web.Response:
        """Return the evacuated domains."""
        query = Query(request, "stale")
        state = await self.backend.read_state(stale=query.flag("stale"))
        return web.json_response({"domains": sorted(state.tables.evacuated_domains)})

    async def evacuate(self, request: web.Request) -> web.Response:
        """Evacuate a domain, which need not have servers yet."""
        return await self._set_evacuation(request, evacuated=True)

    async def end_evacuation(self, request: web.Request) -> web.Response:
        """End the evacuation of a domain."""
        return await self._set_evacuation(request, evacuated=False)

    async def _set_evacuation(self, request: web.Request, evacuated: bool) -> web.Response:
        domain = validate_text(validate_domain, "domain", request.match_info["domain"])
        body = await read_body(request, EMPTY_SCHEMA)
        if self.settings.fleet is None:
            raise EvacuationNotSupportedError("only control that discovers servers evacuates them")
        return await self.proposer.set_evacuation(request, body["change_id"], domain, evacuated)
