"""Guards against acknowledged records that random faults lose, repeat or reorder."""

from __future__ import annotations

import asyncio
import random

from contextlib import suppress

import pytest

from medlarpass.replication import NotLeaderError
from medlarpass.replication import ProposalUnknownError
from packages.medlarpass.tests.replication.memory_file_system import CrashMode
from packages.medlarpass.tests.replication.replica_cluster import Cluster
from packages.medlarpass.tests.replication.replica_cluster import Node

SEEDS = range(1, 7)
REPLICAS = 5
#: Replicas that are down at once at most; the other three are a majority.
MOST_DOWN = 2
CLIENTS = 4
FAULTS = 16
#: Seconds between two faults.
PAUSE = (0.02, 0.15)
#: Seconds after which a client takes the answer of a proposal for lost.
CALL_TIMEOUT = 1.0
LEAST_ACKNOWLEDGED = 20


class Clients:
    """Concurrent proposers of distinct records.

    :param cluster: replicas
    :param chooser: source of the clients' choices
    """

    def __init__(self, cluster: Cluster, chooser: random.Random) -> None:
        self.cluster = cluster
        self.chooser = chooser
        self.count = 0
        #: Records whose proposal was certainly refused.
        self.refused: set[str] = set()
        #: Pairs of records of which the first was acknowledged before the second was proposed.
        self.ordered: list[tuple[str, str]] = []

    async def run(self) -> None:
        """Propose until cancelled, to any running replica."""
        while True:
            await asyncio.sleep(self.chooser.uniform(0, 0.01))
            node = self.chooser.choice(self.cluster.running)
            self.count += 1
            await self._propose(node, f"c{self.count}")

    async def _propose(self, node: Node, payload: str) -> None:
        before = self.cluster.acknowledged[-1:]
        try:
            async with asyncio.timeout(CALL_TIMEOUT):
                await node.replica.propose(payload.encode())
        except NotLeaderError:
            self.refused.add(payload)
            return
        except (ProposalUnknownError, TimeoutError):
            return
        self.cluster.acknowledged.append(payload)
        self.ordered += [(earlier, payload) for earlier in before]


async def inject(cluster: Cluster, chooser: random.Random) -> None:
    """Inject faults that leave a majority of the replicas running."""
    for _ in range(FAULTS):
        await asyncio.sleep(chooser.uniform(*PAUSE))
        down = [node for node in cluster.nodes if not node.running]
        kind = chooser.choice(("kill", "kill", "restart", "cut", "heal", "disturb"))
        if kind == "kill" and len(down) < MOST_DOWN:
            await chooser.choice(cluster.running).kill()
        elif kind == "restart" and down:
            await chooser.choice(down).restart(chooser.choice(list(CrashMode)))
        elif kind == "cut":
            cluster.network.isolate(chooser.choice(cluster.nodes).member.address)
        elif kind == "heal":
            cluster.network.heal()
        elif kind == "disturb":
            cluster.network.lost_share = chooser.uniform(0, 0.2)
            cluster.network.repeated_share = chooser.uniform(0, 0.3)
            cluster.network.max_delay = chooser.uniform(0, 0.03)


@pytest.mark.parametrize("seed", SEEDS)
async def test_acknowledged_records_survive_random_faults(seed: int) -> None:
    chooser = random.Random(seed)
    async with Cluster(REPLICAS) as cluster:
        cluster.network.random = random.Random(f"{seed}/network")
        await cluster.propose()
        clients = Clients(cluster, random.Random(f"{seed}/clients"))
        tasks = [asyncio.create_task(clients.run()) for _ in range(CLIENTS)]
        await inject(cluster, chooser)
        cluster.network.heal()
        for node in cluster.nodes:
            if not node.running:
                await node.restart(chooser.choice(list(CrashMode)))
        # Without it a seed whose faults leave no leader for long would prove nothing.
        await cluster.wait(
            lambda: len(cluster.acknowledged) >= LEAST_ACKNOWLEDGED, "acknowledged records"
        )
        for task in tasks:
            assert not task.done(), "a client failed"
            task.cancel()
        for task in tasks:
            with suppress(asyncio.CancelledError):
                await task
        await cluster.check()
        check_order(cluster, clients)


def check_order(cluster: Cluster, clients: Clients) -> None:
    """Check that the log has no refused record and respects real time."""
    applied = cluster.running[0].machine.applied
    positions = {payload: position for position, payload in enumerate(applied)}
    assert clients.refused.isdisjoint(positions)
    for earlier, later in clients.ordered:
        assert positions[earlier] < positions[later], (earlier, later)
