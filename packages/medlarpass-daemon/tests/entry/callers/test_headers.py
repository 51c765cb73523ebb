"""Headers that are forwarded, changed, removed or rejected."""

from __future__ import annotations

import asyncio

from typing import Any

import pytest

from multidict import CIMultiDict
from multidict import CIMultiDictProxy

from medlarpass_daemon.entry.callers import headers
from medlarpass_daemon.entry.callers.exceptions import InvalidHeaderError


def header_proxy(*items: tuple[str, str]) -> CIMultiDictProxy[str]:
    return CIMultiDictProxy(CIMultiDict(items))


REMOVED_HEADERS = [
    ("Connection", "close, X-Private"),
    ("X-Private", "1"),
    ("Keep-Alive", "timeout=5"),
    ("Proxy-Authorization", "Basic x"),
    ("Proxy-Connection", "close"),
    ("TE", "trailers"),
    ("Trailer", "X-Sum"),
    ("Transfer-Encoding", "chunked"),
    ("Upgrade", "websocket"),
    ("Expect", "100-continue"),
    ("Medlarpass-Fence", "1"),
    ("medlarpass-outcome", "not-run"),
    ("Medlarpass-Anything", "x"),
]


@pytest.mark.parametrize("item", REMOVED_HEADERS)
def test_header_is_not_passed(item: tuple[str, str]) -> None:
    """Guards against forwarding hop-by-hop headers and forged control headers."""
    given = header_proxy(("Connection", "X-Private"), item, ("X-Kept", "1"), ("X-Kept", "2"))
    for passed in (
        headers.request_headers(given, "id", "10.0.0.1", "http"),
        headers.response_headers(given, "id"),
    ):
        assert item[0] not in passed
        assert passed.getall("X-Kept") == ["1", "2"]
        assert passed.getall("Medlarpass-Request-Id") == ["id"]


@pytest.mark.parametrize("name", ["Host", "Content-Length", "Idempotency-Key", "Range"])
def test_connection_does_not_remove_framing(name: str) -> None:
    """Guards against a Connection header that changes the meaning of a request."""
    passed = headers.end_to_end(header_proxy(("Connection", name), (name, "1")))
    assert passed[name] == "1"


def test_forwarding_headers_are_appended() -> None:
    """Guards against a lost or forged address of the caller."""
    given = header_proxy(
        ("X-Forwarded-For", "10.0.0.9"),
        ("X-Forwarded-For", "10.0.0.8"),
        ("Forwarded", "for=10.0.0.9"),
    )
    passed = headers.request_headers(given, "id", "::1", "http")
    assert passed.getall("X-Forwarded-For") == ["10.0.0.9, 10.0.0.8, ::1"]
    assert passed.getall("Forwarded") == ['for=10.0.0.9, for="[::1]";proto=http']


@pytest.mark.parametrize(
    ("given", "kept"),
    [("abc-1", True), ("x" * 128, True), ("x" * 129, False), ("", False), ("a b", False)],
)
def test_request_id_is_passed_or_created(given: str, kept: bool) -> None:
    """Guards against ids that break logs or headers."""
    found = headers.request_id_of(header_proxy(("Medlarpass-Request-Id", given)))
    assert (found == given) is kept
    assert headers.REQUEST_ID_PATTERN.fullmatch(found)


INVALID_HEADERS = {
    "two lengths": [("Host", "x"), ("Content-Length", "1"), ("Content-Length", "1")],
    "length with sign": [("Host", "x"), ("Content-Length", "+1")],
    "list of lengths": [("Host", "x"), ("Content-Length", "1, 1")],
    "length and chunks": [
        ("Host", "x"),
        ("Content-Length", "1"),
        ("Transfer-Encoding", "chunked"),
    ],
    "other coding": [("Host", "x"), ("Transfer-Encoding", "gzip, chunked")],
    "two codings": [("Host", "x"), ("Transfer-Encoding", "chunked"), ("Transfer-Encoding", "x")],
    "two hosts": [("Host", "x"), ("Host", "y")],
    "no host": [],
    "other expectation": [("Host", "x"), ("Expect", "200-ok")],
}


@pytest.mark.parametrize("case", INVALID_HEADERS)
def test_conflicting_headers_are_refused(case: str) -> None:
    """Guards against a request that entry and server interpret differently."""
    with pytest.raises(InvalidHeaderError):
        headers.check_headers(header_proxy(*INVALID_HEADERS[case]), (1, 1))


@pytest.mark.parametrize("value", ["", "-1", "1.5", "1e3", "x", "99999999999", "\u0661"])
def test_invalid_deadline_is_refused(value: str) -> None:
    """Guards against a request that runs without the deadline its caller specified."""
    with pytest.raises(InvalidHeaderError):
        headers.deadline_of(header_proxy(("Medlarpass-Deadline-Ms", value)))


async def test_control_headers_do_not_cross_the_entry(harness: Any, builders: Any) -> None:
    """Guards against callers and servers that impersonate an entry."""
    sent = "Medlarpass-Outcome: run\r\nMedlarpass-Replayed: true\r\nMedlarpass-Shard: 1\r\n"
    server = await harness.start_server(
        builders.respond_with(builders.response_bytes(b"x", "200 OK", sent))
    )
    await harness.start_entry()
    reply = await harness.send(
        "/art/a",
        headers={"Medlarpass-Shard": "5", "Medlarpass-Request-Id": "own", "Connection": "x-a"},
    )
    names = {name for name in reply.headers if name.lower().startswith("medlarpass-")}
    assert names == {"Medlarpass-Request-Id"}
    assert reply.headers["Medlarpass-Request-Id"] == "own"
    assert "Medlarpass-Shard" not in server.requests[0].headers


async def test_callers_deadline_only_shortens(harness: Any) -> None:
    """Guards against a caller that extends the deadline of its route."""
    server = await harness.start_server()
    await harness.start_entry()
    for caller_deadline in ("1000", "999999999"):
        await harness.send("/art/a", headers={"Medlarpass-Deadline-Ms": caller_deadline})
    sent = [int(seen.headers["Medlarpass-Deadline-Ms"]) for seen in server.requests]
    assert sent[0] <= 1000
    assert 1000 < sent[1] <= 60_000


INVALID_REQUESTS = {
    "smuggled length": b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "space before colon": b"X-A : 1\r\n\r\n",
    "folded header": b"X-A: 1\r\n 2\r\n\r\n",
    "control character": b"X-A: 1\x00\r\n\r\n",
    "no host": None,
}


@pytest.mark.parametrize("case", INVALID_REQUESTS)
async def test_invalid_request_gets_typed_error(harness: Any, case: str) -> None:
    """Guards against request smuggling, and against tracebacks in responses."""
    server = await harness.start_server()
    await harness.start_entry()
    reader, writer = await harness.connect()
    rest = INVALID_REQUESTS[case]
    writer.write(b"PUT /art/a HTTP/1.1\r\n" + (b"\r\n" if rest is None else b"Host: x\r\n" + rest))
    received = await asyncio.wait_for(reader.readuntil(b"}"), 20)
    writer.close()
    # aiohttp responds to a request of unknown version as HTTP/1.0.
    assert received.split(b" ")[1] == b"400"
    assert b'"outcome": "not-run"' in received
    assert b"Traceback" not in received
    assert not server.requests


def test_no_cache_depends_on_the_connection_header() -> None:
    """Guards against headers that take tens of milliseconds of an entry's time.

    Each name was looked up together with all options of ``Connection``, which were compared anew
    for each request.
    """

    def cached_count() -> int:
        functions = [value for value in vars(headers).values() if hasattr(value, "cache_info")]
        return sum(function.cache_info().currsize for function in functions)

    headers.end_to_end(header_proxy(("Connection", "a, b"), ("Accept", "1")))
    before = cached_count()
    headers.end_to_end(header_proxy(("Connection", "c, d"), ("Accept", "1")))
    assert cached_count() == before
