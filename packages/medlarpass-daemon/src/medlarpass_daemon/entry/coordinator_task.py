"""Duties of the entry that holds the coordinator lease of its failure domain."""

from __future__ import annotations

import asyncio
import random

from typing import TYPE_CHECKING

from medlarpass import MedlarpassError
from medlarpass.ownership import Coordinator
from medlarpass.ownership.exceptions import EpochsPendingError
from medlarpass.rpc import control_pb2
from medlarpass.rpc import domain_pb2
from medlarpass_daemon.entry.domain_measures import DomainMeasures
from medlarpass_daemon.entry.domain_reporter import DomainReporter
from medlarpass_daemon.entry.events import COORDINATOR_STARTED
from medlarpass_daemon.entry.events import COORDINATOR_STOPPED
from medlarpass_daemon.entry.events import GRANTS_NOT_REPLICATED
from medlarpass_daemon.entry.grant_planner import GrantPlanner
from medlarpass_daemon.supervision import supervise

if TYPE_CHECKING:
    from medlarpass import Clock
    from medlarpass.ownership import LeaseProposer
    from medlarpass.registry import ServerRegistry
    from medlarpass_daemon.entry.configuration_store import ConfigurationStore
    from medlarpass_daemon.entry.control_directory import ControlDirectory
    from medlarpass_daemon.entry.load_reports import LoadReports
    from medlarpass_daemon.observability import Metrics
    from medlarpass_daemon.rpc_channels import RpcChannels
    from medlarpass_daemon.settings import DaemonSettings
    from medlarpass_daemon.settings import EntrySettings

#: Seconds between two looks at sessions, unless something happens earlier.
TICK = 0.02
#: Seconds between two plans while all shards have owners, and while some have none.
PLAN_INTERVAL = 1.0
GAP_PLAN_INTERVAL = 0.05
#: The lease is renewed this often within its term.
RENEWALS_PER_TERM = 4
#: Longest time a poll is held open, in seconds, whatever the caller asks for.
MAX_WAIT = 5.0


class CoordinatorTask:
    """Competes for the lease and, while it holds it, grants keys to servers.

    :param settings: settings of the process
    :param entry: settings of the role entry
    :param proposer: proposer of the coordinator lease
    :param registry: servers known to this entry
    :param store: configuration in force
    :param loads: load of shards and hot keys
    :param control: addresses of the control replicas
    :param channels: gRPC channels
    :param metrics: metrics of the process
    :param clock: clock of this process
    """

    __slots__ = (
        "clock",
        "coordinator",
        "entry",
        "in_office",
        "metrics",
        "news",
        "planned_revision",
        "planner",
        "proposer",
        "registry",
        "reporter",
        "resigning",
        "settings",
        "store",
        "tasks",
        "work",
    )

    def __init__(
        self,
        settings: DaemonSettings,
        entry: EntrySettings,
        proposer: LeaseProposer,
        registry: ServerRegistry,
        store: ConfigurationStore,
        loads: LoadReports,
        control: ControlDirectory,
        channels: RpcChannels,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        self.settings = settings
        self.metrics = metrics
        self.entry = entry
        self.proposer = proposer
        self.registry = registry
        self.store = store
        self.clock = clock
        self.coordinator = Coordinator(clock, entry.session_term, proposer.is_holder)
        self.planner = GrantPlanner(
            self.coordinator, registry, loads, DomainMeasures(metrics, clock), clock
        )
        self.in_office = False
        self.resigning = False
        #: Replaced and set whenever committed grants or sessions have changed.
        self.news = asyncio.Event()
        #: Set when there is something to plan.
        self.work = asyncio.Event()
        self.reporter = DomainReporter(
            settings,
            proposer,
            self.coordinator,
            self.planner,
            registry,
            store,
            control,
            channels,
            clock,
        )
        #: Revision of the registry that the last plan has seen.
        self.planned_revision = -1
        self.tasks: list[asyncio.Task[None]] = []

    async def run(self) -> None:
        """Compete for the lease and keep it, until cancelled."""
        try:
            while True:
                await self._compete()
        finally:
            self._leave_office()

    async def resign(self) -> None:
        """Hand over the lease before a planned stop; this entry does not compete again."""
        self.resigning = True
        await self.proposer.resign()
        self._leave_office()

    async def heartbeat(self, request: domain_pb2.HeartbeatRequest) -> domain_pb2.HeartbeatResponse:
        """Answer an announcement or heartbeat; a heartbeat waits for news.

        :param request: from a server of this domain
        """
        if not self._serves():
            return domain_pb2.HeartbeatResponse(coordinator=False)
        self.registry.record_peer_report(request.server)
        if request.released or self.registry.revision != self.planned_revision:
            self.work.set()
        try:
            if request.announcement:
                return self._announce(request)
            self.coordinator.confirm_releases(request)
        except MedlarpassError as error:
            return domain_pb2.HeartbeatResponse(coordinator=True, failure=_failure(error))
        await self._wait_for_news(request)
        if not self._serves():
            return domain_pb2.HeartbeatResponse(coordinator=False)
        return self.coordinator.respond_to_heartbeat(request)

    async def watch(self, request: domain_pb2.WatchDomainRequest) -> domain_pb2.WatchDomainResponse:
        """Tell an entry the grants, sessions and servers of this domain."""
        known = (request.known_ballot, request.known_version)
        if self._serves() and known == (self.proposer.ballot, self._version()):
            await self._next_news(request.wait_ms / 1000)
        response = self._watch_now(request)
        _add_servers(response, self.registry.statuses(self.settings.domain))
        if not response.coordinator:
            response.coordinator_address = self.entry.address_of(
                self.proposer.holder, self.settings.domain
            )
        return response

    async def _compete(self) -> None:
        pause = self.proposer.term / RENEWALS_PER_TERM
        if self.resigning:
            await asyncio.sleep(pause)
            return
        if self.in_office:
            await asyncio.sleep(pause)
            if not await self.proposer.renew():
                self._leave_office()
            return
        if await self.proposer.acquire() and not self.resigning:
            self._take_office()
            return
        # Random pauses keep two candidates from refusing each other again and again.
        await asyncio.sleep(pause * random.uniform(0.2, 1.0))

    def _take_office(self) -> None:
        self.coordinator.on_elected(
            self.proposer.adopted_record,
            self.proposer.ballot,
            self.proposer.needs_new_epochs,
            self.proposer.name,
        )
        self.planner.reset()
        self.in_office = True
        self.metrics.coordinator_lease.labels(self.settings.domain).set(1)
        self.reporter.due.set()
        self.work.set()
        self.tasks = [
            asyncio.create_task(supervise("grants", self._run_grants)),
            asyncio.create_task(supervise("domain reports", self._run_reports)),
        ]
        COORDINATOR_STARTED.log(domain=self.settings.domain, ballot=self.proposer.ballot.number)

    def _leave_office(self) -> None:
        if not self.in_office:
            return
        self.in_office = False
        self.metrics.coordinator_lease.labels(self.settings.domain).set(0)
        for task in self.tasks:
            task.cancel()
        self.tasks = []
        self._publish()
        COORDINATOR_STOPPED.log(domain=self.settings.domain)

    def _serves(self) -> bool:
        return self.in_office and self.proposer.is_holder()

    def _version(self) -> int:
        return self.coordinator.grants.committed.version

    def _announce(self, request: domain_pb2.HeartbeatRequest) -> domain_pb2.HeartbeatResponse:
        announced = self.coordinator.announce(request.server)
        if announced is None:
            return domain_pb2.HeartbeatResponse(coordinator=False)
        session, term_ms = announced
        self.work.set()
        return domain_pb2.HeartbeatResponse(
            coordinator=True, session=session.session_id, term_ms=term_ms
        )

    async def _wait_for_news(self, request: domain_pb2.HeartbeatRequest) -> None:
        deadline = self.clock.now() + min(request.wait_ms / 1000, self.entry.heartbeat_wait)
        while not self.coordinator.has_update(request):
            remaining = deadline - self.clock.now()
            if remaining <= 0 or not self._serves():
                return
            await self._next_news(remaining)

    async def _next_news(self, timeout: float) -> None:
        news = self.news
        try:
            async with asyncio.timeout(min(timeout, MAX_WAIT)):
                await news.wait()
        except TimeoutError:
            return

    def _watch_now(self, request: domain_pb2.WatchDomainRequest) -> domain_pb2.WatchDomainResponse:
        if not self._serves():
            return domain_pb2.WatchDomainResponse(coordinator=False)
        return self.coordinator.watch(request, self.proposer.ballot)

    async def _run_grants(self) -> None:
        grants = self.coordinator.grants
        planned_at = float("-inf")
        while True:
            known = grants.version
            self.coordinator.tick()
            age = self.clock.now() - planned_at
            # A plan looks at every shard, so it runs only when it may change something.
            changed = grants.version != known or self.registry.revision != self.planned_revision
            if changed or self.work.is_set() or age >= self._plan_interval():
                self.work.clear()
                self.planned_revision = self.registry.revision
                planned_at = self.clock.now()
                if self.planner.plan(self.store.pools):
                    self._publish()
            if grants.version != self._version():
                await self._replicate()
            await self._wait_for_work()

    def _plan_interval(self) -> float:
        grants = self.coordinator.grants
        has_gaps = grants.index.live_count < len(grants.delegations)
        return GAP_PLAN_INTERVAL if has_gaps else PLAN_INTERVAL

    async def _wait_for_work(self) -> None:
        try:
            async with asyncio.timeout(TICK):
                await self.work.wait()
        except TimeoutError:
            return

    async def _replicate(self) -> None:
        try:
            record = self.coordinator.grants.record(self.proposer.ballot)
        except EpochsPendingError:
            self.reporter.due.set()
            return
        if not await self.proposer.replicate(record):
            GRANTS_NOT_REPLICATED.log(version=record.version)
            return
        if record.version == self._version():
            return
        self.coordinator.grants.commit(record.version)
        if self.coordinator.grants.released_delegations():
            self.reporter.due.set()
        self._publish()

    def _publish(self) -> None:
        self.news.set()
        self.news = asyncio.Event()

    async def _run_reports(self) -> None:
        while True:
            self._set_gauges()
            await self.reporter.next_confirmed()
            self.work.set()
            # A successor needs the terms of this report to go on without control.
            await self._replicate()

    def _set_gauges(self) -> None:
        domain = self.settings.domain
        now = self.clock.now()
        sessions = self.coordinator.sessions.sessions.values()
        self.metrics.server_sessions.labels(domain).set(len(sessions))
        least = min((each.expiry - now for each in sessions), default=0.0)
        self.metrics.session_remaining.labels(domain).set(max(0.0, least))
        counts: dict[str, int] = {}
        for pool, _ in self.coordinator.grants.delegations:
            counts[pool] = counts.get(pool, 0) + 1
        for pool, count in counts.items():
            self.metrics.delegated_shards.labels(pool, domain).set(count)


def _failure(error: MedlarpassError) -> control_pb2.Failure:
    return control_pb2.Failure(code=error.code, message=error.message)


def _add_servers(
    response: domain_pb2.WatchDomainResponse, servers: list[control_pb2.ServerStatus]
) -> None:
    """Join the sessions in a response with what the registry knows of their servers."""
    sessions = {(each.identity, each.incarnation): each for each in response.servers}
    del response.servers[:]
    for server in servers:
        session = sessions.pop((server.identity, server.incarnation), None)
        if session is not None:
            server.holds_session = True
            server.session_remaining_ms = session.session_remaining_ms
        response.servers.append(server)
    response.servers.extend(sessions.values())
