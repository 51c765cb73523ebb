"""Request handlers for the membership of the replication group."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from medlarpass_daemon.control.operators.body import EMPTY_SCHEMA
from medlarpass_daemon.control.operators.body import REPLICA_SCHEMA
from medlarpass_daemon.control.operators.body import read_body
from medlarpass_daemon.control.operators.body import validate_replica_identity
from medlarpass_daemon.control.operators.body import validate_text
from medlarpass_daemon.control.operators.query import Query
from medlarpass_daemon.control.operators.responses import replica_document

if TYPE_CHECKING:
    from medlarpass_daemon.control.operators.interfaces import ControlBackend
    from medlarpass_daemon.control.operators.proposer import Proposer


class ReplicaHandlers:
    """Handles ``/v1/replicas``.

    :param backend: access to the replicated log
    :param proposer: records the changes in the audit trail
    """

    def __init__(self, backend: ControlBackend, proposer: Proposer) -> None:
        self.backend = backend
        self.proposer = proposer

    def register(self, router: web.UrlDispatcher) -> None:
        """Register the handlers with a router."""
        router.add_get("/v1/replicas", self.list_replicas)
        router.add_post("/v1/replicas", self.add)
        router.add_put("/v1/replicas/{identity}", self.replace)
        router.add_delete("/v1/replicas/{identity}", self.remove)

    async def list_replicas(self, request: web.Request) -> web.Response:
        """Return the members of the replication group."""
        Query(request)
        replicas = [replica_document(replica) for replica in self.backend.replicas()]
        return web.json_response({"replicas": replicas})

    async def add(self, request: web.Request) -> web.Response:
        """Add a replica as a learner."""
        body = await read_body(request, REPLICA_SCHEMA)
        member = (body["name"], body["domain"], body["address"])
        summary = f"add replica {' '.join(member)}"
        change = self.backend.add_replica(*member)
        await self.proposer.run_audited(request, body["change_id"], summary, change)
        return _accepted_response(body["change_id"])

    async def replace(self, request: web.Request) -> web.Response:
        """Replace a replica by a new one with another identity."""
        identity = validate_text(
            validate_replica_identity, "identity", request.match_info["identity"]
        )
        body = await read_body(request, REPLICA_SCHEMA)
        member = (body["name"], body["domain"], body["address"])
        summary = f"replace replica {identity} by {' '.join(member)}"
        change = self.backend.replace_replica(identity, *member)
        await self.proposer.run_audited(request, body["change_id"], summary, change)
        return _accepted_response(body["change_id"])

    async def remove(self, request: web.Request) -> web.Response:
        """Remove a replica."""
        identity = validate_text(
            validate_replica_identity, "identity", request.match_info["identity"]
        )
        body = await read_body(request, EMPTY_SCHEMA)
        summary = f"remove replica {identity}"
        change = self.backend.remove_replica(identity)
        await self.proposer.run_audited(request, body["change_id"], summary, change)
        return _accepted_response(body["change_id"])


def _accepted_response(change_id: str) -> web.Response:
    return web.json_response({"change_id": change_id, "status": "accepted"})
