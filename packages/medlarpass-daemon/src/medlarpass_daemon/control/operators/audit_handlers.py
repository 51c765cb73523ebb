"""Request handler for the audit trail."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from medlarpass_daemon.control.operators.query import Query
from medlarpass_daemon.control.operators.responses import audit_document

if TYPE_CHECKING:
    from medlarpass_daemon.control.operators.interfaces import ControlBackend

DEFAULT_PAGE_RECORD_COUNT = 100
MAX_PAGE_RECORD_COUNT = 1_000


class AuditHandlers:
    """Handles ``/v1/audit``.

    :param backend: access to the replicated log
    """

    def __init__(self, backend: ControlBackend) -> None:
        self.backend = backend

    def register(self, router: web.UrlDispatcher) -> None:
        """Register the handler with a router."""
        router.add_get("/v1/audit", self.list_records)

    async def list_records(self, request: web.Request) -> web.Response:
        """Return audit records after a number, oldest first.

        ``next`` is the value of ``after`` for the next page. ``oldest`` is the number of the oldest
        record still stored, so that a client can detect records that it has missed.
        """
        query = Query(request, "after", "limit", "stale")
        after = query.number("after", 0, 0)
        limit = query.number("limit", DEFAULT_PAGE_RECORD_COUNT, 1, MAX_PAGE_RECORD_COUNT)
        state = await self.backend.read_state(stale=query.flag("stale"))
        audit = state.tables.audit
        records = audit.since(after, limit)
        return web.json_response(
            {
                "records": [audit_document(record) for record in records],
                "next": records[-1].number if records else after,
                "oldest": audit.records[0].number if audit.records else None,
                "count": audit.count,
            }
        )
