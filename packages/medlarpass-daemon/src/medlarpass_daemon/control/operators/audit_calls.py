"""Call that shows the audit trail."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from medlarpass_daemon.control.operators.answers import audit_document
from medlarpass_daemon.control.operators.query import Query

if TYPE_CHECKING:
    from medlarpass_daemon.control.operators.interfaces import ControlBackend

DEFAULT_LIMIT = 100
MAX_LIMIT = 1_000


class AuditCalls:
    """``/v1/audit``.

    :param backend: replicated log
    """

    def __init__(self, backend: ControlBackend) -> None:
        self.backend = backend

    def add_to(self, router: web.UrlDispatcher) -> None:
        """Add the call to a router."""
        router.add_get("/v1/audit", self.list_records)

    async def list_records(self, request: web.Request) -> web.Response:
        """Return audit records after a number, oldest first.

        ``next`` is the ``after`` of the following page. ``oldest`` is the number of the oldest
        record that is kept, so that a reader sees which ones it has missed.
        """
        query = Query(request, "after", "limit", "stale")
        after = query.number("after", 0, 0)
        limit = query.number("limit", DEFAULT_LIMIT, 1, MAX_LIMIT)
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
