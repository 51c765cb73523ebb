"""The leader of the core is frozen while keys move; later it leads again."""

import asyncio
import itertools
import sys
import time

from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import rig

#: OWNER counts two holders of the same keys for more than this.
MAX_OVERLAP_SECONDS = 0.5
#: "node_freeze: share (.1) stand still", "for_s: how long (5)".
FREEZE_SECONDS = 5.0
#: `catch_up_s`, after which a machine is no longer lost, and a bit.
CATCH_UP_SECONDS = 4.5
#: No freeze begins later than this, so that the case ends within 120 s.
LAST_FREEZE_SECONDS = 96.0
WORKERS = 6
#: "srv_cut: share (.2) are partitioned from the core [...]; how: one_way": one worker of seven.
CUT_SECONDS = 7.0
#: `drain_s`.
DRAIN_SECONDS = 2.0
STEP_SECONDS = 0.02


class Traffic:
    """Requesters that read keys all the while."""

    def __init__(self, deployment: rig.Deployment) -> None:
        self.deployment = deployment
        self.statuses: dict[int, int] = {}

    async def read(self, number: int) -> None:
        answer = await rig.request(
            self.deployment, "edge-0", "GET", f"/stock/{number}", "stock.example",
            f"a{number:05}", key=number * 40503 % 65536,
        )  # fmt: skip
        status = answer.status if answer is not None else 0
        self.statuses[status] = self.statuses.get(status, 0) + 1

    async def run(self) -> None:
        tasks = set()
        for number in itertools.count():
            task = asyncio.create_task(self.read(number))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(0.04)


async def watch(overlap: rig.Overlap) -> None:
    while True:
        overlap.check()
        await asyncio.sleep(STEP_SECONDS)


async def case(record: rig.Record) -> bool:
    deployment = rig.Deployment(record, edges=1)
    numbers = itertools.count()
    workers: list[rig.Worker] = []
    tasks: list[asyncio.Task] = []

    async def add_worker() -> rig.Worker:
        number = next(numbers)
        worker = rig.Worker(
            deployment, "stok", f"i-stok-{number}", sharded=True, slots=3, work_seconds=0.44,
            zone=["prai", "pasir-gudang", "shah-alam"][number % 3],
        )  # fmt: skip
        await worker.start()
        workers.append(worker)
        return worker

    try:
        await deployment.start_all()
        for _ in range(WORKERS):
            await add_worker()
        routes = [rig.route("stock", "safe", "stok")]
        await rig.publish(deployment, rig.config(1, routes, [rig.service("stok", sharded=True)]))
        await rig.wait_until(
            lambda: sum(last - first + 1 for w in workers for first, last in w.held()) == 65536,
            30, "all keys have a holder",
        )  # fmt: skip
        await deployment.wait_ready("edge-0")
        overlap = rig.Overlap(record, workers)
        traffic = Traffic(deployment)
        tasks += [asyncio.create_task(traffic.run()), asyncio.create_task(watch(overlap))]
        await asyncio.sleep(4.0)
        while record.now() < LAST_FREEZE_SECONDS:
            # A replacement, as in a release: the new worker starts first, the old one leaves.
            await add_worker()
            old = next(worker for worker in workers if worker.state == "ready")
            leader = await deployment.leader()
            if leader is None:
                raise rig.CannotRun("no machine of the core leads")
            released = asyncio.Event()
            old.on_release = lambda worker: released.set()
            tasks.append(asyncio.create_task(old.leave(DRAIN_SECONDS)))
            try:
                async with asyncio.timeout(4.0):
                    await released.wait()
            except TimeoutError:
                record.write(f"{old.identity} was asked to release nothing")
                continue
            if rig.HAS_TROUBLE:
                old.cut_until = time.monotonic() + CUT_SECONDS
                deployment.pause(leader)
                record.write(
                    f"{leader}, which leads, is frozen; what {old.identity} answers the core is lost"
                )
            await asyncio.sleep(FREEZE_SECONDS)
            if rig.HAS_TROUBLE:
                deployment.resume(leader)
                record.write(f"{leader} is thawed; {await deployment.leader()} leads")
            await asyncio.sleep(CATCH_UP_SECONDS)
            if overlap.longest > MAX_OVERLAP_SECONDS:
                break
        record.write(f"answers to reads by status: {traffic.statuses}")
        record.write(f"longest time with two holders of the same keys: {overlap.longest:.2f} s")
        return overlap.longest <= MAX_OVERLAP_SECONDS
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for worker in workers:
            worker.stop()
        await deployment.stop_all()


rig.main(Path(__file__).resolve().parent, case)
