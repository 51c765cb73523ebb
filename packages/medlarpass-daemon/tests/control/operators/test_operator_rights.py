"""Guards against changes without permission and against token files that lock operators out."""

from __future__ import annotations

import pytest

from operators_fakes import CHANGE_TOKEN
from operators_fakes import READ_TOKEN
from operators_fakes import daemon_settings
from operators_fakes import unavailable_error
from operators_fakes import write_tokens

from medlarpass_daemon.control.operators import OperatorsServer
from medlarpass_daemon.control.operators import TokenFileError

PUT = {"expected_version": 0, "document": {}}


@pytest.mark.parametrize(
    "authorization",
    [None, "", "Bearer", "Bearer ", "Bearer wrong", f"Basic {CHANGE_TOKEN}", "Bearer \xe9"],
)
async def test_call_without_a_known_token_is_refused(call, backend, authorization) -> None:
    headers = {} if authorization is None else {"Authorization": authorization}
    for method, path in (("GET", "/v1/routes"), ("PUT", "/v1/drains/a"), ("GET", "/nowhere")):
        async with call.session.request(method, call.base_url + path, headers=headers) as response:
            body = await response.json()
            assert (response.status, body["code"]) == (401, "unauthenticated")
            assert body["outcome"] == "not-run"
    assert not backend.commands


@pytest.mark.parametrize(
    ("method", "path", "body"),
    [
        ("PUT", "/v1/pools/stock", PUT),
        ("DELETE", "/v1/pools/stock", {"expected_version": 0}),
        ("POST", "/v1/changes", {"items": []}),
        ("PUT", "/v1/drains/stock-1", None),
        ("DELETE", "/v1/drains/stock-1", None),
        ("PUT", "/v1/evacuations/north", None),
        ("DELETE", "/v1/evacuations/north", None),
        ("POST", "/v1/replicas", None),
        ("PUT", "/v1/replicas/r1", None),
        ("DELETE", "/v1/replicas/r1", None),
    ],
)
async def test_change_without_the_right_is_refused_and_audited(
    call, backend, method, path, body
) -> None:
    members = list(backend.members)
    response = await call(method, path, body, "c1", token=READ_TOKEN)
    assert (response.status, response.body["code"]) == (403, "forbidden")
    tables = backend.state.tables
    assert (tables.revision, tables.items, tables.drained) == (0, {}, set())
    assert backend.members == members
    record = tables.audit.records[0]
    assert (record.author, record.outcome, record.change_id) == ("bulan", "forbidden", "c1")
    assert (record.action, record.source) == (f"{method} {path}", "127.0.0.1")


async def test_refusal_stands_when_it_can_not_be_audited(call, backend) -> None:
    backend.failures = [unavailable_error()]
    response = await call("PUT", "/v1/drains/a", None, "c1", token=READ_TOKEN)
    assert (response.status, response.body["code"]) == (403, "forbidden")


async def test_unusable_change_id_is_not_audited(call, backend) -> None:
    await call("PUT", "/v1/drains/a%0a", None, "two words", token=READ_TOKEN)
    record = backend.state.tables.audit.records[0]
    assert (record.change_id, record.action) == ("", "PUT /v1/drains/a%0A")


async def test_reader_may_read(call) -> None:
    for path in (
        "routes",
        "pools",
        "in-force",
        "servers",
        "grants",
        "drains",
        "evacuations",
        "audit",
    ):
        assert (await call("GET", f"/v1/{path}", token=READ_TOKEN)).status == 200


async def test_unauthenticated_use_has_the_author_anonymous(unauthenticated_call, backend) -> None:
    assert (await unauthenticated_call("PUT", "/v1/pools/stock", PUT, "c1")).status == 200
    assert backend.state.tables.audit.records[0].author == "anonymous"


async def test_changed_token_file_is_read_again(call, token_path) -> None:
    write_tokens(token_path, ("citra", "change", "new-token"))
    assert (await call("GET", "/v1/routes")).status == 401
    assert (await call("GET", "/v1/routes", token="new-token")).status == 200


INVALID_TOKEN_FILES = [
    ("not YAML", "tokens: ["),
    ("no list", "tokens: 7"),
    ("empty", ""),
    ("unknown role", "tokens: [{name: a, role: root, sha256: '" + "0" * 64 + "'}]"),
    ("plain token", "tokens: [{name: a, role: read, sha256: secret}]"),
    ("reserved name", "tokens: [{name: anonymous, role: read, sha256: '" + "0" * 64 + "'}]"),
    (
        "name twice",
        "tokens: [{name: a, role: read, sha256: '"
        + "0" * 64
        + "'}, {name: a, role: change, sha256: '"
        + "1" * 64
        + "'}]",
    ),
    ("binary", "\x00\x01"),
]


@pytest.mark.parametrize(
    "text", [case[1] for case in INVALID_TOKEN_FILES], ids=[case[0] for case in INVALID_TOKEN_FILES]
)
async def test_bad_token_file_keeps_the_last_good_one(call, token_path, text) -> None:
    token_path.write_text(text)
    assert (await call("GET", "/v1/routes")).status == 200
    assert (await call("GET", "/v1/routes", token="wrong")).status == 401


async def test_removed_token_file_keeps_the_last_good_one(call, token_path) -> None:
    token_path.unlink()
    assert (await call("GET", "/v1/routes")).status == 200


@pytest.mark.parametrize(
    "text", [case[1] for case in INVALID_TOKEN_FILES], ids=[case[0] for case in INVALID_TOKEN_FILES]
)
async def test_server_does_not_start_with_a_bad_token_file(backend, tmp_path, text) -> None:
    path = tmp_path / "bad.yaml"
    path.write_text(text)
    with pytest.raises(TokenFileError, match=r"bad\.yaml: "):
        await OperatorsServer(daemon_settings(tmp_path, path), backend).start()


async def test_server_does_not_start_on_a_used_port(backend, tmp_path, call) -> None:
    settings = daemon_settings(tmp_path)
    settings.control.operators.port = int(call.base_url.rpartition(":")[2])
    server = OperatorsServer(settings, backend)
    with pytest.raises(OSError):
        await server.start()
    with pytest.raises(RuntimeError):
        _ = server.port
