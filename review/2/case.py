"""A worker starts again under its id, and its first heartbeat arrives late."""

from __future__ import annotations

import asyncio

from pathlib import Path

from review.clients import OwnerCheck
from review.clients import config
from review.frame import Case
from review.frame import main
from review.worker import Worker

KEYS = tuple(range(0, 65_536, 4_096))
WORKERS = 8
#: Workers that start again, one after the other.
RESTARTED = (3, 5, 6)
#: Time between two restarts.
GAP_S = 8.0
#: Time for which a worker is down.
DOWN_S = 0.1
#: By how much the heartbeats of the new lifetime arrive late.
LATE_S = 2.0


async def play(case: Case) -> list[str]:
    """Play the case and return what broke the rule."""
    workers = [
        Worker(
            case.deployment,
            case.record,
            f"i-stok{number}",
            "stok",
            case.deployment.worker_ip(number),
            sharded=True,
        )
        for number in range(WORKERS)
    ]
    await case.deployment.start()
    for worker in workers:
        await worker.start()
    await case.clients.put_config(config(1))
    await case.clients.wait_until_ready()
    await case.clients.wait_until_served("/stok/1", keys=KEYS)
    check = OwnerCheck(workers, case.record)
    watching = asyncio.create_task(check.run())
    # The core is stable and all machines are in touch.
    await asyncio.sleep(4.0)
    assert not check.violations()
    requests = asyncio.create_task(send_requests(case))
    for number in RESTARTED:
        if case.has_trouble:
            await restart(workers[number])
        await asyncio.sleep(GAP_S)
    requests.cancel()
    watching.cancel()
    for worker in workers:
        await worker.crash()
    return check.violations()


async def restart(worker: Worker) -> None:
    """End a worker and start it again; its next heartbeats arrive late."""
    await worker.crash()
    await asyncio.sleep(DOWN_S)
    worker.heartbeat_delay_s = LATE_S
    await worker.start()


async def send_requests(case: Case) -> None:
    """Send requests for all keys until cancelled."""
    while True:
        await asyncio.gather(
            *(
                case.clients.request(entry, "/stok/1", key=key)
                for entry in case.deployment.entries
                for key in KEYS
            )
        )
        await asyncio.sleep(0.2)


main(play, Path(__file__).resolve().parent)
