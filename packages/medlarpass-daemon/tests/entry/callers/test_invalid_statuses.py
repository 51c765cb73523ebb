"""Responses whose status is not one that a server may send to a caller."""

from __future__ import annotations

from typing import Any

import pytest

#: 101 is included because the entry never asks a server to change protocols.
INVALID_STATUSES = ["000", "099", "101", "600", "999"]
HEADERS = {
    "plain": "",
    "claims not to have run": "Medlarpass-Outcome: not-run\r\nMedlarpass-Refusal: shedding\r\n",
    "changes protocols": "Connection: upgrade\r\nUpgrade: other\r\n",
}


@pytest.mark.parametrize("kind", HEADERS)
@pytest.mark.parametrize("status", INVALID_STATUSES)
async def test_an_invalid_status_does_not_reach_the_caller_of_an_order(
    harness: Any, builders: Any, status: str, kind: str
) -> None:
    """Guards against callers that get a status with no meaning, and orders that run twice."""
    server = await harness.start_server(
        builders.respond_with(
            builders.response_bytes(status=f"{status} Odd", headers=HEADERS[kind])
        )
    )
    entry = await harness.start_entry()
    harness.allow_retries("orders", entry)
    reply = await harness.send("/orders", "POST", data=b"two rolls")
    assert reply.status == 502
    assert reply.headers["Medlarpass-Outcome"] == "unknown"
    assert reply.document["code"] == ("answer_lost" if status == "101" else "invalid_status")
    assert len(server.requests) == 1
    await harness.wait_until(lambda: not server.writers)


@pytest.mark.parametrize("status", INVALID_STATUSES)
async def test_an_idempotent_request_is_sent_again_after_an_invalid_status(
    harness: Any, builders: Any, status: str
) -> None:
    """Guards against a retry on a connection that is out of step, and against no retry at all."""
    server = await harness.start_server(
        builders.respond_with(builders.response_bytes(status=f"{status} Odd")),
        builders.respond_with(builders.response_bytes()),
    )
    entry = await harness.start_entry()
    harness.allow_retries("art", entry)
    reply = await harness.send("/art/a")
    assert (reply.status, reply.body) == (200, b"done")
    assert (server.connections, len(server.requests)) == (2, 2)


@pytest.mark.parametrize("status", ["200 OK", "299 Odd", "404 Not Found", "418 Odd", "599 Odd"])
async def test_other_statuses_reach_the_caller(harness: Any, builders: Any, status: str) -> None:
    """Guards against a check that refuses statuses without a registered name."""
    await harness.start_server(builders.respond_with(builders.response_bytes(status=status)))
    await harness.start_entry()
    assert (await harness.send("/orders", "POST", data=b"x")).status == int(status[:3])
