"""Guards against two servers that accept work for one assignment at the same true time.

A domain of three entries, its servers and the control leader run on clocks that deviate up to 1%
from true time. Messages are lost, repeated and delivered in any order; processes freeze (they
simply do nothing) and restart.
"""

from __future__ import annotations

import asyncio
import random

from contextlib import ExitStack
from contextlib import suppress

import pytest

from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from medlarpass import ManualClock
from medlarpass.ownership import Assignment
from medlarpass.ownership import Coordinator
from medlarpass.ownership import DelegationClock
from medlarpass.ownership import DelegationTable
from medlarpass.ownership import Fence
from medlarpass.ownership import GrantHolder
from medlarpass.ownership import LeaseAcceptor
from medlarpass.ownership import LeaseProposer
from medlarpass.ownership.exceptions import OwnershipError
from medlarpass.rpc import control_pb2
from medlarpass.rpc import domain_pb2

POOL = "stock"
SHARDS = 3
HOT, COLD = "hot", "cold"
DOMAIN, OTHER = "d1", "d2"
LEASE_TERM = 0.4
SESSION_TERM = 0.6
DELEGATION_TERM = 2.0
RATES = (0.99, 1.0, 1.01)


class Link:
    """Calls the acceptor of an entry unless the link is cut."""

    def __init__(self, world: World, source: int, index: int) -> None:
        self.world, self.source, self.index = world, source, index

    def _acceptor(self) -> LeaseAcceptor:
        ends = {self.source, self.index}
        if len(ends) == 2 and ends & self.world.cut:
            raise ConnectionError("link is cut")
        return self.world.acceptors[self.index]

    async def prepare(self, request):
        return self._acceptor().prepare(request)

    async def accept(self, request):
        return self._acceptor().accept(request)

    async def replicate_grants(self, request):
        return self._acceptor().replicate_grants(request)


class Process:
    """One start of a server."""

    def __init__(self, world: World, identity: str, incarnation: int, rate: float) -> None:
        self.identity, self.incarnation = identity, incarnation
        self.clock = world.new_clock(rate)
        self.holder = GrantHolder(self.clock)
        self.works: list[tuple[int, str, ExitStack]] = []
        self.outlived: set[int] = set()

    def status(self) -> control_pb2.ServerStatus:
        return control_pb2.ServerStatus(
            identity=self.identity,
            incarnation=self.incarnation,
            ip="127.0.0.1",
            port=1000 + self.incarnation,
        )

    def accepted_fence(self, shard: int, key: str) -> Fence | None:
        for fence in set(self.holder.grants.values()):
            if self.holder.check(POOL, shard, key, fence) is None:
                return fence
        return None

    def works_validly(self, shard: int, key: str) -> bool:
        """Tell whether work runs that the session has covered without a gap since its start.

        Work that outlives its session may overlap with the next owner; entries drop its answer.
        """
        if self.clock.now() >= self.holder.valid_until:
            self.outlived.update(id(each) for each in self.works)
        return any(
            each[:2] == (shard, key) and id(each) not in self.outlived for each in self.works
        )


class World:
    def __init__(self, rates: list[float]) -> None:
        self.loop = asyncio.new_event_loop()
        self.clocks: list[tuple[ManualClock, float]] = []
        self.true_ms = 0
        self.cut: set[int] = set()
        self.frozen: set[int] = set()
        self.ids = 0
        self.entry_clocks = [self.new_clock(rate) for rate in rates[:3]]
        self.acceptors = [LeaseAcceptor(clock, LEASE_TERM) for clock in self.entry_clocks]
        self.proposers: list[LeaseProposer] = []
        self.coordinators: list[Coordinator] = []
        for index in range(3):
            self.proposers.append(self.new_proposer(index))
            self.coordinators.append(self.new_coordinator(index))
        self.leader_clock = self.new_clock(rates[3])
        self.table = DelegationTable()
        self.delegation_clock = DelegationClock(self.leader_clock)
        self.freeing: list[control_pb2.FreeShards] = []
        self.processes = [
            Process(self, name, 1, rate) for name, rate in zip("abc", rates[4:], strict=True)
        ]
        self.requests: list[tuple] = []
        self.responses: list[tuple] = []
        self.reports: list[tuple] = []
        self.highest: dict[tuple[int, str], Fence] = {}
        self.accepted = 0

    # Clocks and processes

    def new_clock(self, rate: float) -> ManualClock:
        clock = ManualClock(1000.0)
        self.clocks.append((clock, rate))
        return clock

    def new_id(self) -> str:
        self.ids += 1
        return f"s{self.ids}"

    def new_proposer(self, index: int) -> LeaseProposer:
        links = {f"e{each}": Link(self, index, each) for each in range(3)}
        start = 1_000_000 + self.true_ms
        return LeaseProposer(f"e{index}", start, links, self.entry_clocks[index], LEASE_TERM)

    def new_coordinator(self, index: int) -> Coordinator:
        holder = self.proposers[index].is_holder
        return Coordinator(self.entry_clocks[index], SESSION_TERM, holder, self.new_id)

    def advance(self, ms: int) -> None:
        self.true_ms += ms
        for clock, rate in self.clocks:
            clock.advance(ms / 1000 * rate)

    def restart_entry(self, index: int) -> None:
        self.acceptors[index] = LeaseAcceptor(self.entry_clocks[index], LEASE_TERM)
        self.proposers[index] = self.new_proposer(index)
        self.coordinators[index] = self.new_coordinator(index)

    def restart_server(self, index: int) -> None:
        # The old process stays, as a frozen VM that comes back would.
        old = self.processes[index]
        newest = max(p.incarnation for p in self.processes if p.identity == old.identity)
        self.processes.append(Process(self, old.identity, newest + 1, 1.0))

    # Coordinator lease

    def acquire(self, index: int) -> None:
        proposer = self.proposers[index]
        if not proposer.is_holder() and self.loop.run_until_complete(proposer.acquire()):
            self.coordinators[index].elected(
                proposer.adopted, proposer.ballot, proposer.needs_new_epochs
            )

    def renew(self, index: int) -> None:
        self.loop.run_until_complete(self.proposers[index].renew())

    def replicate(self, index: int) -> None:
        proposer, grants = self.proposers[index], self.coordinators[index].grants
        if not proposer.is_holder() or grants.epochs_pending:
            return
        record = grants.record(proposer.ballot)
        if self.loop.run_until_complete(proposer.replicate(record)):
            grants.commit(record.version)

    # Sessions

    def send_heartbeat(self, process: Process, entry: int) -> None:
        ticket = process.holder.begin()
        request = domain_pb2.HeartbeatRequest(
            identity=process.identity,
            incarnation=process.incarnation,
            session=ticket.session,
            seen=ticket.seen,
            server=process.status(),
            released=[
                domain_pb2.ReleasedGrant(
                    pool=each.pool, shard=each.shard, key=each.key or "", fence=fence.to_int()
                )
                for each, fence in ticket.released
            ],
        )
        self.requests.append((process, ticket, request, entry))

    def deliver_request(self, process, ticket, request, entry: int) -> None:
        coordinator = self.coordinators[entry]
        try:
            if request.session == "":
                opened = coordinator.announce(request.server)
                if opened is not None:
                    self.responses.append((process, ticket, opened[0].session, opened[1]))
                return
            coordinator.confirm(request)
        except OwnershipError as error:
            failure = control_pb2.Failure(code=error.code)
            refused = domain_pb2.HeartbeatResponse(coordinator=True, failure=failure)
            self.responses.append((process, ticket, refused, 0))
            return
        self.responses.append((process, ticket, coordinator.answer(request), 0))

    def deliver_response(self, process: Process, ticket, answer, term_ms: int) -> None:
        if isinstance(answer, str):
            process.holder.announced(ticket, answer, term_ms)
        elif answer.failure.code == "session_unknown":
            if ticket.session == process.holder.session:
                process.holder.forget()
        else:
            process.holder.apply(ticket, answer)

    # Control

    def assign(self, domain: str) -> None:
        shards = [
            control_pb2.ShardAssignment(pool=POOL, shard=shard, domain=domain)
            for shard in range(SHARDS)
        ]
        self.table.apply(control_pb2.AssignShards(assignments=shards))

    def move(self, shard: int) -> None:
        item = control_pb2.ShardAssignment(pool=POOL, shard=shard, domain=OTHER)
        self.table.apply(control_pb2.PlanShardMoves(moves=[item]))

    def give_back(self) -> None:
        shards = [
            control_pb2.ShardEpoch(pool=POOL, shard=shard, epoch=each.epoch)
            for (_, shard), each in self.table.delegations.items()
            if each.domain == OTHER
        ]
        self.table.apply(control_pb2.FreeShards(domain=OTHER, shards=shards))

    def start_freeing(self) -> None:
        commands = self.delegation_clock.start_freeing(self.table, {POOL: DELEGATION_TERM})
        self.freeing.extend(each for each in commands if each.domain == DOMAIN)

    def finish_freeing(self) -> None:
        for command in self.freeing:
            self.table.apply(command)
            self.delegation_clock.finish_freeing(command)
        self.freeing.clear()

    def elect_leader(self) -> None:
        self.finish_freeing()
        self.delegation_clock = DelegationClock(self.leader_clock)

    def report(self, index: int) -> None:
        grants = self.coordinators[index].grants
        if not self.proposers[index].is_holder():
            return
        asked_at = self.entry_clocks[index].now()
        report = control_pb2.DomainReport(
            domain=DOMAIN,
            needs_new_epochs=grants.epochs_pending,
            released=grants.released_shards(),
        )
        self.reports.append((index, self.coordinators[index], asked_at, report))

    def deliver_report(self, index: int, coordinator, asked_at: float, report) -> None:
        if not self.delegation_clock.may_confirm(DOMAIN):
            return
        if report.needs_new_epochs:
            self.table.apply(control_pb2.RenewEpochs(domain=DOMAIN))
        self.table.apply(control_pb2.FreeShards(domain=DOMAIN, shards=report.released))
        self.delegation_clock.renew(DOMAIN)
        answer = control_pb2.DomainReportResponse(
            confirmed=True,
            new_epochs=report.needs_new_epochs,
            delegations=self.table.held_by(DOMAIN),
            terms=[control_pb2.PoolTerm(pool=POOL, term_ms=int(DELEGATION_TERM * 1000))],
        )
        if self.coordinators[index] is coordinator:
            coordinator.grants.apply_report(answer, asked_at)

    # Decisions of the coordinator

    def grant_all(self, index: int, choice: random.Random) -> None:
        coordinator = self.coordinators[index]
        if not self.proposers[index].is_holder():
            return
        coordinator.tick()
        for assignment in sorted(coordinator.grants.grantable()):
            usable = [
                each
                for each in coordinator.sessions.sessions.values()
                if each.is_confirmed
                and coordinator.sessions.is_newest(each.identity, each.incarnation)
                and coordinator.sessions.live(each.identity, each.incarnation)
            ]
            if usable:
                session = choice.choice(usable)
                coordinator.grants.grant(assignment, session.identity, session.incarnation)

    def change(self, index: int, kind: str, shard: int) -> None:
        if not self.proposers[index].is_holder():
            return
        grants = self.coordinators[index].grants
        with suppress(OwnershipError):
            if kind == "release":
                grants.start_release(Assignment(POOL, shard))
            elif kind == "release-key":
                grants.start_release(Assignment(POOL, shard, HOT))
            elif kind == "isolate":
                grants.isolate(POOL, shard, HOT)
            else:
                grants.merge(Assignment(POOL, shard, HOT))

    # Work on servers

    def start_work(self, process: Process, shard: int, key: str) -> None:
        fence = process.accepted_fence(shard, key)
        if fence is None:
            return
        stack = ExitStack()
        stack.enter_context(process.holder.work(POOL, shard, key))
        process.works.append((shard, key, stack))

    def end_work(self, process: Process) -> None:
        for _, _, stack in process.works:
            stack.close()
        process.works.clear()
        process.outlived.clear()

    # A round without faults

    def flush(self, choice: random.Random, loss: float = 0.0, repeat: float = 0.0) -> None:
        for queue, deliver in (
            (self.requests, self.deliver_request),
            (self.responses, self.deliver_response),
            (self.reports, self.deliver_report),
        ):
            batch = list(queue)
            queue.clear()
            choice.shuffle(batch)
            for item in batch:
                if choice.random() >= loss:
                    deliver(*item)
                    # One server may have its answer while another still waits for it.
                    if queue is self.responses:
                        self.check()
                if choice.random() < repeat:
                    queue.append(item)

    def round(self, choice: random.Random, loss: float = 0.0, repeat: float = 0.0) -> None:
        holders = [i for i in range(3) if self.proposers[i].is_holder()]
        if not holders:
            self.acquire(choice.randrange(3))
        for index in holders:
            self.renew(index)
        for index in range(3):
            self.report(index)
            self.replicate(index)
            self.grant_all(index, choice)
            self.replicate(index)
        for process in self.active():
            for index in range(3):
                self.send_heartbeat(process, index)
        self.flush(choice, loss, repeat)

    def active(self) -> list[Process]:
        return [p for number, p in enumerate(self.processes) if number not in self.frozen]

    def watch_closely(self, choice: random.Random) -> None:
        """Pass 100 ms in small steps, so that shards move as early as the coordinator allows."""
        for step in range(20):
            self.advance(5)
            self.check()
            for index in range(3):
                if step % 10 == 0:
                    self.renew(index)
                if self.proposers[index].is_holder():
                    self.grant_all(index, choice)
                    self.replicate(index)
            if step % 5 == 0:
                for process in self.active():
                    for index in range(3):
                        self.send_heartbeat(process, index)
                self.flush(choice)
                self.check()

    def check(self) -> None:
        for shard in range(SHARDS):
            holder = self.table.delegations.get((POOL, shard))
            elsewhere = holder is not None and holder.domain == OTHER
            for key in (HOT, COLD):
                fences = [each.accepted_fence(shard, key) for each in self.processes]
                busy = [
                    (each.identity, each.incarnation)
                    for each, fence in zip(self.processes, fences, strict=True)
                    if fence is not None or each.works_validly(shard, key)
                ]
                if elsewhere:
                    busy.append((OTHER, 0))
                assert len(busy) <= 1, f"shard {shard} key {key} is served by {busy}"
                for fence in fences:
                    if fence is not None:
                        self.accepted += 1
                        known = self.highest.get((shard, key), fence)
                        assert fence >= known, f"fence of shard {shard} went back"
                        self.highest[shard, key] = fence


BASE = ["round", "round", "round", "closely", "closely", "grant", "advance"]
FAULTS = [
    "lossy",
    "cut",
    "freeze",
    "thaw",
    "acquire",
    "renew",
    "replicate",
    "heartbeat",
    "request",
    "response",
    "report",
    "deliver-report",
    "release",
    "release-key",
    "isolate",
    "merge",
    "restart-entry",
    "restart-server",
    "work",
    "end-work",
    "move",
    "give-back",
    "assign",
    "start-freeing",
    "finish-freeing",
    "leader",
    "pause",
]


def some_faults(choice: random.Random) -> list[str]:
    """Return the kinds of faults of one history.

    Few kinds at a time reach deeper states than all at once (Groce et al., "Swarm testing", 2012).
    """
    kinds = choice.sample(FAULTS, choice.randint(4, 12))
    return BASE * 2 + kinds + ["heal", "thaw"]


def disturb(world: World, choice: random.Random, kinds: list[str]) -> None:
    """Do one random thing of the given kinds."""
    what = choice.choice(kinds)
    index, shard = choice.randrange(3), choice.randrange(SHARDS)
    process = choice.choice(world.processes)
    queues = {
        "request": (world.requests, world.deliver_request),
        "response": (world.responses, world.deliver_response),
        "deliver-report": (world.reports, world.deliver_report),
    }
    if what == "advance":
        world.advance(choice.choice((5, 20, 50, 100)))
    elif what == "pause":
        world.advance(choice.choice((300, 595, 606, 700, 2100)))
    elif what == "closely":
        world.watch_closely(choice)
    elif what == "freeze":
        world.frozen.add(choice.randrange(len(world.processes)))
    elif what == "thaw":
        world.frozen.clear()
    elif what == "round":
        world.round(choice)
        world.advance(choice.choice((20, 100)))
    elif what == "lossy":
        world.round(choice, loss=0.3, repeat=0.3)
        world.advance(100)
    elif what == "cut":
        world.cut.add(index)
    elif what == "heal":
        world.cut.clear()
    elif what == "heartbeat":
        world.send_heartbeat(process, index)
    elif what in queues:
        queue, deliver = queues[what]
        if queue:
            item = choice.choice(queue)
            if choice.random() < 0.7:
                queue.remove(item)
            deliver(*item)
    elif what in ("release", "release-key", "isolate", "merge"):
        for each in range(3):
            world.change(each, what, shard)
    elif what == "grant":
        world.grant_all(index, choice)
    elif what == "work":
        world.start_work(process, shard, choice.choice((HOT, COLD)))
    elif what == "end-work":
        world.end_work(process)
    elif what == "move":
        world.move(shard)
    elif what == "assign":
        world.assign(choice.choice((DOMAIN, DOMAIN, OTHER)))
    elif what == "restart-entry":
        world.restart_entry(index)
    elif what == "restart-server":
        if len(world.processes) < 8:
            world.restart_server(choice.randrange(3))
    elif what == "give-back":
        world.give_back()
    elif what in ("acquire", "renew", "replicate", "report"):
        getattr(world, what)(index)
    else:
        names = {"start-freeing": "start_freeing", "finish-freeing": "finish_freeing"}
        getattr(world, names.get(what, "elect_leader"))()


def settled_world(rates: list[float], seed: int) -> World:
    """Return a world in which every shard has an owner."""
    world = World(rates)
    choice = random.Random(seed)
    world.assign(DOMAIN)
    world.advance(500)
    for _ in range(20):
        world.round(choice)
        world.check()
        world.advance(50)
    return world


class DomainMachine(RuleBasedStateMachine):
    """Random faults and decisions, with the invariants checked after each of them."""

    world: World

    @initialize(
        rates=st.lists(st.sampled_from(RATES), min_size=7, max_size=7), seed=st.integers(0, 99)
    )
    def start(self, rates: list[float], seed: int) -> None:
        self.world = settled_world(rates, seed)
        assert self.world.accepted > 0

    @rule(ms=st.integers(1, 2500))
    def advance(self, ms: int) -> None:
        self.world.advance(ms)

    @rule(seed=st.integers(0, 2**32), count=st.integers(1, 30))
    def faults(self, seed: int, count: int) -> None:
        choice = random.Random(seed)
        kinds = some_faults(choice)
        for _ in range(count):
            disturb(self.world, choice, kinds)
            self.world.check()

    @rule(kind=st.sampled_from(["release", "isolate", "merge"]), shard=st.integers(0, SHARDS - 1))
    def planned_change(self, kind: str, shard: int) -> None:
        for index in range(3):
            self.world.change(index, kind, shard)

    @rule(seed=st.integers(0, 2**32))
    def quiet_round(self, seed: int) -> None:
        self.world.cut.clear()
        self.world.round(random.Random(seed))
        self.world.advance(50)

    @invariant()
    def one_owner_and_growing_fences(self) -> None:
        if hasattr(self, "world"):
            self.world.check()

    def teardown(self) -> None:
        if hasattr(self, "world"):
            self.world.loop.close()


TestDomainMachine = DomainMachine.TestCase
TestDomainMachine.settings = settings(
    derandomize=True,
    max_examples=12,
    stateful_step_count=20,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)


@pytest.mark.parametrize("seed", range(30))
def test_long_runs_of_faults_keep_one_owner(seed: int) -> None:
    """A long history reaches states that short examples do not."""
    choice = random.Random(seed)
    world = settled_world([choice.choice(RATES) for _ in range(7)], seed)
    kinds = some_faults(choice)
    for _ in range(120):
        disturb(world, choice, kinds)
        world.check()
    world.loop.close()
