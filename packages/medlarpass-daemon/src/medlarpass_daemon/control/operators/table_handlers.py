"""Request handlers that read and change routes and pools."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from aiohttp import web

from medlarpass.rpc import control_pb2
from medlarpass_daemon.control.operators.body import CHANGES_SCHEMA
from medlarpass_daemon.control.operators.body import DELETE_SCHEMA
from medlarpass_daemon.control.operators.body import PUT_SCHEMA
from medlarpass_daemon.control.operators.body import read_body
from medlarpass_daemon.control.operators.body import serialize_document
from medlarpass_daemon.control.operators.body import validate_item_name
from medlarpass_daemon.control.operators.body import validate_text
from medlarpass_daemon.control.operators.exceptions import InvalidCallError
from medlarpass_daemon.control.operators.exceptions import ItemNotFoundError
from medlarpass_daemon.control.operators.query import Query
from medlarpass_daemon.control.operators.responses import KIND_NAMES
from medlarpass_daemon.control.operators.responses import item_document

if TYPE_CHECKING:
    from medlarpass_daemon.control.operators.interfaces import ControlBackend
    from medlarpass_daemon.control.operators.proposer import Proposer

KINDS_BY_NAME = {name: kind for kind, name in KIND_NAMES.items()}


class TableHandlers:
    """Handles ``/v1/routes``, ``/v1/pools`` and ``/v1/changes``.

    :param backend: access to the replicated log
    :param proposer: proposes commands for changes
    """

    def __init__(self, backend: ControlBackend, proposer: Proposer) -> None:
        self.backend = backend
        self.proposer = proposer

    def register(self, router: web.UrlDispatcher) -> None:
        """Register the handlers with a router."""
        collection = "/v1/{kind:route|pool}s"
        router.add_get(collection, self.list_items)
        router.add_get(collection + "/{name}", self.show_item)
        router.add_put(collection + "/{name}", self.put_item)
        router.add_delete(collection + "/{name}", self.delete_item)
        router.add_post("/v1/changes", self.apply_changes)

    async def list_items(self, request: web.Request) -> web.Response:
        """Return all routes or all pools."""
        query = Query(request, "stale")
        state = await self.backend.read_state(stale=query.flag("stale"))
        kind = KINDS_BY_NAME[request.match_info["kind"]]
        items = [
            item_document(item)
            for key, item in sorted(state.tables.items.items())
            if key[0] == kind
        ]
        return web.json_response({"revision": state.tables.revision, "items": items})

    async def show_item(self, request: web.Request) -> web.Response:
        """Return one route or pool."""
        query = Query(request, "stale")
        kind, name = _item_key(request)
        state = await self.backend.read_state(stale=query.flag("stale"))
        item = state.tables.items.get((kind, name))
        if item is None:
            raise ItemNotFoundError(f"{KIND_NAMES[kind]} {name} does not exist")
        return web.json_response({"revision": state.tables.revision, **item_document(item)})

    async def put_item(self, request: web.Request) -> web.Response:
        """Create or replace one route or pool."""
        kind, name = _item_key(request)
        body = await read_body(request, PUT_SCHEMA)
        item = _item_change(kind, name, body["expected_version"], body["document"])
        return await self.proposer.apply_change(request, body["change_id"], [item])

    async def delete_item(self, request: web.Request) -> web.Response:
        """Delete one route or pool."""
        kind, name = _item_key(request)
        body = await read_body(request, DELETE_SCHEMA)
        item = _item_change(kind, name, body["expected_version"], None)
        return await self.proposer.apply_change(request, body["change_id"], [item])

    async def apply_changes(self, request: web.Request) -> web.Response:
        """Apply changes to several items atomically."""
        body = await read_body(request, CHANGES_SCHEMA)
        items = []
        for index, item in enumerate(body["items"]):
            if ("document" in item) == ("delete" in item):
                raise InvalidCallError(f"items.{index}: expected either document or delete")
            items.append(
                _item_change(
                    KINDS_BY_NAME[item["kind"]],
                    item["name"],
                    item["expected_version"],
                    item.get("document"),
                )
            )
        return await self.proposer.apply_change(request, body["change_id"], items)


def _item_key(request: web.Request) -> tuple[control_pb2.ItemKind, str]:
    name = validate_text(validate_item_name, "name", request.match_info["name"])
    return KINDS_BY_NAME[request.match_info["kind"]], name


def _item_change(
    kind: control_pb2.ItemKind, name: str, version: int, document: dict[str, Any] | None
) -> control_pb2.ItemChange:
    text = None if document is None else serialize_document(name, document)
    return control_pb2.ItemChange(kind=kind, name=name, expected_version=version, document=text)
