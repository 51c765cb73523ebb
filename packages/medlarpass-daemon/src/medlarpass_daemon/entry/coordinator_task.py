"""Tasks of the entry that holds the coordinator lease of its failure domain."""

from __future__ import annotations

import asyncio
import random

from typing import TYPE_CHECKING

from medlarpass import MedlarpassError
from medlarpass.ownership import Coordinator
from medlarpass.ownership.exceptions import EpochsPendingError
from medlarpass.rpc import control_pb2
from medlarpass.rpc import domain_pb2
from medlarpass_daemon.entry.domain_metrics import DomainMetrics
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

#: Interval of the checks for expired sessions; an event starts a check earlier.
TICK_INTERVAL_SECONDS = 0.02
#: Interval of planning while all shards have owners, and while some have none.
PLAN_INTERVAL_SECONDS = 1.0
UNOWNED_PLAN_INTERVAL_SECONDS = 0.05
#: Renewals of the lease within one term.
RENEWAL_COUNT_PER_TERM = 4
#: Upper bound of a long poll, whatever the caller requests.
MAX_POLL_SECONDS = 5.0


class CoordinatorTask:
    """Tries to acquire the coordinator lease and, while holding it, grants keys to servers.

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
        "is_coordinator",
        "is_resigning",
        "metrics",
        "planned_revision",
        "planner",
        "planning_due",
        "proposer",
        "registry",
        "reporter",
        "settings",
        "store",
        "tasks",
        "update_event",
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
            self.coordinator, registry, loads, DomainMetrics(metrics, clock), clock
        )
        self.is_coordinator = False
        self.is_resigning = False
        #: Set and then replaced whenever committed grants or sessions have changed.
        self.update_event = asyncio.Event()
        #: Set when a plan may change something.
        self.planning_due = asyncio.Event()
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
        #: Revision of the registry that the last plan was based on.
        self.planned_revision = -1
        self.tasks: list[asyncio.Task[None]] = []

    async def run(self) -> None:
        """Acquire and renew the lease until cancelled."""
        try:
            while True:
                await self._acquire_or_renew()
        finally:
            self._stop_coordinating()

    async def resign(self) -> None:
        """Release the lease before a graceful shutdown; this entry does not acquire it again."""
        self.is_resigning = True
        await self.proposer.resign()
        self._stop_coordinating()

    async def heartbeat(self, request: domain_pb2.HeartbeatRequest) -> domain_pb2.HeartbeatResponse:
        """Respond to an announcement or heartbeat; a heartbeat waits for an update.

        :param request: request of a server of this domain
        """
        if not self._is_serving():
            return domain_pb2.HeartbeatResponse(coordinator=False)
        self.registry.record_peer_report(request.server)
        if request.released or self.registry.revision != self.planned_revision:
            self.planning_due.set()
        try:
            if request.announcement:
                return self._announce(request)
            self.coordinator.confirm_releases(request)
        except MedlarpassError as error:
            return domain_pb2.HeartbeatResponse(coordinator=True, failure=_failure(error))
        await self._wait_for_update(request)
        if not self._is_serving():
            return domain_pb2.HeartbeatResponse(coordinator=False)
        return self.coordinator.respond_to_heartbeat(request)

    async def watch(self, request: domain_pb2.WatchDomainRequest) -> domain_pb2.WatchDomainResponse:
        """Return the grants, sessions and servers of this domain to an entry."""
        known = (request.known_ballot, request.known_version)
        if self._is_serving() and known == (self.proposer.ballot, self._committed_version()):
            await self._next_update(request.wait_ms / 1000)
        response = self._watch_response(request)
        _add_servers(response, self.registry.statuses(self.settings.domain))
        if not response.coordinator:
            response.coordinator_address = self.entry.address_of(
                self.proposer.holder, self.settings.domain
            )
        return response

    async def _acquire_or_renew(self) -> None:
        interval = self.proposer.term / RENEWAL_COUNT_PER_TERM
        if self.is_resigning:
            await asyncio.sleep(interval)
            return
        if self.is_coordinator:
            await asyncio.sleep(interval)
            if not await self.proposer.renew():
                self._stop_coordinating()
            return
        if await self.proposer.acquire() and not self.is_resigning:
            self._start_coordinating()
            return
        # Random intervals keep two candidates from rejecting each other repeatedly.
        await asyncio.sleep(interval * random.uniform(0.2, 1.0))

    def _start_coordinating(self) -> None:
        self.coordinator.on_elected(
            self.proposer.adopted_record,
            self.proposer.ballot,
            self.proposer.needs_new_epochs,
            self.proposer.name,
        )
        self.planner.reset()
        self.is_coordinator = True
        self.metrics.coordinator_lease.labels(self.settings.domain).set(1)
        self.reporter.report_due.set()
        self.planning_due.set()
        self.tasks = [
            asyncio.create_task(supervise("grants", self._run_grants)),
            asyncio.create_task(supervise("domain reports", self._run_reports)),
        ]
        COORDINATOR_STARTED.log(domain=self.settings.domain, ballot=self.proposer.ballot.number)

    def _stop_coordinating(self) -> None:
        if not self.is_coordinator:
            return
        self.is_coordinator = False
        self.metrics.coordinator_lease.labels(self.settings.domain).set(0)
        for task in self.tasks:
            task.cancel()
        self.tasks = []
        self._notify_watchers()
        COORDINATOR_STOPPED.log(domain=self.settings.domain)

    def _is_serving(self) -> bool:
        return self.is_coordinator and self.proposer.is_holder()

    def _committed_version(self) -> int:
        return self.coordinator.grants.committed.version

    def _announce(self, request: domain_pb2.HeartbeatRequest) -> domain_pb2.HeartbeatResponse:
        announced = self.coordinator.announce(request.server)
        if announced is None:
            return domain_pb2.HeartbeatResponse(coordinator=False)
        session, term_ms = announced
        self.planning_due.set()
        return domain_pb2.HeartbeatResponse(
            coordinator=True, session=session.session_id, term_ms=term_ms
        )

    async def _wait_for_update(self, request: domain_pb2.HeartbeatRequest) -> None:
        deadline = self.clock.now() + min(request.wait_ms / 1000, self.entry.heartbeat_wait)
        while not self.coordinator.has_update(request):
            remaining = deadline - self.clock.now()
            if remaining <= 0 or not self._is_serving():
                return
            await self._next_update(remaining)

    async def _next_update(self, timeout: float) -> None:
        update_event = self.update_event
        try:
            async with asyncio.timeout(min(timeout, MAX_POLL_SECONDS)):
                await update_event.wait()
        except TimeoutError:
            return

    def _watch_response(
        self, request: domain_pb2.WatchDomainRequest
    ) -> domain_pb2.WatchDomainResponse:
        if not self._is_serving():
            return domain_pb2.WatchDomainResponse(coordinator=False)
        return self.coordinator.watch(request, self.proposer.ballot)

    async def _run_grants(self) -> None:
        grants = self.coordinator.grants
        planned_at = float("-inf")
        while True:
            previous_version = grants.version
            self.coordinator.tick()
            age = self.clock.now() - planned_at
            # A plan iterates over all shards, so it only runs when it may change something.
            changed = (
                grants.version != previous_version
                or self.registry.revision != self.planned_revision
            )
            if changed or self.planning_due.is_set() or age >= self._plan_interval():
                self.planning_due.clear()
                self.planned_revision = self.registry.revision
                planned_at = self.clock.now()
                if self.planner.plan(self.store.pools):
                    self._notify_watchers()
            if grants.version != self._committed_version():
                await self._replicate()
            await self._wait_for_planning()

    def _plan_interval(self) -> float:
        grants = self.coordinator.grants
        has_unowned_shards = grants.index.live_count < len(grants.delegations)
        return UNOWNED_PLAN_INTERVAL_SECONDS if has_unowned_shards else PLAN_INTERVAL_SECONDS

    async def _wait_for_planning(self) -> None:
        try:
            async with asyncio.timeout(TICK_INTERVAL_SECONDS):
                await self.planning_due.wait()
        except TimeoutError:
            return

    async def _replicate(self) -> None:
        try:
            record = self.coordinator.grants.record(self.proposer.ballot)
        except EpochsPendingError:
            self.reporter.report_due.set()
            return
        if not await self.proposer.replicate(record):
            GRANTS_NOT_REPLICATED.log(version=record.version)
            return
        if record.version == self._committed_version():
            return
        self.coordinator.grants.commit(record.version)
        if self.coordinator.grants.released_delegations():
            self.reporter.report_due.set()
        self._notify_watchers()

    def _notify_watchers(self) -> None:
        self.update_event.set()
        self.update_event = asyncio.Event()

    async def _run_reports(self) -> None:
        while True:
            self._set_gauges()
            await self.reporter.send_next_report()
            self.planning_due.set()
            # The next coordinator needs the terms of this report to continue without control.
            await self._replicate()

    def _set_gauges(self) -> None:
        domain = self.settings.domain
        now = self.clock.now()
        sessions = self.coordinator.sessions.sessions.values()
        self.metrics.server_sessions.labels(domain).set(len(sessions))
        min_remaining = min((session.expiry - now for session in sessions), default=0.0)
        self.metrics.session_remaining.labels(domain).set(max(0.0, min_remaining))
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
    """Merge the sessions in a response with the statuses of their servers from the registry."""
    sessions = {(known.identity, known.incarnation): known for known in response.servers}
    del response.servers[:]
    for server in servers:
        session = sessions.pop((server.identity, server.incarnation), None)
        if session is not None:
            server.holds_session = True
            server.session_remaining_ms = session.session_remaining_ms
        response.servers.append(server)
    response.servers.extend(sessions.values())
