"""Guards against two servers that accept requests for one assignment at the same true time.

The simulation runs a domain of three entries, its servers and the control leader on clocks that
deviate up to 1% from true time. Messages are lost, repeated and delivered in any order; processes
freeze (they do nothing) and restart.
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
from medlarpass.ownership import DelegationRenewals
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
HOT_KEY, COLD_KEY = "hot", "cold"
DOMAIN, OTHER_DOMAIN = "d1", "d2"
LEASE_TERM = 0.4
SESSION_TERM = 0.6
DELEGATION_TERM = 2.0
CLOCK_RATES = (0.99, 1.0, 1.01)


class AcceptorLink:
    """Calls the acceptor of an entry unless one of the two entries is disconnected."""

    def __init__(self, domain: SimulatedDomain, source: int, index: int) -> None:
        self.domain, self.source, self.index = domain, source, index

    def _acceptor(self) -> LeaseAcceptor:
        ends = {self.source, self.index}
        if len(ends) == 2 and ends & self.domain.disconnected:
            raise ConnectionError("link is cut")
        return self.domain.acceptors[self.index]

    async def prepare(self, request):
        return self._acceptor().prepare(request)

    async def accept(self, request):
        return self._acceptor().accept(request)

    async def replicate_grants(self, request):
        return self._acceptor().replicate_grants(request)


class ServerProcess:
    """One incarnation of a server."""

    def __init__(
        self, domain: SimulatedDomain, identity: str, incarnation: int, rate: float
    ) -> None:
        self.identity, self.incarnation = identity, incarnation
        self.clock = domain.new_clock(rate)
        self.holder = GrantHolder(self.clock)
        self.running_requests: list[tuple[int, str, ExitStack]] = []
        self.outlived_requests: set[int] = set()

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

    def runs_request_in_session(self, shard: int, key: str) -> bool:
        """Return whether a request runs that the session has covered without a gap since its start.

        A request that outlives its session may overlap with the next owner; entries drop its
        response.
        """
        if self.clock.now() >= self.holder.valid_until:
            self.outlived_requests.update(id(request) for request in self.running_requests)
        return any(
            request[:2] == (shard, key) and id(request) not in self.outlived_requests
            for request in self.running_requests
        )


class SimulatedDomain:
    def __init__(self, rates: list[float]) -> None:
        self.loop = asyncio.new_event_loop()
        self.clocks: list[tuple[ManualClock, float]] = []
        self.true_ms = 0
        self.disconnected: set[int] = set()
        self.frozen_processes: set[int] = set()
        self.last_id = 0
        self.entry_clocks = [self.new_clock(rate) for rate in rates[:3]]
        self.acceptors = [LeaseAcceptor(clock, LEASE_TERM) for clock in self.entry_clocks]
        self.proposers: list[LeaseProposer] = []
        self.coordinators: list[Coordinator] = []
        for index in range(3):
            self.proposers.append(self.new_proposer(index))
            self.coordinators.append(self.new_coordinator(index))
        self.leader_clock = self.new_clock(rates[3])
        self.table = DelegationTable()
        self.delegation_clock = DelegationRenewals(self.leader_clock)
        self.commands_in_progress: list[control_pb2.FreeShards] = []
        self.processes = [
            ServerProcess(self, name, 1, rate) for name, rate in zip("abc", rates[4:], strict=True)
        ]
        self.requests: list[tuple] = []
        self.responses: list[tuple] = []
        self.reports: list[tuple] = []
        self.highest_fences: dict[tuple[int, str], Fence] = {}
        self.accepted_count = 0

    # Clocks and processes

    def new_clock(self, rate: float) -> ManualClock:
        clock = ManualClock(1000.0)
        self.clocks.append((clock, rate))
        return clock

    def new_id(self) -> str:
        self.last_id += 1
        return f"s{self.last_id}"

    def new_proposer(self, index: int) -> LeaseProposer:
        links = {f"e{target}": AcceptorLink(self, index, target) for target in range(3)}
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
        # The old process remains, like one in a suspended VM that resumes later.
        old_process = self.processes[index]
        newest_incarnation = max(
            process.incarnation
            for process in self.processes
            if process.identity == old_process.identity
        )
        self.processes.append(
            ServerProcess(self, old_process.identity, newest_incarnation + 1, 1.0)
        )

    # Coordinator lease

    def acquire(self, index: int) -> None:
        proposer = self.proposers[index]
        if not proposer.is_holder() and self.loop.run_until_complete(proposer.acquire()):
            self.coordinators[index].on_elected(
                proposer.adopted_record, proposer.ballot, proposer.needs_new_epochs
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

    def send_heartbeat(self, process: ServerProcess, entry: int) -> None:
        pending = process.holder.begin_heartbeat()
        request = domain_pb2.HeartbeatRequest(
            identity=process.identity,
            incarnation=process.incarnation,
            session=pending.session_id,
            seen=pending.known_version,
            server=process.status(),
            released=[
                domain_pb2.ReleasedGrant(
                    pool=assignment.pool,
                    shard=assignment.shard,
                    key=assignment.key or "",
                    fence=fence.to_int(),
                )
                for assignment, fence in pending.released
            ],
        )
        self.requests.append((process, pending, request, entry))

    def deliver_request(self, process, pending, request, entry: int) -> None:
        coordinator = self.coordinators[entry]
        try:
            if request.session == "":
                session_and_term = coordinator.announce(request.server)
                if session_and_term is not None:
                    self.responses.append(
                        (process, pending, session_and_term[0].session_id, session_and_term[1])
                    )
                return
            coordinator.confirm_releases(request)
        except OwnershipError as error:
            failure = control_pb2.Failure(code=error.code)
            refused = domain_pb2.HeartbeatResponse(coordinator=True, failure=failure)
            self.responses.append((process, pending, refused, 0))
            return
        self.responses.append((process, pending, coordinator.respond_to_heartbeat(request), 0))

    def deliver_response(self, process: ServerProcess, pending, response, term_ms: int) -> None:
        if isinstance(response, str):
            process.holder.apply_announcement(pending, response, term_ms)
        elif response.failure.code == "session_unknown":
            if pending.session_id == process.holder.session_id:
                process.holder.reset()
        else:
            process.holder.apply(pending, response)

    # Control

    def assign(self, domain: str) -> None:
        shards = [
            control_pb2.ShardAssignment(pool=POOL, shard=shard, domain=domain)
            for shard in range(SHARDS)
        ]
        self.table.apply(control_pb2.AssignShards(assignments=shards))

    def move(self, shard: int) -> None:
        item = control_pb2.ShardAssignment(pool=POOL, shard=shard, domain=OTHER_DOMAIN)
        self.table.apply(control_pb2.PlanShardMoves(moves=[item]))

    def release_other_domain(self) -> None:
        shards = [
            control_pb2.ShardEpoch(pool=POOL, shard=shard, epoch=delegation.epoch)
            for (_, shard), delegation in self.table.delegations.items()
            if delegation.domain == OTHER_DOMAIN
        ]
        self.table.apply(control_pb2.FreeShards(domain=OTHER_DOMAIN, shards=shards))

    def start_freeing(self) -> None:
        commands = self.delegation_clock.start_freeing(self.table, {POOL: DELEGATION_TERM})
        self.commands_in_progress.extend(
            command for command in commands if command.domain == DOMAIN
        )

    def finish_freeing(self) -> None:
        for command in self.commands_in_progress:
            self.table.apply(command)
            self.delegation_clock.finish_freeing(command)
        self.commands_in_progress.clear()

    def elect_leader(self) -> None:
        self.finish_freeing()
        self.delegation_clock = DelegationRenewals(self.leader_clock)

    def report(self, index: int) -> None:
        grants = self.coordinators[index].grants
        if not self.proposers[index].is_holder():
            return
        sent_at = self.entry_clocks[index].now()
        report = control_pb2.DomainReport(
            domain=DOMAIN,
            needs_new_epochs=grants.epochs_pending,
            released=grants.released_delegations(),
        )
        self.reports.append((index, self.coordinators[index], sent_at, report))

    def deliver_report(self, index: int, coordinator, sent_at: float, report) -> None:
        if not self.delegation_clock.may_confirm(DOMAIN):
            return
        if report.needs_new_epochs:
            self.table.apply(control_pb2.RenewEpochs(domain=DOMAIN))
        self.table.apply(control_pb2.FreeShards(domain=DOMAIN, shards=report.released))
        self.delegation_clock.renew(DOMAIN)
        response = control_pb2.DomainReportResponse(
            confirmed=True,
            new_epochs=report.needs_new_epochs,
            delegations=self.table.held_by(DOMAIN),
            terms=[control_pb2.PoolTerm(pool=POOL, term_ms=int(DELEGATION_TERM * 1000))],
        )
        if self.coordinators[index] is coordinator:
            coordinator.grants.apply_report(response, sent_at)

    # Decisions of the coordinator

    def grant_all(self, index: int, rng: random.Random) -> None:
        coordinator = self.coordinators[index]
        if not self.proposers[index].is_holder():
            return
        coordinator.tick()
        for assignment in sorted(coordinator.grants.grantable_assignments()):
            usable = [
                session
                for session in coordinator.sessions.sessions.values()
                if session.is_confirmed
                and coordinator.sessions.is_newest(session.identity, session.incarnation)
                and coordinator.sessions.live_session(session.identity, session.incarnation)
            ]
            if usable:
                owner = rng.choice(usable)
                coordinator.grants.grant(assignment, owner.identity, owner.incarnation)

    def start_planned_change(self, index: int, kind: str, shard: int) -> None:
        if not self.proposers[index].is_holder():
            return
        grants = self.coordinators[index].grants
        with suppress(OwnershipError):
            if kind == "release":
                grants.start_release(Assignment(POOL, shard))
            elif kind == "release-key":
                grants.start_release(Assignment(POOL, shard, HOT_KEY))
            elif kind == "isolate":
                grants.isolate(POOL, shard, HOT_KEY)
            else:
                grants.merge(Assignment(POOL, shard, HOT_KEY))

    # Requests on servers

    def start_request(self, process: ServerProcess, shard: int, key: str) -> None:
        fence = process.accepted_fence(shard, key)
        if fence is None:
            return
        stack = ExitStack()
        stack.enter_context(process.holder.track_request(POOL, shard, key))
        process.running_requests.append((shard, key, stack))

    def end_requests(self, process: ServerProcess) -> None:
        for _, _, stack in process.running_requests:
            stack.close()
        process.running_requests.clear()
        process.outlived_requests.clear()

    # Message delivery and rounds

    def deliver_messages(self, rng: random.Random, loss: float = 0.0, repeat: float = 0.0) -> None:
        for queue, deliver in (
            (self.requests, self.deliver_request),
            (self.responses, self.deliver_response),
            (self.reports, self.deliver_report),
        ):
            batch = list(queue)
            queue.clear()
            rng.shuffle(batch)
            for item in batch:
                if rng.random() >= loss:
                    deliver(*item)
                    # One server may have its response while another still waits for it.
                    if queue is self.responses:
                        self.check_invariants()
                if rng.random() < repeat:
                    queue.append(item)

    def run_round(self, rng: random.Random, loss: float = 0.0, repeat: float = 0.0) -> None:
        holders = [index for index in range(3) if self.proposers[index].is_holder()]
        if not holders:
            self.acquire(rng.randrange(3))
        for index in holders:
            self.renew(index)
        for index in range(3):
            self.report(index)
            self.replicate(index)
            self.grant_all(index, rng)
            self.replicate(index)
        for process in self.active():
            for index in range(3):
                self.send_heartbeat(process, index)
        self.deliver_messages(rng, loss, repeat)

    def active(self) -> list[ServerProcess]:
        return [
            process
            for number, process in enumerate(self.processes)
            if number not in self.frozen_processes
        ]

    def run_small_steps(self, rng: random.Random) -> None:
        """Advance 100 ms in small steps, so that shards move as early as the coordinator allows."""
        for step in range(20):
            self.advance(5)
            self.check_invariants()
            for index in range(3):
                if step % 10 == 0:
                    self.renew(index)
                if self.proposers[index].is_holder():
                    self.grant_all(index, rng)
                    self.replicate(index)
            if step % 5 == 0:
                for process in self.active():
                    for index in range(3):
                        self.send_heartbeat(process, index)
                self.deliver_messages(rng)
                self.check_invariants()

    def check_invariants(self) -> None:
        for shard in range(SHARDS):
            delegation = self.table.delegations.get((POOL, shard))
            held_by_other_domain = delegation is not None and delegation.domain == OTHER_DOMAIN
            for key in (HOT_KEY, COLD_KEY):
                fences = [process.accepted_fence(shard, key) for process in self.processes]
                owners = [
                    (process.identity, process.incarnation)
                    for process, fence in zip(self.processes, fences, strict=True)
                    if fence is not None or process.runs_request_in_session(shard, key)
                ]
                if held_by_other_domain:
                    owners.append((OTHER_DOMAIN, 0))
                assert len(owners) <= 1, f"shard {shard} key {key} is served by {owners}"
                for fence in fences:
                    if fence is not None:
                        self.accepted_count += 1
                        highest = self.highest_fences.get((shard, key), fence)
                        assert fence >= highest, f"fence of shard {shard} decreased"
                        self.highest_fences[shard, key] = fence


COMMON_ACTIONS = ["round", "round", "round", "closely", "closely", "grant", "advance"]
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


def choose_actions(rng: random.Random) -> list[str]:
    """Return the actions of one run.

    Few kinds of faults per run reach deeper states than all kinds at once (Groce et al., "Swarm
    testing", 2012).
    """
    faults = rng.sample(FAULTS, rng.randint(4, 12))
    return COMMON_ACTIONS * 2 + faults + ["heal", "thaw"]


def apply_random_action(domain: SimulatedDomain, rng: random.Random, actions: list[str]) -> None:
    """Apply one random action."""
    action = rng.choice(actions)
    index, shard = rng.randrange(3), rng.randrange(SHARDS)
    process = rng.choice(domain.processes)
    queues = {
        "request": (domain.requests, domain.deliver_request),
        "response": (domain.responses, domain.deliver_response),
        "deliver-report": (domain.reports, domain.deliver_report),
    }
    if action == "advance":
        domain.advance(rng.choice((5, 20, 50, 100)))
    elif action == "pause":
        domain.advance(rng.choice((300, 595, 606, 700, 2100)))
    elif action == "closely":
        domain.run_small_steps(rng)
    elif action == "freeze":
        domain.frozen_processes.add(rng.randrange(len(domain.processes)))
    elif action == "thaw":
        domain.frozen_processes.clear()
    elif action == "round":
        domain.run_round(rng)
        domain.advance(rng.choice((20, 100)))
    elif action == "lossy":
        domain.run_round(rng, loss=0.3, repeat=0.3)
        domain.advance(100)
    elif action == "cut":
        domain.disconnected.add(index)
    elif action == "heal":
        domain.disconnected.clear()
    elif action == "heartbeat":
        domain.send_heartbeat(process, index)
    elif action in queues:
        queue, deliver = queues[action]
        if queue:
            item = rng.choice(queue)
            if rng.random() < 0.7:
                queue.remove(item)
            deliver(*item)
    elif action in ("release", "release-key", "isolate", "merge"):
        for entry in range(3):
            domain.start_planned_change(entry, action, shard)
    elif action == "grant":
        domain.grant_all(index, rng)
    elif action == "work":
        domain.start_request(process, shard, rng.choice((HOT_KEY, COLD_KEY)))
    elif action == "end-work":
        domain.end_requests(process)
    elif action == "move":
        domain.move(shard)
    elif action == "assign":
        domain.assign(rng.choice((DOMAIN, DOMAIN, OTHER_DOMAIN)))
    elif action == "restart-entry":
        domain.restart_entry(index)
    elif action == "restart-server":
        if len(domain.processes) < 8:
            domain.restart_server(rng.randrange(3))
    elif action == "give-back":
        domain.release_other_domain()
    elif action in ("acquire", "renew", "replicate", "report"):
        getattr(domain, action)(index)
    else:
        names = {"start-freeing": "start_freeing", "finish-freeing": "finish_freeing"}
        getattr(domain, names.get(action, "elect_leader"))()


def new_domain_with_owners(rates: list[float], seed: int) -> SimulatedDomain:
    """Return a simulated domain in which every shard has an owner."""
    domain = SimulatedDomain(rates)
    rng = random.Random(seed)
    domain.assign(DOMAIN)
    domain.advance(500)
    for _ in range(20):
        domain.run_round(rng)
        domain.check_invariants()
        domain.advance(50)
    return domain


class DomainMachine(RuleBasedStateMachine):
    """Applies random faults and decisions and checks the invariants after each of them."""

    domain: SimulatedDomain

    @initialize(
        rates=st.lists(st.sampled_from(CLOCK_RATES), min_size=7, max_size=7),
        seed=st.integers(0, 99),
    )
    def start(self, rates: list[float], seed: int) -> None:
        self.domain = new_domain_with_owners(rates, seed)
        assert self.domain.accepted_count > 0

    @rule(ms=st.integers(1, 2500))
    def advance(self, ms: int) -> None:
        self.domain.advance(ms)

    @rule(seed=st.integers(0, 2**32), count=st.integers(1, 30))
    def faults(self, seed: int, count: int) -> None:
        rng = random.Random(seed)
        actions = choose_actions(rng)
        for _ in range(count):
            apply_random_action(self.domain, rng, actions)
            self.domain.check_invariants()

    @rule(kind=st.sampled_from(["release", "isolate", "merge"]), shard=st.integers(0, SHARDS - 1))
    def planned_change(self, kind: str, shard: int) -> None:
        for index in range(3):
            self.domain.start_planned_change(index, kind, shard)

    @rule(seed=st.integers(0, 2**32))
    def quiet_round(self, seed: int) -> None:
        self.domain.disconnected.clear()
        self.domain.run_round(random.Random(seed))
        self.domain.advance(50)

    @invariant()
    def one_owner_and_growing_fences(self) -> None:
        if hasattr(self, "domain"):
            self.domain.check_invariants()

    def teardown(self) -> None:
        if hasattr(self, "domain"):
            self.domain.loop.close()


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
    """Guards against faults in states that only long runs reach."""
    rng = random.Random(seed)
    domain = new_domain_with_owners([rng.choice(CLOCK_RATES) for _ in range(7)], seed)
    actions = choose_actions(rng)
    for _ in range(120):
        apply_random_action(domain, rng, actions)
        domain.check_invariants()
    domain.loop.close()
