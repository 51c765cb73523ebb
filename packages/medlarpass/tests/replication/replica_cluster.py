"""In-process cluster on a simulated network that can drop, delay, repeat and reorder calls."""

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
WAIT_TIMEOUT_SECONDS = 60.0


class ListStateMachine:
    """State machine that stores all payloads in order."""

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
    """Simulated network that delivers calls between addresses."""

    def __init__(self) -> None:
        self.replicas: dict[str, Replica] = {}
        self.partitioned_links: set[tuple[str, str]] = set()
        self.rng = random.Random(1)
        self.loss_ratio = self.duplicate_ratio = self.max_delay_seconds = 0.0
        self.snapshot_chunk_limit: int | None = None
        self.background_tasks: set[asyncio.Task[Any]] = set()

    def isolate(self, address: str) -> None:
        for other in self.replicas:
            self.partitioned_links |= {(address, other), (other, address)}

    def heal(self) -> None:
        self.partitioned_links.clear()
        self.loss_ratio = self.duplicate_ratio = self.max_delay_seconds = 0.0

    def target(self, source: str, address: str) -> Replica:
        if (source, address) in self.partitioned_links or address not in self.replicas:
            raise ConnectionError(f"{source} cannot reach {address}")
        return self.replicas[address]

    async def call(
        self,
        source: str,
        address: str,
        request: Request,
        handler: Callable[[Replica, Request], Awaitable[Response]],
    ) -> Response:
        async def deliver() -> Response:
            await asyncio.sleep(self.rng.uniform(0, self.max_delay_seconds))
            copy = type(request).FromString(request.SerializeToString())
            return await handler(self.target(source, address), copy)

        if self.rng.random() < self.loss_ratio:
            raise ConnectionError("request lost")
        if self.rng.random() < self.duplicate_ratio:
            # The repeated call has its own delay and may arrive after later calls.
            task = asyncio.ensure_future(deliver())
            self.background_tasks.add(task)
            task.add_done_callback(self._on_background_task_done)
        response = await deliver()
        if self.rng.random() < self.loss_ratio or (address, source) in self.partitioned_links:
            raise ConnectionError("response lost")
        return response

    def _on_background_task_done(self, task: asyncio.Task[Any]) -> None:
        self.background_tasks.discard(task)
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
        async def limited_chunks() -> AsyncIterator[SnapshotChunk]:
            count = 0
            async for chunk in chunks:
                if count == self.network.snapshot_chunk_limit:
                    raise ConnectionError("snapshot transfer interrupted")
                count += 1
                yield chunk

        target = self.network.target(self.address, member.address)
        return await target.handle_snapshot(limited_chunks())


class Node:
    """One VM with its disk and replica process."""

    def __init__(self, network: Network, name: str, clock: Clock, options: dict[str, Any]) -> None:
        self.network = network
        self.clock = clock
        self.member = Member(name, f"{name}:1", "domain")
        self.settings = ReplicationSettings(
            name, self.member.address, "domain", Path("/data"), **options
        )
        self.file_system = MemoryFileSystem()
        self.running = False
        self.create_replica()

    def create_replica(self) -> None:
        self.state_machine = ListStateMachine()
        transport = MemoryTransport(self.network, self.member.address)
        self.replica = Replica(
            self.settings, self.state_machine, transport, self.clock, self.file_system
        )

    async def start(self) -> None:
        await self.replica.start()
        self.network.replicas[self.member.address] = self.replica
        self.running = True

    async def kill(self) -> None:
        """Kill the process; no further write takes effect."""
        self.file_system.stop_after = 0
        self.file_system.fsync_gate.set()
        self.network.replicas.pop(self.member.address, None)
        self.running = False
        await self.replica.stop(transfer_leadership=False)

    async def restart(self, mode: CrashMode = CrashMode.LOST) -> None:
        """Start the process again with the disk content that the crash left."""
        self.file_system = self.file_system.crash(mode)
        self.create_replica()
        await self.start()

    async def restart_empty(self) -> None:
        """Start the process again with an empty disk."""
        self.file_system = MemoryFileSystem()
        self.create_replica()
        await self.start()


class Cluster:
    """Cluster of replicas bootstrapped with the same members.

    :param size: number of voters
    :param clock: creates the clock of a node; a manual clock suppresses all timeouts
    """

    def __init__(self, size: int, clock: Callable[[], Clock] = BootClock, **options: Any) -> None:
        self.network = Network()
        self.clock = clock
        self.options: dict[str, Any] = {
            "heartbeat": 0.02,
            "election_timeout_min": 0.15,
            "election_timeout_max": 0.3,
            "call_timeout": 0.5,
            "transfer_timeout": WAIT_TIMEOUT_SECONDS,
            **options,
        }
        self.nodes = [self.create_node(f"r{number}") for number in range(size)]
        self.acknowledged: list[str] = []
        self.proposed = 0

    def create_node(self, name: str) -> Node:
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
        node = self.create_node(name)
        await node.start()
        self.nodes.append(node)
        return node

    @property
    def running(self) -> list[Node]:
        return [node for node in self.nodes if node.running]

    async def wait(self, condition: Callable[[], bool], what: str = "condition") -> None:
        deadline = asyncio.get_running_loop().time() + WAIT_TIMEOUT_SECONDS
        while not condition():
            assert asyncio.get_running_loop().time() < deadline, f"timed out waiting for: {what}"
            for node in self.running:
                assert node.replica.failure is None, node.replica.failure
            await asyncio.sleep(0.005)

    async def leader(self, *, of: list[Node] | None = None) -> Node:
        """Wait for a leader among the nodes that committed a record of its term, and return it."""
        nodes = self.running if of is None else of

        def leaders() -> list[Node]:
            leading = [node for node in nodes if node.replica.is_leader and node.running]
            return [
                node
                for node in leading
                if (leadership := node.replica.state.leadership) is not None
                and node.replica.commit_index >= leadership.start_index
            ]

        await self.wait(lambda: bool(leaders()), "leader")
        return max(leaders(), key=lambda node: node.replica.term)

    async def propose(self, *, of: list[Node] | None = None) -> str:
        """Propose new payloads until one is acknowledged, and return it."""
        while True:
            node = await self.leader(of=of)
            self.proposed += 1
            payload = f"p{self.proposed}"
            try:
                async with asyncio.timeout(WAIT_TIMEOUT_SECONDS):
                    result = await node.replica.propose(payload.encode())
            except (NotLeaderError, ProposalUnknownError):
                continue
            assert result == b"result of " + payload.encode()
            self.acknowledged.append(payload)
            return payload

    async def check(self) -> None:
        """Check that all replicas applied the same payloads once and lack no acknowledged one."""
        await self.propose()
        last = self.acknowledged[-1]
        await self.wait(
            lambda: all(last in node.state_machine.applied for node in self.running), "equal state"
        )
        first = self.running[0].state_machine.applied
        for node in self.running:
            assert (
                node.state_machine.applied[: len(first)] == first[: len(node.state_machine.applied)]
            )
            assert len(set(node.state_machine.applied)) == len(node.state_machine.applied)
            assert set(self.acknowledged) <= set(node.state_machine.applied)
