"""Request handlers for the reports of processes and failure domains."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from medlarpass_daemon.control.operators.query import Query
from medlarpass_daemon.control.operators.responses import domain_document
from medlarpass_daemon.control.operators.responses import grant_document
from medlarpass_daemon.control.operators.responses import in_force_document
from medlarpass_daemon.control.operators.responses import server_documents

if TYPE_CHECKING:
    from medlarpass_daemon.control.operators.interfaces import ControlBackend


class ReportHandlers:
    """Handles ``/v1/in-force``, ``/v1/servers``, ``/v1/grants`` and ``/v1/domains``.

    :param backend: access to the replicated log and the reports
    """

    def __init__(self, backend: ControlBackend) -> None:
        self.backend = backend

    def register(self, router: web.UrlDispatcher) -> None:
        """Register the handlers with a router."""
        router.add_get("/v1/in-force", self.in_force)
        router.add_get("/v1/servers", self.servers)
        router.add_get("/v1/grants", self.grants)
        router.add_get("/v1/domains", self.domains)

    async def in_force(self, request: web.Request) -> web.Response:
        """Return the accepted revision and the one that each process has in force."""
        query = Query(request, "stale")
        state = await self.backend.read_state(stale=query.flag("stale"))
        reports = sorted(self.backend.in_force(), key=lambda report: (report.domain, report.place))
        return web.json_response(
            {
                "revision": state.tables.revision,
                "places": [in_force_document(report) for report in reports],
            }
        )

    async def servers(self, request: web.Request) -> web.Response:
        """Return the servers reported by the failure domains."""
        Query(request)
        reports = await self.backend.domain_reports()
        state = await self.backend.read_state(stale=True)
        return web.json_response({"servers": server_documents(reports, state.tables.drained)})

    async def grants(self, request: web.Request) -> web.Response:
        """Return the owners of shards and hot keys, optionally of one pool or server."""
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
