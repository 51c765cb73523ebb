"""Guards against malformed requests.

They must neither change the state nor crash a replica, and their error response must have a code.
"""

from __future__ import annotations

import json

import pytest

from operators_fakes import STOCK_POOL

PUT = {"expected_version": 0, "document": STOCK_POOL}
REPLICA = {"name": "control-9", "domain": "north", "address": "127.0.0.1:7009"}
ITEM = {"kind": "pool", "name": "stock", "expected_version": 0, "document": {}}

REPEATED = b'{"expected_version":1,"expected_version":0,"document":{}}'
DEEP_DOCUMENT: dict[str, object] = {}
for _ in range(17):
    DEEP_DOCUMENT = {"a": DEEP_DOCUMENT}

MALFORMED_REQUESTS = [
    ("no JSON", "PUT", "/v1/pools/a", b"{", "invalid_call"),
    ("not UTF-8", "PUT", "/v1/pools/a", b'{"document": "\xff"}', "invalid_call"),
    ("no object", "PUT", "/v1/pools/a", b"[]", "invalid_call"),
    ("no body", "PUT", "/v1/pools/a", b"", "invalid_call"),
    (
        "repeated key",
        "PUT",
        "/v1/pools/a",
        b'{"expected_version":1,"expected_version":0,"document":{}}',
        "",
    ),
    ("NaN", "PUT", "/v1/pools/a", b'{"expected_version":0,"document":{"a":NaN}}', ""),
    ("deep nesting", "PUT", "/v1/pools/a", b"[" * 200_000, "invalid_call"),
    (
        "nesting near the limit",
        "PUT",
        "/v1/pools/a",
        {**PUT, "document": DEEP_DOCUMENT},
        "invalid_call",
    ),
    ("unknown key", "PUT", "/v1/pools/a", {**PUT, "colour": 1}, "invalid_call"),
    ("no version", "PUT", "/v1/pools/a", {"document": {}}, "invalid_call"),
    ("text as version", "PUT", "/v1/pools/a", {**PUT, "expected_version": "0"}, ""),
    ("true as version", "PUT", "/v1/pools/a", {**PUT, "expected_version": True}, ""),
    ("negative version", "PUT", "/v1/pools/a", {**PUT, "expected_version": -1}, ""),
    ("huge version", "PUT", "/v1/pools/a", {**PUT, "expected_version": 1 << 70}, ""),
    ("fraction as version", "PUT", "/v1/pools/a", {**PUT, "expected_version": 0.0}, ""),
    ("list as document", "PUT", "/v1/pools/a", {**PUT, "document": []}, "invalid_call"),
    ("text as document", "PUT", "/v1/pools/a", {**PUT, "document": "{}"}, "invalid_call"),
    ("control character in the path", "PUT", "/v1/pools/a%0a", PUT, "invalid_call"),
    ("upper case in the path", "PUT", "/v1/pools/Stock", PUT, "invalid_call"),
    ("control character", "PUT", "/v1/pools/a", {**PUT, "document": {"a\x00": 1}}, ""),
    (
        "lone surrogate",
        "PUT",
        "/v1/pools/a",
        b'{"expected_version":0,"document":{"\\ud800":1}}',
        "invalid_call",
    ),
    (
        "document too large",
        "PUT",
        "/v1/pools/a",
        {**PUT, "document": {"a": "x" * 70_000}},
        "call_too_large",
    ),
    ("body too large", "PUT", "/v1/pools/a", b" " * ((1 << 20) + 1), "call_too_large"),
    ("body on delete", "DELETE", "/v1/pools/a", PUT, "invalid_call"),
    ("empty change", "POST", "/v1/changes", {"items": []}, "invalid_call"),
    ("too many items", "POST", "/v1/changes", {"items": [ITEM] * 1_001}, "invalid_call"),
    ("unknown kind", "POST", "/v1/changes", {"items": [{**ITEM, "kind": "tag"}]}, ""),
    ("both actions", "POST", "/v1/changes", {"items": [{**ITEM, "delete": True}]}, ""),
    ("delete false", "POST", "/v1/changes", {"items": [{**ITEM, "delete": False}]}, ""),
    (
        "no action",
        "POST",
        "/v1/changes",
        {"items": [{"kind": "pool", "name": "a", "expected_version": 0}]},
        "invalid_call",
    ),
    (
        "control character in a name",
        "POST",
        "/v1/changes",
        {"items": [{**ITEM, "name": "a\n"}]},
        "",
    ),
    ("control character in a server", "PUT", "/v1/drains/a%1b", None, "invalid_call"),
    ("control character in a domain", "PUT", "/v1/evacuations/a%1b", None, "invalid_call"),
    ("body on evacuation", "PUT", "/v1/evacuations/a", {"evacuated": False}, "invalid_call"),
    ("body on drain", "PUT", "/v1/drains/a", {"drained": False}, "invalid_call"),
    ("replica without address", "POST", "/v1/replicas", {"name": "a", "domain": "b"}, ""),
    ("host name as address", "POST", "/v1/replicas", {**REPLICA, "address": "vm-1:7"}, ""),
    ("unknown replica key", "PUT", "/v1/replicas/r1", {**REPLICA, "voter": True}, ""),
]


@pytest.mark.parametrize(
    ("method", "path", "body", "code"),
    [case[1:] for case in MALFORMED_REQUESTS],
    ids=[case[0] for case in MALFORMED_REQUESTS],
)
async def test_malformed_change_leaves_the_state_untouched(
    call, backend, method, path, body, code
) -> None:
    before = backend.state_snapshot()
    raw = body if isinstance(body, bytes) else None
    response = await call(method, path, None if raw is not None else body, "c1", raw=raw)
    assert response.body["code"] == (code or "invalid_call")
    assert response.status == (413 if code == "call_too_large" else 400)
    assert response.body["outcome"] == "not-run"
    assert backend.state_snapshot() == before
    assert not backend.commands


@pytest.mark.parametrize(
    ("header", "field"),
    [(None, None), ("", None), ("a b", None), ("x" * 129, None), ("c1", "c2"), (None, 7)],
    ids=["none", "empty", "blank inside", "too long", "two different", "number"],
)
async def test_change_without_a_usable_change_id_is_refused(call, backend, header, field) -> None:
    body = PUT if field is None else {**PUT, "change_id": field}
    response = await call("PUT", "/v1/pools/stock", body, header)
    assert (response.status, response.body["code"]) == (400, "invalid_call")
    assert "change_id" in response.body["message"]
    assert not backend.commands


async def test_change_id_is_taken_from_the_body(call, backend) -> None:
    response = await call("PUT", "/v1/pools/stock", {**PUT, "change_id": "from-body"})
    assert response.body["change_id"] == "from-body"
    assert backend.commands[0].apply_change.change_id == "from-body"


@pytest.mark.parametrize(
    "path",
    [
        "/v1/audit?after=-1",
        "/v1/audit?after=1e3",
        "/v1/audit?limit=0",
        "/v1/audit?limit=1001",
        "/v1/audit?after=" + "9" * 5_000,
        "/v1/audit?after=1&after=2",
        "/v1/audit?since=1",
        "/v1/routes?stale=yes",
        "/v1/servers?stale=true",
        "/v1/grants?shard=1",
        "/v1/pools/Stock",
    ],
)
async def test_malformed_query_is_refused(call, path) -> None:
    response = await call("GET", path)
    assert (response.status, response.body["code"]) == (400, "invalid_call")


@pytest.mark.parametrize(
    ("method", "path", "status", "code"),
    [
        ("GET", "/v2/routes", 404, "unknown_call"),
        ("GET", "/v1/tags", 404, "unknown_call"),
        ("POST", "/v1/routes", 405, "method_not_allowed"),
        ("PATCH", "/v1/pools/stock", 405, "method_not_allowed"),
    ],
)
async def test_unknown_call_gets_a_typed_error(call, method, path, status, code) -> None:
    response = await call(method, path, None, "c1")
    assert (response.status, response.body["code"]) == (status, code)
    assert response.body["outcome"] == "not-run"


async def test_invalid_document_names_the_key_and_is_audited(call, backend) -> None:
    body = {"expected_version": 0, "document": {"shards": "many"}}
    response = await call("PUT", "/v1/pools/stock", body, "c1")
    assert (response.status, response.body["code"]) == (400, "invalid_document")
    assert "shards" in response.body["message"]
    record = backend.state.tables.audit.records[0]
    assert (record.outcome, json.loads(record.after)) == ("invalid_document", {"shards": "many"})
