"""Replicas in one process, joined by a network that can cut, delay, repeat and reorder calls."""

from __future__ import annotations

import asyncio
import json
import random

from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar

from medlarpass import BootClock
from medlarpass import Clock
from medlarpass.replication import Member
from medlarpass.replication import NotLeaderError
from medlarpass.replication import ProposalUnknownError
from medlarpass.replication import Replica
from medlarpass.replication import ReplicationSettings
from medlarpass.rpc.replication_pb2 import AppendRequest
from medlarpass.rpc.replication_pb2 import AppendResponse
from medlarpass.rpc.replication_pb2 import SnapshotChunk
from medlarpass.rpc.replication_pb2 import SnapshotResponse
from medlarpass.rpc.replication_pb2 import VoteRequest
from medlarpass.rpc.replication_pb2 import VoteResponse
from packages.medlarpass.tests.replication.memory_file_system import CrashMode
from packages.medlarpass.tests.replication.memory_file_system import MemoryFileSystem

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable
    from collections.abc import Callable

Request = TypeVar("Request", VoteRequest, AppendRequest)
Response = TypeVar("Response")
# A limit for conditions, not an expected duration.
LIMIT = 60.0


class ListMachine:
    """Keeps all payloads in order."""

    def __init__(self) -> None:
        self.applied: list[str] = []
        self.restored = 0

    def apply(self, index: int, payload: bytes) -> bytes:
        self.applied.append(payload.decode())
        return b"result of " + payload

    def snapshot(self) -> bytes:
        return json.dumps(self.applied).encode()

    def restore(self, data: bytes) -> None:
        self.applied = json.loads(data)
        self.restored += 1


class Network:
    """Delivers calls between addresses."""

    def __init__(self) -> None:
        self.replicas: dict[str, Replica] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.random = random.Random(1)
        self.lost_share = self.repeated_share = self.max_delay = 0.0
        self.cut_snapshots_after: int | None = None
        self.background: set[asyncio.Task[Any]] = set()

    def isolate(self, address: str) -> None:
        for other in self.replicas:
            self.cuts |= {(address, other), (other, address)}

    def heal(self) -> None:
        self.cuts.clear()
        self.lost_share = self.repeated_share = self.max_delay = 0.0

    def target(self, source: str, address: str) -> Replica:
        if (source, address) in self.cuts or address not in self.replicas:
            raise ConnectionError(f"{source} does not reach {address}")
        return self.replicas[address]

    async def call(
        self,
        source: str,
        address: str,
        request: Request,
        handler: Callable[[Replica, Request], Awaitable[Response]],
    ) -> Response:
        async def deliver() -> Response:
            await asyncio.sleep(self.random.uniform(0, self.max_delay))
            copy = type(request).FromString(request.SerializeToString())
            return await handler(self.target(source, address), copy)

        if self.random.random() < self.lost_share:
            raise ConnectionError("request lost")
        if self.random.random() < self.repeated_share:
            # The repeated call is slower and reaches the replica between later ones.
            task = asyncio.ensure_future(deliver())
            self.background.add(task)
            task.add_done_callback(self._forget)
        answer = await deliver()
        if self.random.random() < self.lost_share or (address, source) in self.cuts:
            raise ConnectionError("answer lost")
        return answer

    def _forget(self, task: asyncio.Task[Any]) -> None:
        self.background.discard(task)
        if not task.cancelled():
            task.exception()


class MemoryTransport:
    def __init__(self, network: Network, address: str) -> None:
        self.network = network
        self.address = address

    async def request_vote(self, member: Member, request: VoteRequest) -> VoteResponse:
        return await self.network.call(self.address, member.address, request, Replica.handle_vote)

    async def append(self, member: Member, request: AppendRequest) -> AppendResponse:
        return await self.network.call(self.address, member.address, request, Replica.handle_append)

    async def install_snapshot(
        self, member: Member, chunks: AsyncIterator[SnapshotChunk]
    ) -> SnapshotResponse:
        async def passed() -> AsyncIterator[SnapshotChunk]:
            count = 0
            async for chunk in chunks:
                if count == self.network.cut_snapshots_after:
                    raise ConnectionError("snapshot cut")
                count += 1
                yield chunk

        target = self.network.target(self.address, member.address)
        return await target.handle_snapshot(passed())


class Node:
    """One VM with its disk."""

    def __init__(self, network: Network, name: str, clock: Clock, options: dict[str, Any]) -> None:
        self.network = network
        self.clock = clock
        self.member = Member(name, f"{name}:1", "domain")
        self.settings = ReplicationSettings(
            name, self.member.address, "domain", Path("/data"), **options
        )
        self.file_system = MemoryFileSystem()
        self.running = False
        self.create()

    def create(self) -> None:
        self.machine = ListMachine()
        transport = MemoryTransport(self.network, self.member.address)
        self.replica = Replica(self.settings, self.machine, transport, self.clock, self.file_system)

    async def start(self) -> None:
        await self.replica.start()
        self.network.replicas[self.member.address] = self.replica
        self.running = True

    async def kill(self) -> None:
        """End the process without a last write."""
        self.file_system.stop_after = 0
        self.file_system.fsync_gate.set()
        self.network.replicas.pop(self.member.address, None)
        self.running = False
        await self.replica.stop(transfer_leadership=False)

    async def restart(self, mode: CrashMode = CrashMode.LOST) -> None:
        """Start again with what the crash has left on the disk."""
        self.file_system = self.file_system.crash(mode)
        self.create()
        await self.start()

    async def restart_empty(self) -> None:
        """Start again with a new disk."""
        self.file_system = MemoryFileSystem()
        self.create()
        await self.start()


class Cluster:
    """Replicas with a common bootstrap.

    :param size: number of voters
    :param clock: makes the clock of a node; a manual clock suppresses all timeouts
    """

    def __init__(self, size: int, clock: Callable[[], Clock] = BootClock, **options: Any) -> None:
        self.network = Network()
        self.clock = clock
        self.options: dict[str, Any] = {
            "heartbeat": 0.02,
            "election_timeout_min": 0.15,
            "election_timeout_max": 0.3,
            "call_timeout": 0.5,
            "transfer_timeout": LIMIT,
            **options,
        }
        self.nodes = [self.node(f"r{number}") for number in range(size)]
        self.acknowledged: list[str] = []
        self.proposed = 0

    def node(self, name: str) -> Node:
        return Node(self.network, name, self.clock(), self.options)

    async def __aenter__(self) -> Cluster:
        for node in self.nodes:
            await node.replica.bootstrap([other.member for other in self.nodes])
            await node.start()
        return self

    async def __aexit__(self, *error: object) -> None:
        for node in self.nodes:
            if node.running:
                await node.kill()

    async def add_node(self, name: str) -> Node:
        node = self.node(name)
        await node.start()
        self.nodes.append(node)
        return node

    @property
    def running(self) -> list[Node]:
        return [node for node in self.nodes if node.running]

    async def wait(self, condition: Callable[[], bool], what: str = "condition") -> None:
        deadline = asyncio.get_running_loop().time() + LIMIT
        while not condition():
            assert asyncio.get_running_loop().time() < deadline, f"waited in vain: {what}"
            for node in self.running:
                assert node.replica.failure is None, node.replica.failure
            await asyncio.sleep(0.005)

    async def leader(self, *, of: list[Node] | None = None) -> Node:
        """Wait for a leader among the nodes that has committed a record of its term."""
        nodes = self.running if of is None else of

        def leaders() -> list[Node]:
            found = [node for node in nodes if node.replica.is_leader and node.running]
            return [
                node
                for node in found
                if (leadership := node.replica.state.leadership) is not None
                and node.replica.commit_index >= leadership.start_index
            ]

        await self.wait(lambda: bool(leaders()), "leader")
        return max(leaders(), key=lambda node: node.replica.term)

    async def propose(self, *, of: list[Node] | None = None) -> str:
        """Propose new payloads until one is acknowledged."""
        while True:
            node = await self.leader(of=of)
            self.proposed += 1
            payload = f"p{self.proposed}"
            try:
                async with asyncio.timeout(LIMIT):
                    result = await node.replica.propose(payload.encode())
            except (NotLeaderError, ProposalUnknownError):
                continue
            assert result == b"result of " + payload.encode()
            self.acknowledged.append(payload)
            return payload

    async def check(self) -> None:
        """All running replicas apply the same payloads, each once and all acknowledged ones."""
        await self.propose()
        last = self.acknowledged[-1]
        await self.wait(
            lambda: all(last in node.machine.applied for node in self.running), "equal state"
        )
        first = self.running[0].machine.applied
        for node in self.running:
            assert node.machine.applied[: len(first)] == first[: len(node.machine.applied)]
            assert len(set(node.machine.applied)) == len(node.machine.applied)
            assert set(self.acknowledged) <= set(node.machine.applied)
