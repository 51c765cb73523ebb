"""Memory that the bodies of requests use together."""

from __future__ import annotations

import asyncio

from typing import Any

import pytest

from medlarpass_daemon.entry.callers.body_budget import BodyBudget
from medlarpass_daemon.entry.callers.exceptions import BodiesFullError

TOTAL_BYTES = 1 << 20
LARGE_BYTES = 256 << 10
#: Large bodies that fit into their part of the budget.
HELD_COUNT = 3


async def test_large_bodies_leave_room_for_small_ones() -> None:
    """Guards against ordinary requests that are refused because of a few large ones."""
    budget = BodyBudget(TOTAL_BYTES)
    for _ in range(HELD_COUNT):
        await budget.reserve(LARGE_BYTES, 0)
    with pytest.raises(BodiesFullError):
        await budget.reserve(LARGE_BYTES, 0)
    await budget.reserve(1000, 0)
    assert budget.held_bytes == HELD_COUNT * LARGE_BYTES + 1000


async def test_memory_is_granted_in_the_order_of_arrival() -> None:
    """Guards against a large request that waits for ever behind later ones."""
    budget = BodyBudget(TOTAL_BYTES)
    await budget.reserve(3 * LARGE_BYTES, 0)
    first = asyncio.create_task(budget.reserve(2 * LARGE_BYTES, 20))
    await asyncio.sleep(0)
    second = asyncio.create_task(budget.reserve(LARGE_BYTES, 20))
    await asyncio.sleep(0)
    budget.release(LARGE_BYTES)
    await asyncio.sleep(0)
    assert not first.done()
    assert not second.done()
    budget.release(2 * LARGE_BYTES)
    await asyncio.gather(first, second)
    assert budget.held_bytes == 3 * LARGE_BYTES


async def test_no_more_bodies_wait_than_can_be_served_next() -> None:
    """Guards against requests that wait although it is known that they can't be served."""
    budget = BodyBudget(TOTAL_BYTES)
    tasks = [asyncio.create_task(budget.reserve(LARGE_BYTES, 20)) for _ in range(10)]
    for _ in range(3):
        await asyncio.sleep(0)
    refused = [task for task in tasks if task.done() and task.exception() is not None]
    assert len(refused) == 10 - 2 * HELD_COUNT
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    assert not budget.waiting


@pytest.mark.parametrize("is_cancelled", [True, False])
async def test_a_body_that_stops_waiting_holds_nothing(is_cancelled: bool) -> None:
    """Guards against memory that is never granted again, also when it is granted at that moment."""
    budget = BodyBudget(TOTAL_BYTES)
    await budget.reserve(3 * LARGE_BYTES, 0)
    waiting = asyncio.create_task(budget.reserve(LARGE_BYTES, 20 if is_cancelled else 0.01))
    await asyncio.sleep(0)
    if is_cancelled:
        waiting.cancel()
        budget.release(3 * LARGE_BYTES)
        with pytest.raises(asyncio.CancelledError):
            await waiting
    else:
        with pytest.raises(BodiesFullError):
            await waiting
        budget.release(3 * LARGE_BYTES)
    assert budget.held_bytes == 0
    assert not budget.waiting


async def test_a_body_of_unknown_length_counts_as_a_whole() -> None:
    """Guards against a large body in small parts that uses the memory of small ones."""
    budget = BodyBudget(TOTAL_BYTES)
    received = 0
    with pytest.raises(BodiesFullError):
        while True:
            received += 10_000
            budget.extend(10_000, received)
    assert budget.held_bytes <= 3 * LARGE_BYTES


async def test_large_orders_do_not_exceed_the_memory_of_an_entry(
    harness: Any, builders: Any
) -> None:
    """Guards against an entry that is killed with all of its requests in flight.

    Thirty orders of 12 MiB at once brought it over its 300 MB.
    """
    answers = asyncio.Event()

    async def answer_late(request: Any, reader: Any, writer: Any) -> None:
        await answers.wait()
        writer.write(builders.response_bytes())

    server = await harness.start_server(answer_late)
    entry = await harness.start_entry(order_body="256KiB", held_bodies=f"{TOTAL_BYTES}B")
    budget = entry.context.body_budget
    orders = [
        asyncio.create_task(harness.send("/orders", "POST", data=b"x" * LARGE_BYTES))
        for _ in range(10)
    ]
    await harness.wait_until(lambda: sum(order.done() for order in orders) == 10 - 2 * HELD_COUNT)
    assert budget.held_bytes == HELD_COUNT * LARGE_BYTES
    assert len(server.requests) <= HELD_COUNT
    answers.set()
    assert (await harness.send("/orders", "POST", data=b"small")).status == 200
    replies = await asyncio.gather(*orders)
    assert sorted(reply.status for reply in replies) == [200] * 6 + [503] * 4
    refused = [reply for reply in replies if reply.status == 503]
    assert {reply.document["code"] for reply in refused} == {"bodies_full"}
    assert {reply.headers["Medlarpass-Outcome"] for reply in refused} == {"not-run"}
    assert all("Retry-After" in reply.headers for reply in refused)
    assert budget.held_bytes == 0


async def test_a_large_order_of_unknown_length_counts(harness: Any, builders: Any) -> None:
    """Guards against chunked bodies that no bound counts."""
    await harness.start_server(builders.respond_with(builders.response_bytes()))
    entry = await harness.start_entry(order_body="256KiB", held_bodies=f"{TOTAL_BYTES}B")
    budget = entry.context.body_budget
    await budget.reserve(2 * LARGE_BYTES + 200_000, 0)

    async def parts() -> Any:
        for _ in range(16):
            yield b"x" * 16_000

    reply = await harness.send("/orders", "POST", data=parts())
    assert (reply.status, reply.document["code"]) == (503, "bodies_full")
    assert budget.held_bytes == 2 * LARGE_BYTES + 200_000
