"""Simulation of a range keeper and of servers that follow the grant protocol."""

from __future__ import annotations

import asyncio
import random

from types import SimpleNamespace
from typing import TYPE_CHECKING
from typing import Any

import pytest

from medlarpass import ManualClock
from medlarpass.control import ControlState
from medlarpass.fleet import ServerHeartbeat
from medlarpass.publication import Publication
from medlarpass.ranges import KEY_COUNT
from medlarpass.replication import NotLeaderError
from medlarpass.rpc import control_pb2
from medlarpass_daemon.control.fleet.exceptions import AnotherServerError
from medlarpass_daemon.control.fleet.exceptions import GrantOutdatedError
from medlarpass_daemon.control.fleet.exceptions import HigherFenceError
from medlarpass_daemon.control.fleet.exceptions import ServerCallLostError
from medlarpass_daemon.control.fleet.exceptions import ServerNotReachedError
from medlarpass_daemon.control.fleet.fleet_state import FleetState
from medlarpass_daemon.control.fleet.range_keeper import RangeKeeper
from medlarpass_daemon.exceptions import ControlUnavailableError
from medlarpass_daemon.exceptions import UnknownResultError

if TYPE_CHECKING:
    from collections.abc import Callable

    from medlarpass.ranges import RangeAssignment

GRANT_LEASE_SECONDS = 4.0
#: Ratio by which the slowest server's clock runs slow.
CLOCK_DRIFT_RATIO = 0.02
POOL = "stock"
STEP_SECONDS = 0.1
#: Keys whose ownership is checked.
SAMPLED_KEYS = range(0, KEY_COUNT, 997)


class Grant:
    """A grant that a server has received."""

    def __init__(self, assignment: RangeAssignment, expires_at: float) -> None:
        self.first = assignment.first
        self.last = assignment.last
        self.fence = assignment.fence
        self.expires_at = expires_at


class SimulatedServer:
    """A server with a slow clock, which checks fences."""

    def __init__(self, identity: str, clock: ManualClock) -> None:
        self.identity = identity
        self.clock = clock
        self.incarnation = 1
        self.port = int(identity[1:]) + 1
        self.sequence = 0
        self.is_up = True
        self.is_unreachable = False
        #: Whether releases on open connections fail, for example by a copy of another response.
        self.serves_new_connections_only = False
        #: Called when a release on an open connection fails.
        self.on_refused_release: Callable[[], None] = lambda: None
        #: Time until which heartbeats do not arrive.
        self.silent_until = 0.0
        self.warmup_seconds = 0.0
        self.domain = "d"
        #: Time that the server takes to finish running requests before it confirms a release.
        self.release_seconds = 0.0
        self.grants: list[Grant] = []
        #: First key, last key and fence of all calls to this incarnation.
        self.seen_fences: list[tuple[int, int, int]] = []
        #: Time of the delivery, assignment and expiry.
        self.delayed_grants: list[tuple[float, RangeAssignment, float]] = []

    def heartbeat(self, is_leaving: bool = False) -> ServerHeartbeat:
        self.sequence += 1
        return ServerHeartbeat(
            self.identity,
            self.incarnation,
            self.sequence,
            POOL,
            "10.0.0.1",
            self.port,
            self.domain,
            3,
            is_leaving,
            self.warmup_seconds,
        )

    def receive_grant(self, assignment: RangeAssignment) -> None:
        """Apply a grant without delay."""
        self.apply_grant(
            assignment, self.clock.now() + GRANT_LEASE_SECONDS * (1 + CLOCK_DRIFT_RATIO)
        )

    def apply_grant(self, assignment: RangeAssignment, expires_at: float) -> None:
        newest = max(
            (
                fence
                for first, last, fence in self.seen_fences
                if first <= assignment.last and assignment.first <= last
            ),
            default=0,
        )
        if newest > assignment.fence:
            raise HigherFenceError(self.identity)
        self.seen_fences.append((assignment.first, assignment.last, assignment.fence))
        self.grants.append(Grant(assignment, expires_at))

    def release(self, assignment: RangeAssignment) -> None:
        self.seen_fences.append((assignment.first, assignment.last, assignment.fence))
        remaining = []
        for grant in self.grants:
            if grant.last < assignment.first or assignment.last < grant.first:
                remaining.append(grant)
                continue
            for first, last in (
                (grant.first, assignment.first - 1),
                (assignment.last + 1, grant.last),
            ):
                if first <= last:
                    part = Grant(assignment, grant.expires_at)
                    part.first, part.last, part.fence = first, last, grant.fence
                    remaining.append(part)
        self.grants = remaining

    def apply_delayed_grants(self) -> None:
        """Apply the delayed grants that are due."""
        now = self.clock.now()
        due = [delayed for delayed in self.delayed_grants if delayed[0] <= now]
        self.delayed_grants = [delayed for delayed in self.delayed_grants if delayed[0] > now]
        for _, assignment, expires_at in due:
            try:
                self.apply_grant(assignment, expires_at)
            except HigherFenceError:
                continue

    def owns(self, key: int) -> bool:
        now = self.clock.now()
        return self.is_up and any(
            grant.first <= key <= grant.last and grant.expires_at > now for grant in self.grants
        )

    def restart(self) -> None:
        """Start a new incarnation without grants."""
        self.incarnation += 1
        self.sequence = 0
        self.grants = []
        self.seen_fences = []
        self.delayed_grants = []
        self.is_up = True


class SimulatedServerCalls:
    """Calls to the simulated servers, some of which fail."""

    def __init__(self, simulation: RangeKeeperSimulation) -> None:
        self.simulation = simulation

    async def grant(
        self,
        server: ServerHeartbeat,
        assignment: RangeAssignment,
        hold: float,
        handover: str,
        timeout: float,
        needs_proof: bool,
        is_in_force: Callable[[], bool],
    ) -> None:
        if self.simulation.connecting is not None:
            await self.simulation.connecting.wait()
        if not is_in_force():
            raise GrantOutdatedError(server.identity)
        target = self.simulation.reach(server)
        outcome = self.simulation.rng.random()
        if outcome < self.simulation.loss_ratio / 3:
            raise ServerCallLostError(server.identity)
        if outcome < self.simulation.loss_ratio * 2 / 3:
            target.receive_grant(assignment)
            raise ServerCallLostError(server.identity)
        if outcome < self.simulation.loss_ratio:
            now = target.clock.now()
            due = now + self.simulation.rng.uniform(0.5, 6.0)
            target.delayed_grants.append(
                (due, assignment, now + GRANT_LEASE_SECONDS * (1 + CLOCK_DRIFT_RATIO))
            )
            raise ServerCallLostError(server.identity)
        target.receive_grant(assignment)

    async def release(
        self,
        server: ServerHeartbeat,
        assignment: RangeAssignment,
        timeout: float,
        shares_connection: bool,
    ) -> str:
        target = self.simulation.reach(server)
        if shares_connection and target.serves_new_connections_only:
            target.on_refused_release()
            raise ServerCallLostError(server.identity)
        if self.simulation.rng.random() < self.simulation.loss_ratio / 2:
            raise ServerCallLostError(server.identity)
        if target.release_seconds:
            try:
                await self.simulation.wait(target.release_seconds)
            except asyncio.CancelledError as error:
                if not self.simulation.loses_cancellations:
                    raise
                raise ServerCallLostError(server.identity) from error
        target.release(assignment)
        return "warm"

    async def close(self) -> None:
        return


class SimulatedLog:
    """A log that applies commands at once, and delays their results by event loop turns."""

    def __init__(self, state: ControlState) -> None:
        self.state = state
        self.result_delay_turns = 0
        #: Whether another replica leads; proposals of the former leader are not appended then.
        self.is_deposed = False
        self.replica = SimpleNamespace(
            is_leader=True,
            term=1,
            read_index=self.read_index,
            wait_applied=self.wait_applied,
            confirm_leadership=self.confirm_leadership,
        )

    async def read_index(self) -> int:
        if not self.replica.is_leader:
            raise NotLeaderError(None)
        return self.state.applied_index

    async def wait_applied(self, index: int) -> None:
        return

    async def confirm_leadership(self) -> None:
        if not self.replica.is_leader:
            raise NotLeaderError(None)

    async def propose(self, command: control_pb2.Command) -> control_pb2.CommandResult:
        if self.is_deposed:
            raise ControlUnavailableError("another replica leads")
        result = self.state.apply(self.state.applied_index + 1, command.SerializeToString())
        for _ in range(self.result_delay_turns):
            await asyncio.sleep(0)
        if self.is_deposed:
            raise UnknownResultError("leadership ended before the commit")
        return control_pb2.CommandResult.FromString(result)


class RangeKeeperSimulation:
    """A range keeper with simulated servers and a manual clock."""

    def __init__(self, count: int, seed: int = 0, loss_ratio: float = 0.0) -> None:
        self.rng = random.Random(seed)
        self.loss_ratio = loss_ratio
        self.clock = ManualClock(1000.0)
        #: Times and events of calls that wait.
        self.waiting: list[tuple[float, asyncio.Event]] = []
        #: Set when connections to servers are ready; None when they are at once.
        self.connecting: asyncio.Event | None = None
        #: Whether the timeout of a release replaces its cancellation, which comes at the same time.
        self.loses_cancellations = False
        self.servers = {f"s{n}": SimulatedServer(f"s{n}", self.clock) for n in range(count)}
        self.state = ControlState()
        publication = Publication.from_document(
            {
                "version": 1,
                "key_header": "Key",
                "routes": [],
                "pools": [{"name": POOL, "owned": True, "connections": 100}],
                "limits": {},
            }
        )
        self.state.publication = control_pb2.Publish(version=1, document=publication.to_json())
        self.log = SimulatedLog(self.state)
        self.start_leader()

    def start_leader(self) -> None:
        """Start a new leader, which only knows the log."""
        self.fleet = FleetState(self.state, self.clock)
        settings: Any = SimpleNamespace(
            hold=GRANT_LEASE_SECONDS,
            heartbeat=0.5,
            silent_after=3,
            capacity_planning=False,
            owner_limits=False,
        )
        log: Any = self.log
        self.keeper = RangeKeeper(
            log, self.fleet, SimulatedServerCalls(self), settings, 0.6, self.clock
        )
        self.keeper.start_term()
        self.keeper.lease.expires_at = float("inf")

    def change_leader(self) -> None:
        """Depose the leader and start another one."""
        self.keeper.lease.expires_at = 0.0
        self.log.is_deposed = True
        term, result_delay_turns = self.log.replica.term, self.log.result_delay_turns
        self.log = SimulatedLog(self.state)
        self.log.replica.term, self.log.result_delay_turns = term + 1, result_delay_turns
        self.start_leader()

    async def step(self, heartbeats: bool = True) -> None:
        """Advance the simulation by a tenth of a second."""
        self.clock.advance(STEP_SECONDS)
        for due, event in self.waiting:
            if due <= self.clock.now():
                event.set()
        self.waiting = [waiting for waiting in self.waiting if not waiting[1].is_set()]
        for server in self.servers.values():
            server.apply_delayed_grants()
            is_silent = server.is_unreachable or self.clock.now() < server.silent_until
            if heartbeats and server.is_up and not is_silent:
                self.receive(server.heartbeat())
        await self.keeper.step()
        for _ in range(20):
            await asyncio.sleep(0)

    async def wait(self, seconds: float) -> None:
        """Wait until the simulated time has passed."""
        event = asyncio.Event()
        self.waiting.append((self.clock.now() + seconds, event))
        await event.wait()

    def receive(self, heartbeat: ServerHeartbeat) -> None:
        """Record a heartbeat as the leader does."""
        if self.fleet.is_contested(heartbeat):
            self.fleet.claims.add(heartbeat)
            return
        self.fleet.directory.record_heartbeat(heartbeat)
        changed = self.fleet.directory.update_cold(heartbeat)
        if changed is not None:
            self.fleet.limits.cold_changed(changed)

    async def run(self, seconds: float) -> None:
        """Advance the simulation and check that no key has two owners."""
        for _ in range(round(seconds / STEP_SECONDS)):
            await self.step()
            self.check_ownership()

    def reach(self, server: ServerHeartbeat) -> SimulatedServer:
        """Return the server that a call reaches; calls name an identity, not an incarnation."""
        target = next(
            (known for known in self.servers.values() if known.is_up and known.port == server.port),
            None,
        )
        if target is None or target.is_unreachable:
            raise ServerNotReachedError(server.identity)
        if target.identity != server.identity:
            raise AnotherServerError(server.identity)
        return target

    def owners(self, key: int) -> list[str]:
        return [name for name, server in self.servers.items() if server.owns(key)]

    def check_ownership(self) -> None:
        for key in SAMPLED_KEYS:
            owners = self.owners(key)
            assert len(owners) <= 1, f"key {key} is owned by {owners}"

    def count_unowned(self) -> int:
        """Return the number of sampled keys without an owner."""
        return sum(not self.owners(key) for key in SAMPLED_KEYS)


@pytest.fixture
def new_simulation() -> type[RangeKeeperSimulation]:
    """Return the class, because the tests use different parameters."""
    return RangeKeeperSimulation
