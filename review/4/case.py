"""Another writer's heartbeat names a service that does not exist and the address of a worker."""

from __future__ import annotations

import asyncio
import time

from pathlib import Path

from review.clients import OwnerCheck
from review.clients import config
from review.frame import Case
from review.frame import main
from review.worker import Worker

#: Spread over all workers.
KEYS = tuple(range(0, 65_536, 8_192))


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
        for number in range(4)
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
    if case.has_trouble:
        await send_heartbeat_of_another_writer(case, workers[1])
    until = time.monotonic() + 10.0
    while time.monotonic() < until:
        await asyncio.gather(
            *(
                case.clients.request(entry, "/stok/1", key=key)
                for entry in case.deployment.entries
                for key in KEYS
            )
        )
        await asyncio.sleep(0.2)
    watching.cancel()
    for worker in workers:
        await worker.crash()
    return check.violations()


async def send_heartbeat_of_another_writer(case: Case, worker: Worker) -> None:
    """Send one heartbeat that names no worker to use."""
    body = {
        "upstream": "gudang-lama",
        "address": worker.address,
        "zone": "prai",
        "version": "v1",
        "slots": 3,
        "state": "ready",
        "slow_start_s_time": 0,
        "sequence": 1,
        "born": int(time.time() * 1000),
    }
    for machine in case.deployment.controls:
        status, _ = await case.clients.post_control(machine, "instances.heartbeat&of=agent-7", body)
        case.record.add("heartbeat of another writer", node=machine.name, body=body, status=status)
        if status == 200:
            return


main(play, Path(__file__).resolve().parent)
