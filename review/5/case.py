"""A heartbeat with bytes that can't be read arrives; later a worker leaves."""

from __future__ import annotations

import asyncio
import time

from pathlib import Path

from review.clients import config
from review.deployment import BOUNDS
from review.frame import Case
from review.frame import main
from review.worker import Worker

WORKERS = 7
#: How long the worker serves after the confirmation that it drains.
SERVES_S = 8.0


async def play(case: Case) -> list[str]:
    """Play the case and return what broke the rule."""
    workers = [
        Worker(
            case.deployment,
            case.record,
            f"i-pes{number}",
            "pesanan",
            case.deployment.worker_ip(number),
        )
        for number in range(WORKERS)
    ]
    await case.deployment.start()
    for worker in workers:
        await worker.start()
    await case.clients.put_config(config(1))
    await case.clients.wait_until_ready()
    await case.clients.wait_until_served("/pesanan/1", "POST")
    # The core is stable and all machines are in touch.
    await asyncio.sleep(4.0)
    requests = asyncio.create_task(send_requests(case))
    if case.has_trouble:
        await send_unreadable_heartbeat(case)
    await asyncio.sleep(3.0)
    leaving = workers[2]
    leaving.state = "draining"
    deadline = time.monotonic() + 10.0
    while leaving.draining_confirmed_at is None:
        assert time.monotonic() < deadline, "draining was not confirmed"
        await asyncio.sleep(0.05)
    await asyncio.sleep(SERVES_S)
    requests.cancel()
    limit = leaving.draining_confirmed_at + BOUNDS["drain_s"]
    late = [
        (at - leaving.draining_confirmed_at, attempt)
        for at, worker, attempt in case.record.arrivals
        if worker is leaving and at > limit
    ]
    for worker in workers:
        await worker.crash()
    if not late:
        return []
    return [
        f"{len(late)} requests reached {leaving.identity} later than {BOUNDS['drain_s']} s after"
        f" the confirmation that it drains, the last one ({late[-1][1]}) after {late[-1][0]:.2f} s"
    ]


async def send_requests(case: Case) -> None:
    """Send orders at all entries until cancelled."""
    while True:
        await asyncio.gather(
            *(
                case.clients.request(entry, "/pesanan/1", "POST", data=b"a roll", deadline_ms=2000)
                for entry in case.deployment.entries
                for _ in range(5)
            )
        )
        await asyncio.sleep(0.1)


async def send_unreadable_heartbeat(case: Case) -> None:
    """Send one heartbeat whose text isn't valid UTF-8."""
    body = (
        b'{"upstream":"gud\xed\xa0\x80ng","address":"%s:7000","zone":"prai","version":"v1",'
        b'"slots":3,"state":"ready","slow_start_s_time":0,"sequence":1,"born":%d}'
        % (case.deployment.worker_ip(99).encode(), int(time.time() * 1000))
    )
    for machine in case.deployment.controls:
        status, _ = await case.clients.post_control(machine, "instances.heartbeat&of=agent-7", body)
        case.record.add(
            "heartbeat that can't be read", node=machine.name, body=repr(body), status=status
        )
        if status != 503 and status != 0:
            return


main(play, Path(__file__).resolve().parent)
