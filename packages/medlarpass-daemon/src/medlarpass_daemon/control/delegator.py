"""Delegation of shards to failure domains by the control leader."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING

from medlarpass import MedlarpassError
from medlarpass.ownership import DelegationPlanner
from medlarpass.ownership import DelegationRenewals
from medlarpass.ownership.domain_weights import weighted_slots
from medlarpass.replication import NotLeaderError
from medlarpass.rpc import control_pb2
from medlarpass_daemon.control.events import DELEGATION_FAILED
from medlarpass_daemon.control.events import EPOCHS_RENEWED
from medlarpass_daemon.control.events import SHARDS_ASSIGNED
from medlarpass_daemon.control.events import SHARDS_FREED
from medlarpass_daemon.control.events import SHARDS_MOVING

if TYPE_CHECKING:
    from medlarpass import Clock
    from medlarpass.tables import Pool
    from medlarpass_daemon.control.replica_log import ReplicaLog

PLAN_INTERVAL_SECONDS = 0.2
#: Weight of a new report in the moving average; about 30 s at one report a second.
LOAD_SMOOTHING_RATIO = 1 / 30
#: Excess of a domain over its share, relative to the share, before shards move away.
HYSTERESIS_RATIO = 0.08
#: Domains whose last report is older get no further shards.
REPORT_MAX_AGE_SECONDS = 3.0


class _LastReport:
    __slots__ = ("received_at", "report")

    def __init__(self, report: control_pb2.DomainReport, received_at: float) -> None:
        self.report = report
        self.received_at = received_at


class Delegator:
    """Handles domain reports and plans delegations while the local replica is the leader.

    Its state is reset with each leader term. A new leader does not know when its predecessor last
    renewed a delegation, so it counts all delegation terms from its own election.

    :param log: the replicated log
    :param clock: clock of this process
    """

    __slots__ = (
        "average_loads",
        "clock",
        "last_reports",
        "log",
        "planner",
        "renewals",
        "renewals_term",
    )

    def __init__(self, log: ReplicaLog, clock: Clock) -> None:
        self.log = log
        self.clock = clock
        self.planner = DelegationPlanner(hysteresis=HYSTERESIS_RATIO)
        self.renewals = DelegationRenewals(clock)
        self.renewals_term = -1
        self.last_reports: dict[str, _LastReport] = {}
        #: Moving average of requests per second by pool and domain.
        self.average_loads: dict[tuple[str, str], float] = {}

    async def run(self) -> None:
        """Plan delegations until cancelled."""
        while True:
            await asyncio.sleep(PLAN_INTERVAL_SECONDS)
            if not self._check_leadership():
                continue
            try:
                await self._plan()
            except MedlarpassError as error:
                DELEGATION_FAILED.log(code=error.code, message=error.message)

    async def report(self, report: control_pb2.DomainReport) -> control_pb2.DomainReportResponse:
        """Handle a domain report: free the released shards and renew the other delegations.

        :param report: report from the coordinator of a domain
        :returns: the domain's delegations, or an unconfirmed response if this replica cannot
            confirm that it is still the leader
        """
        unconfirmed = control_pb2.DomainReportResponse(confirmed=False)
        if not self._check_leadership():
            return unconfirmed
        renewals = self.renewals
        try:
            # The quorum round starts after the report arrived, so a deposed leader renews nothing.
            # Waiting for the index keeps a new leader from renewing shards that a committed but
            # not yet applied command has freed.
            index = await self.log.replica.read_index()
            await self.log.replica.wait_applied(index)
            await self._apply_report(report)
        except NotLeaderError:
            return unconfirmed
        except MedlarpassError as error:
            DELEGATION_FAILED.log(code=error.code, message=error.message)
            return unconfirmed
        # In a later term, the state here may lack what another leader has freed meanwhile.
        is_same_term = self._check_leadership() and self.renewals is renewals
        if not is_same_term or not renewals.may_confirm(report.domain):
            return unconfirmed
        self.last_reports[report.domain] = _LastReport(report, self.clock.now())
        self._average_loads(report)
        renewals.renew(report.domain)
        return self._build_response(report)

    def reports(self) -> list[control_pb2.DomainReport]:
        """Return the last report of each domain; empty if this replica is not the leader."""
        if not self.log.replica.is_leader:
            return []
        return [last.report for _, last in sorted(self.last_reports.items())]

    async def _apply_report(self, report: control_pb2.DomainReport) -> None:
        if report.released:
            command = control_pb2.FreeShards(domain=report.domain, shards=report.released)
            await self._propose(control_pb2.Command(free_shards=command))
            await self._plan()
        if report.needs_new_epochs:
            renewal = control_pb2.RenewEpochs(domain=report.domain)
            await self._propose(control_pb2.Command(renew_epochs=renewal))
            EPOCHS_RENEWED.log(domain=report.domain)

    def _build_response(self, report: control_pb2.DomainReport) -> control_pb2.DomainReportResponse:
        terms = [
            control_pb2.PoolTerm(pool=pool.name, term_ms=round(pool.delegation_term * 1000))
            for pool in self._pools()
        ]
        return control_pb2.DomainReportResponse(
            confirmed=True,
            delegations=self.log.state.delegations.held_by(report.domain),
            terms=terms,
            new_epochs=report.needs_new_epochs,
        )

    def _check_leadership(self) -> bool:
        replica = self.log.replica
        if not replica.is_leader:
            return False
        if self.renewals_term != replica.term:
            self.renewals = DelegationRenewals(self.clock)
            self.renewals_term = replica.term
            self.last_reports.clear()
            self.average_loads.clear()
        return True

    def _pools(self) -> list[Pool]:
        return [pool for pool in self.log.state.tables.pools().values() if pool.owned]

    async def _plan(self) -> None:
        pools = self._pools()
        await self._free_expired_shards(pools)
        for pool in pools:
            await self._plan_pool(pool)

    async def _free_expired_shards(self, pools: list[Pool]) -> None:
        terms = {pool.name: pool.delegation_term for pool in pools}
        renewals = self.renewals
        for command in renewals.start_freeing(self.log.state.delegations, terms):
            SHARDS_FREED.log(domain=command.domain, shards=len(command.shards))
            await self._propose(control_pb2.Command(free_shards=command))
            # After an unknown result this is skipped and the domain stays unconfirmed, because its
            # shards may have been freed.
            renewals.finish_freeing(command)

    async def _plan_pool(self, pool: Pool) -> None:
        slots = self._weighted_slots(pool.name)
        assign, moves = self.planner.plan(self.log.state.delegations, pool.name, pool.shards, slots)
        if assign.assignments:
            SHARDS_ASSIGNED.log(pool=pool.name, shards=len(assign.assignments))
            await self._propose(control_pb2.Command(assign_shards=assign))
        if moves.moves:
            SHARDS_MOVING.log(pool=pool.name, shards=len(moves.moves))
            await self._propose(control_pb2.Command(plan_shard_moves=moves))

    def _weighted_slots(self, pool: str) -> dict[str, int]:
        shards: dict[str, int] = {}
        for (name, _), delegation in self.log.state.delegations.delegations.items():
            if name == pool and delegation.domain is not None:
                shards[delegation.domain] = shards.get(delegation.domain, 0) + 1
        loads = {
            domain: load for (name, domain), load in self.average_loads.items() if name == pool
        }
        return weighted_slots(self._ready_slots(pool), loads, shards)

    def _average_loads(self, report: control_pb2.DomainReport) -> None:
        for load in report.loads:
            key = (load.pool, report.domain)
            average = self.average_loads.get(key, load.requests_per_second)
            self.average_loads[key] = average + LOAD_SMOOTHING_RATIO * (
                load.requests_per_second - average
            )

    def _ready_slots(self, pool: str) -> dict[str, int]:
        stale_before = self.clock.now() - REPORT_MAX_AGE_SECONDS
        return {
            domain: load.ready_slots
            for domain, last in self.last_reports.items()
            if last.received_at >= stale_before
            for load in last.report.loads
            if load.pool == pool
        }

    async def _propose(self, command: control_pb2.Command) -> None:
        await self.log.propose(command)
