"""Calls that show what places and failure domains report."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from medlarpass_daemon.control.operators.answers import domain_document
from medlarpass_daemon.control.operators.answers import grant_document
from medlarpass_daemon.control.operators.answers import in_force_document
from medlarpass_daemon.control.operators.answers import server_documents
from medlarpass_daemon.control.operators.query import Query

if TYPE_CHECKING:
    from medlarpass_daemon.control.operators.interfaces import ControlBackend


class ReportCalls:
    """``/v1/in-force``, ``/v1/servers``, ``/v1/grants`` and ``/v1/domains``.

    :param backend: replicated log with the reports
    """

    def __init__(self, backend: ControlBackend) -> None:
        self.backend = backend

    def add_to(self, router: web.UrlDispatcher) -> None:
        """Add the calls to a router."""
        router.add_get("/v1/in-force", self.in_force)
        router.add_get("/v1/servers", self.servers)
        router.add_get("/v1/grants", self.grants)
        router.add_get("/v1/domains", self.domains)

    async def in_force(self, request: web.Request) -> web.Response:
        """Return the revision in force at each place, beside the accepted one."""
        query = Query(request, "stale")
        state = await self.backend.read_state(stale=query.flag("stale"))
        places = sorted(self.backend.in_force(), key=lambda report: (report.domain, report.place))
        return web.json_response(
            {
                "revision": state.tables.revision,
                "places": [in_force_document(report) for report in places],
            }
        )

    async def servers(self, request: web.Request) -> web.Response:
        """Return the servers that the failure domains report."""
        Query(request)
        reports = await self.backend.domain_reports()
        state = await self.backend.read_state(stale=True)
        return web.json_response({"servers": server_documents(reports, state.tables.drained)})

    async def grants(self, request: web.Request) -> web.Response:
        """Return the owners of shards and hot keys, of one pool or server when asked."""
        query = Query(request, "pool", "server")
        pool = query.text("pool")
        server = query.text("server")
        reports = await self.backend.domain_reports()
        grants = [
            grant_document(report.domain, grant)
            for report in reports
            for grant in report.grants
            if pool in (None, grant.pool) and server in (None, grant.server)
        ]
        return web.json_response({"grants": grants})

    async def domains(self, request: web.Request) -> web.Response:
        """Return a summary of each failure domain."""
        Query(request)
        reports = await self.backend.domain_reports()
        return web.json_response({"domains": [domain_document(report) for report in reports]})
