"""JSON responses of the operators' API."""

from __future__ import annotations

import json

from typing import TYPE_CHECKING
from typing import Any

from aiohttp import web

from medlarpass.rpc import control_pb2
from medlarpass.tables import AmbiguousRouteError
from medlarpass.tables import ChangeIdReusedError
from medlarpass.tables import InvalidDocumentError
from medlarpass.tables import MissingPoolError
from medlarpass.tables import PoolInUseError
from medlarpass.tables import PoolNotOwnedError
from medlarpass.tables import PoolShapeFixedError
from medlarpass.tables import TableError
from medlarpass.tables import VersionConflictError

if TYPE_CHECKING:
    from collections.abc import Sequence

    from medlarpass import MedlarpassError
    from medlarpass.rpc import state_pb2
    from medlarpass_daemon.control.operators.in_force import InForce
    from medlarpass_daemon.control.operators.replica_status import ReplicaStatus

OUTCOME_HEADER = "Medlarpass-Outcome"
KIND_NAMES = {
    control_pb2.ITEM_KIND_ROUTE: "route",
    control_pb2.ITEM_KIND_POOL: "pool",
}
ERROR_CLASSES_BY_CODE: dict[str, type[TableError]] = {
    error.code: error
    for error in (
        AmbiguousRouteError,
        ChangeIdReusedError,
        InvalidDocumentError,
        MissingPoolError,
        PoolInUseError,
        PoolNotOwnedError,
        PoolShapeFixedError,
        VersionConflictError,
    )
}


def error_response(error: MedlarpassError, request_id: str) -> web.Response:
    """Return the response for an error."""
    return _json_error(
        error.http_status,
        {
            "code": error.code,
            "message": error.message,
            "request_id": request_id,
            "outcome": error.outcome.value,
        },
    )


def change_response(
    change_id: str, result: control_pb2.ChangeResult, request_id: str
) -> web.Response:
    """Return the response for the result of a change; a refusal lists the current items."""
    current = [item_document(item) for item in result.current]
    if result.status == control_pb2.CHANGE_STATUS_ACCEPTED:
        return web.json_response(
            {
                "change_id": change_id,
                "status": "accepted",
                "revision": result.revision,
                "items": current,
            }
        )
    error = ERROR_CLASSES_BY_CODE.get(result.code, TableError)
    return _json_error(
        error.http_status,
        {
            "code": result.code,
            "message": result.message,
            "request_id": request_id,
            "outcome": error.outcome.value,
            "change_id": change_id,
            "revision": result.revision,
            "items": current,
        },
    )


def item_document(item: control_pb2.ConfigurationItem) -> dict[str, Any]:
    """Return a route or pool as a JSON object."""
    return {
        "kind": KIND_NAMES[item.kind],
        "name": item.name,
        "version": item.version,
        "document": json.loads(item.document),
    }


def in_force_document(report: InForce) -> dict[str, Any]:
    """Return the configuration revision that a process has in force as a JSON object."""
    return {
        "place": report.place,
        "domain": report.domain,
        "revision": report.revision,
        "age_ms": report.age_ms,
    }


def server_document(server: control_pb2.ServerStatus, drained: bool) -> dict[str, Any]:
    """Return a server, as reported by its failure domain, as a JSON object."""
    return {
        "identity": server.identity,
        "incarnation": server.incarnation,
        "domain": server.domain,
        "ip": server.ip,
        "port": server.port,
        "pools": list(server.pools),
        "slots": server.slots,
        "connections": server.connections,
        "checks_fences": server.checks_fences,
        "state": server.state,
        "in_flight": server.in_flight,
        "age_ms": server.age_ms,
        "session_remaining_ms": server.session_remaining_ms,
        "holds_session": server.holds_session,
        "drained": drained,
    }


def grant_document(domain: str, grant: control_pb2.GrantStatus) -> dict[str, Any]:
    """Return a grant as a JSON object.

    The fence is a hexadecimal string, because JSON numbers can't represent all 64-bit integers.
    """
    return {
        "domain": domain,
        "pool": grant.pool,
        "shard": grant.shard,
        "key": grant.key or None,
        "server": grant.server,
        "incarnation": grant.incarnation,
        "fence": f"{grant.fence:016x}",
    }


def domain_document(report: control_pb2.DomainReport) -> dict[str, Any]:
    """Return the summary of a failure domain as a JSON object."""
    return {
        "domain": report.domain,
        "coordinator": report.coordinator,
        "ballot": report.ballot,
        "needs_new_epochs": report.needs_new_epochs,
        "servers": len(report.servers),
        "grants": len(report.grants),
        "loads": [
            {
                "pool": load.pool,
                "ready_servers": load.ready_servers,
                "ready_slots": load.ready_slots,
                "requests_per_second": load.requests_per_second,
            }
            for load in report.loads
        ],
    }


def replica_document(replica: ReplicaStatus) -> dict[str, Any]:
    """Return a replica as a JSON object; ``status`` is null when it did not respond."""
    status = replica.status
    return {
        "identity": replica.identity,
        "name": replica.name,
        "domain": replica.domain,
        "address": replica.address,
        "voter": replica.voter,
        "status": None if status is None else _status_document(status),
    }


def audit_document(record: state_pb2.AuditEntry) -> dict[str, Any]:
    """Return an audit record as a JSON object; ``before`` and ``after`` are null when empty."""
    return {
        "number": record.number,
        "time_ms": record.time_ms,
        "change_id": record.change_id,
        "author": record.author,
        "source": record.source,
        "action": record.action,
        "before": record.before or None,
        "after": record.after or None,
        "outcome": record.outcome,
        "revision": record.revision,
    }


def server_documents(
    reports: Sequence[control_pb2.DomainReport], drained: set[str]
) -> list[dict[str, Any]]:
    """Return the servers of all failure domains as JSON objects."""
    return [
        server_document(server, server.identity in drained)
        for report in reports
        for server in report.servers
    ]


def _status_document(status: control_pb2.StatusResponse) -> dict[str, Any]:
    return {
        "role": status.role,
        "term": status.term,
        "commit_index": status.commit_index,
        "last_index": status.last_index,
        "leader": status.leader,
    }


def _json_error(status: int, document: dict[str, Any]) -> web.Response:
    return web.json_response(
        document, status=status, headers={OUTCOME_HEADER: str(document["outcome"])}
    )
