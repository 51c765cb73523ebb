"""A heartbeat with a field missing names the address of a live worker that holds keys."""

import asyncio
import sys
import time

from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import rig

#: OWNER counts two holders of the same keys for more than this.
MAX_OVERLAP_SECONDS = 0.5
WATCH_SECONDS = 10.0
STEP_SECONDS = 0.02


async def send_reads(deployment: rig.Deployment, statuses: dict) -> None:
    number = 0
    while True:
        number += 1
        answer = await rig.request(
            deployment, "edge-0", "GET", f"/stock/{number}", "stock.example", f"a{number:05}",
            key=number * 4099 % 65536,
        )  # fmt: skip
        status = answer.status if answer is not None else 0
        statuses[status] = statuses.get(status, 0) + 1
        await asyncio.sleep(0.05)


async def case(record: rig.Record) -> bool:
    deployment = rig.Deployment(record, edges=1)
    stock = [rig.Worker(deployment, "stok", f"i-stok-{n}", sharded=True) for n in range(4)]
    orders = [rig.Worker(deployment, "pesanan", f"i-pesanan-{n}") for n in range(2)]
    statuses: dict[int, int] = {}
    reads = None
    try:
        await deployment.start_all()
        for worker in [*stock, *orders]:
            await worker.start()
        routes = [rig.route("stock", "safe", "stok"), rig.route("order", "unsafe", "pesanan")]
        services = [rig.service("stok", sharded=True), rig.service("pesanan")]
        await rig.publish(deployment, rig.config(1, routes, services))
        await rig.wait_until(
            lambda: sum(last - first + 1 for w in stock for first, last in w.held()) == 65536,
            30, "all keys have a holder",
        )  # fmt: skip
        await deployment.wait_ready("edge-0")
        for worker in stock:
            record.write(f"{worker.identity} at {worker.address} holds {worker.held()}")
        reads = asyncio.create_task(send_reads(deployment, statuses))
        overlap = rig.Overlap(record, stock)
        # Calm for longer than one hold, so that any keys on the move at the start have arrived.
        end = time.monotonic() + 8.0
        while time.monotonic() < end:
            overlap.check()
            await asyncio.sleep(STEP_SECONDS)
        if rig.HAS_TROUBLE:
            # Every field but `version` is there and has the type of PROTOCOL.md.
            heartbeat = {
                "upstream": "pesanan", "address": stock[0].address, "zone": "prai", "slots": 3,
                "state": "ready", "slow_start_s_time": 0, "sequence": 1,
                "born": time.time_ns() // 1_000_000,
            }  # fmt: skip
            answer = await deployment.call_control("instances.heartbeat&of=i-other", heartbeat)
            record.write(f"heartbeat without version: {heartbeat}")
            record.write(f"answered with {answer.status if answer else None}")
        end = time.monotonic() + WATCH_SECONDS
        while time.monotonic() < end:
            overlap.check()
            await asyncio.sleep(STEP_SECONDS)
        for worker in stock:
            record.write(f"{worker.identity} at {worker.address} holds {worker.held()}")
        record.write(f"answers to reads by status: {statuses}")
        record.write(f"longest time with two holders of the same keys: {overlap.longest:.2f} s")
        return overlap.longest <= MAX_OVERLAP_SECONDS
    finally:
        if reads is not None:
            reads.cancel()
        for worker in [*stock, *orders]:
            worker.stop()
        await deployment.stop_all()


rig.main(Path(__file__).resolve().parent, case)
