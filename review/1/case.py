"""A worker sheds part of its orders, and some of its answers come a second time, late."""

from __future__ import annotations

import asyncio
import random

from collections import Counter
from pathlib import Path

from review.clients import config
from review.clients import route
from review.frame import Case
from review.frame import main
from review.shedding_worker import SheddingWorker
from review.worker import Worker

WORKERS = 8
#: Requesters at each entry; each sends one order after the other.
REQUESTERS = 1
#: How long the worker is in trouble.
TROUBLE_S = 5.0
#: Number of such times, with a pause between.
TIMES = 9
PAUSE_S = 2.0
#: Answers that promise that the order has not run and never will.
PROMISES = {408, 421, 429, 503}


async def play(case: Case) -> list[str]:
    """Play the case and return what broke the rule."""
    troubled = SheddingWorker(
        case.deployment,
        case.record,
        "i-stok3",
        "stok",
        case.deployment.worker_ip(3),
        sharded=True,
        work_s=0.02,
    )
    workers: list[Worker] = [
        (
            troubled
            if number == 3
            else Worker(
                case.deployment,
                case.record,
                f"i-stok{number}",
                "stok",
                case.deployment.worker_ip(number),
                sharded=True,
                work_s=0.02,
            )
        )
        for number in range(WORKERS)
    ]
    document = config(1)
    document["routes"].append({**route("tempah", "unsafe", 2.0, 0.8), "upstream": "stok"})
    await case.deployment.start()
    for worker in workers:
        await worker.start()
    await case.clients.put_config(document)
    await case.clients.wait_until_ready()
    await case.clients.wait_until_served("/tempah/1", "POST", tuple(range(0, 65_536, 4_096)))
    # The core is stable and all machines are in touch.
    await asyncio.sleep(4.0)
    answers: dict[str, int] = {}
    requesters = [
        asyncio.create_task(send_orders(case, number, answers))
        for number in range(REQUESTERS * len(case.deployment.entries))
    ]
    for _ in range(TIMES):
        troubled.in_trouble = case.has_trouble
        await asyncio.sleep(TROUBLE_S)
        troubled.in_trouble = False
        await asyncio.sleep(PAUSE_S)
    for requester in requesters:
        requester.cancel()
    await asyncio.sleep(0.5)
    for worker in workers:
        await worker.crash()
    case.record.add(
        "answers of the worker in trouble", answers=troubled.answers, extra=troubled.extra_answers
    )
    return violations(answers, Counter(case.record.runs))


def violations(answers: dict[str, int], runs: Counter[str]) -> list[str]:
    """Return the orders that ran although their answer promises otherwise."""
    return [
        f"order {attempt} was answered {status} and has run"
        for attempt, status in answers.items()
        if status in PROMISES and runs[attempt]
    ]


async def send_orders(case: Case, number: int, answers: dict[str, int]) -> None:
    """Send one order after the other until cancelled."""
    generator = random.Random(number)
    entry = case.deployment.entries[number % len(case.deployment.entries)]
    while True:
        attempt, status = await case.clients.request(
            entry, "/tempah/1", "POST", generator.randrange(65_536), 2000, b"a roll"
        )
        answers[attempt] = status
        await asyncio.sleep(generator.uniform(0.0, 0.02))


main(play, Path(__file__).resolve().parent, entries=9)
