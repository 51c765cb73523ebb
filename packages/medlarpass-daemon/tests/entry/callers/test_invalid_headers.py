"""Heads with characters that no header may have."""

from __future__ import annotations

from typing import Any

import pytest

from multidict import CIMultiDict

CONTROL_CHARACTERS = ["\x00", "\x01", "\x14", "\x1f", "\x7f"]
HEADS = {
    "header": ("200 OK", "X-Odd: te{}t\r\n"),
    "reason": ("200 O{}K", ""),
    "claim not to have run": (
        "503 Busy",
        "Medlarpass-Outcome: not-run\r\nMedlarpass-Refusal: shedding\r\nX-Odd: {}\r\n",
    ),
}


def odd_response(builders: Any, kind: str, character: str) -> Any:
    """Return a response whose head has a control character."""
    status, headers = HEADS[kind]
    return builders.response_bytes(
        status=status.format(character), headers=headers.format(character)
    )


@pytest.mark.parametrize("kind", HEADS)
@pytest.mark.parametrize("character", CONTROL_CHARACTERS, ids=repr)
async def test_an_order_whose_response_is_damaged_may_have_run(
    harness: Any, builders: Any, kind: str, character: str
) -> None:
    """Guards against an order that has run and is answered like an invalid request (review/10)."""
    server = await harness.start_server(
        builders.respond_with(odd_response(builders, kind, character))
    )
    entry = await harness.start_entry()
    harness.allow_retries("orders", entry)
    reply = await harness.send("/orders", "POST", data=b"two rolls")
    assert reply.status == 502
    assert reply.headers["Medlarpass-Outcome"] == "unknown"
    assert len(server.requests) == 1


async def test_an_idempotent_request_is_sent_again_after_a_damaged_response(
    harness: Any, builders: Any
) -> None:
    """Guards against a failed read that another server could answer."""
    server = await harness.start_server(
        builders.respond_with(odd_response(builders, "header", "\x14")),
        builders.respond_with(builders.response_bytes()),
    )
    entry = await harness.start_entry()
    harness.allow_retries("art", entry)
    reply = await harness.send("/art/a")
    assert (reply.status, reply.body) == (200, b"done")
    assert (server.connections, len(server.requests)) == (2, 2)


async def test_a_tab_and_other_bytes_in_a_header_reach_the_caller(
    harness: Any, builders: Any
) -> None:
    """Guards against a check that refuses valid responses."""
    await harness.start_server(
        builders.respond_with(builders.response_bytes(headers="X-Odd: a\tb \u00e9\r\n"))
    )
    await harness.start_entry()
    reply = await harness.send("/orders", "POST", data=b"x")
    assert reply.status == 200
    assert reply.headers["X-Odd"] == "a\tb \u00e9"


async def test_an_internal_error_is_not_blamed_on_the_caller(
    harness: Any, builders: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a request that has run and is answered with 400 after an internal error."""
    await harness.start_server(builders.respond_with(builders.response_bytes()))
    entry = await harness.start_entry()
    unwritable = CIMultiDict({"X-Odd": "te\x14t"})
    monkeypatch.setattr(
        type(entry.context.dialect), "response_headers", lambda *_: unwritable, raising=True
    )
    reply = await harness.send("/orders", "POST", data=b"x")
    assert reply.status == 500
    assert reply.headers["Medlarpass-Outcome"] == "unknown"


@pytest.mark.parametrize("character", CONTROL_CHARACTERS, ids=repr)
async def test_a_request_with_a_control_character_is_refused(
    harness: Any, builders: Any, character: str
) -> None:
    """Guards against a server that counts as unreachable because of a caller's header."""
    server = await harness.start_server(builders.respond_with(builders.response_bytes()))
    await harness.start_entry()
    reader, writer = await harness.connect()
    head = f"POST /orders HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nX-Odd: a{character}b\r\n\r\nx"
    writer.write(head.encode())
    status = await reader.readline()
    writer.close()
    assert b" 400 " in status
    assert not server.requests
