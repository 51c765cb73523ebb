"""Guards against random faults that lose, repeat or reorder acknowledged records."""

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
REPLICA_COUNT = 5
#: Maximum number of replicas stopped at once; the other three are a majority.
MAX_STOPPED_COUNT = 2
CLIENT_COUNT = 4
FAULT_COUNT = 16
#: Minimum and maximum time between two faults.
FAULT_INTERVAL_SECONDS = (0.02, 0.15)
#: Time after which a client treats the result of a proposal as unknown.
PROPOSAL_TIMEOUT_SECONDS = 1.0
MIN_ACKNOWLEDGED_COUNT = 20


class Clients:
    """Clients that concurrently propose distinct records.

    :param cluster: cluster under test
    :param rng: random number generator for the clients' choices
    """

    def __init__(self, cluster: Cluster, rng: random.Random) -> None:
        self.cluster = cluster
        self.rng = rng
        self.count = 0
        #: Records whose proposal was refused, so that they must not be in the log.
        self.refused: set[str] = set()
        #: Pairs of records; the first was acknowledged before the second was proposed.
        self.ordered_pairs: list[tuple[str, str]] = []

    async def run(self) -> None:
        """Propose records to random running replicas until cancelled."""
        while True:
            await asyncio.sleep(self.rng.uniform(0, 0.01))
            node = self.rng.choice(self.cluster.running)
            self.count += 1
            await self._propose(node, f"c{self.count}")

    async def _propose(self, node: Node, payload: str) -> None:
        earlier_records = self.cluster.acknowledged[-1:]
        try:
            async with asyncio.timeout(PROPOSAL_TIMEOUT_SECONDS):
                await node.replica.propose(payload.encode())
        except NotLeaderError:
            self.refused.add(payload)
            return
        except (ProposalUnknownError, TimeoutError):
            return
        self.cluster.acknowledged.append(payload)
        self.ordered_pairs += [(earlier, payload) for earlier in earlier_records]


async def inject_faults(cluster: Cluster, rng: random.Random) -> None:
    """Inject faults that leave a majority of the replicas running."""
    for _ in range(FAULT_COUNT):
        await asyncio.sleep(rng.uniform(*FAULT_INTERVAL_SECONDS))
        stopped = [node for node in cluster.nodes if not node.running]
        fault = rng.choice(("kill", "kill", "restart", "cut", "heal", "disturb"))
        if fault == "kill" and len(stopped) < MAX_STOPPED_COUNT:
            await rng.choice(cluster.running).kill()
        elif fault == "restart" and stopped:
            await rng.choice(stopped).restart(rng.choice(list(CrashMode)))
        elif fault == "cut":
            cluster.network.isolate(rng.choice(cluster.nodes).member.address)
        elif fault == "heal":
            cluster.network.heal()
        elif fault == "disturb":
            cluster.network.loss_ratio = rng.uniform(0, 0.2)
            cluster.network.duplicate_ratio = rng.uniform(0, 0.3)
            cluster.network.max_delay_seconds = rng.uniform(0, 0.03)


@pytest.mark.parametrize("seed", SEEDS)
async def test_acknowledged_records_survive_random_faults(seed: int) -> None:
    rng = random.Random(seed)
    async with Cluster(REPLICA_COUNT) as cluster:
        cluster.network.rng = random.Random(f"{seed}/network")
        await cluster.propose()
        clients = Clients(cluster, random.Random(f"{seed}/clients"))
        tasks = [asyncio.create_task(clients.run()) for _ in range(CLIENT_COUNT)]
        await inject_faults(cluster, rng)
        cluster.network.heal()
        for node in cluster.nodes:
            if not node.running:
                await node.restart(rng.choice(list(CrashMode)))
        # Without a minimum, a seed whose faults long prevent a leader would check too few records.
        await cluster.wait(
            lambda: len(cluster.acknowledged) >= MIN_ACKNOWLEDGED_COUNT, "acknowledged records"
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
    """Check that the log contains no refused record and keeps the real-time order."""
    applied = cluster.running[0].state_machine.applied
    positions = {payload: position for position, payload in enumerate(applied)}
    assert clients.refused.isdisjoint(positions)
    for earlier, later in clients.ordered_pairs:
        assert positions[earlier] < positions[later], (earlier, later)
