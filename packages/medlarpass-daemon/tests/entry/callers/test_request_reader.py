"""Requests that match no route or must not match one."""

from __future__ import annotations

import asyncio

from typing import Any

import pytest

CASES = {
    "unknown path": (b"GET /nothing", 404, b"route_not_found"),
    "unknown method": (b"DELETE /orders", 404, b"route_not_found"),
    "dot segments": (b"GET /art/../orders", 400, b"invalid_request"),
    "encoded dot segments": (b"GET /art/%2e%2E/orders", 400, b"invalid_request"),
    "path not UTF-8": (b"GET /stock/%ff", 400, b"invalid_request"),
    "fragment": (b"GET /art/a#b", 400, b"invalid_request"),
    "empty key segment": (b"GET /stock/", 404, b"route_not_found"),
    "query key missing": (b"GET /tags", 400, b"missing_key"),
    "query key twice": (b"GET /tags?tag=1&tag=2", 400, b"missing_key"),
}


@pytest.mark.parametrize("case", CASES)
async def test_request_is_refused_as_not_run(harness: Any, case: str) -> None:
    """Guards against requests that are sent under a wrong route, and against wrong outcomes."""
    line, status, code = CASES[case]
    harness.routing.add(
        "tags",
        owned=True,
        path="/tags",
        methods=["GET"],
        key={"from": "query", "name": "tag"},
        **{"class": "enquiry"},
    )
    server = await harness.start_server()
    await harness.start_entry()
    reader, writer = await harness.connect()
    writer.write(line + b" HTTP/1.1\r\nHost: x\r\n\r\n")
    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 20)
    assert head.startswith(f"HTTP/1.1 {status}".encode())
    assert b"Medlarpass-Outcome: not-run" in head
    body = await reader.readuntil(b"}")
    assert b'"code": "' + code + b'"' in body
    writer.close()
    assert not server.requests


async def test_whole_url_as_target_is_understood(harness: Any) -> None:
    """Guards against an absolute URL that a server would interpret as a path."""
    server = await harness.start_server()
    await harness.start_entry()
    reader, writer = await harness.connect()
    writer.write(b"GET http://shop.example/art/a?b=c HTTP/1.1\r\nHost: shop.example\r\n\r\n")
    assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200")
    writer.close()
    assert server.requests[0].path == "/art/a?b=c"


async def test_path_and_query_pass_unchanged(harness: Any) -> None:
    """Guards against a path that is decoded or re-encoded when it is forwarded."""
    server = await harness.start_server()
    await harness.start_entry()
    target = b"/art/a%20b/%C3%BC;v=1//c?x=%2f+&y=%zz&&"
    reader, writer = await harness.connect()
    writer.write(b"GET " + target + b" HTTP/1.1\r\nHost: x\r\n\r\n")
    await reader.readuntil(b"\r\n\r\n")
    writer.close()
    assert server.requests[0].path == target.decode()


async def test_unexpected_error_shows_no_details(
    harness: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against tracebacks and internal messages in responses."""
    await harness.start_server()
    entry = await harness.start_entry()

    def fail(*arguments: object) -> None:
        raise RuntimeError("inner detail")

    monkeypatch.setattr(type(entry.context.admission), "state_of", fail)
    reply = await harness.send("/art/a")
    assert (reply.status, reply.document["code"]) == (500, "internal_error")
    assert reply.document["outcome"] == "unknown"
    assert b"inner detail" not in reply.body
